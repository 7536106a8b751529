//! The services in force, found by path.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use chicoryrail_core::Config;
use chicoryrail_core::Service;
use chicoryrail_policy::RetryBudget;

use crate::free::Free;
use crate::shard::Shard;

/// A service and its shards.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) service: Service,
    /// Section `i` at index `i`.
    pub(crate) shards: Vec<Rc<Shard>>,
    pub(crate) budget: RefCell<RetryBudget>,
    /// The shared queue of a free service; `None` for a keyed one and under a baseline placement.
    pub(crate) free: Option<Rc<Free>>,
    turn: Cell<usize>,
}

impl Entry {
    /// Builds a service with its shards.
    pub(crate) fn new(service: &Service, shards: Vec<Rc<Shard>>, free: Option<Rc<Free>>) -> Self {
        Self {
            service: service.clone(),
            shards,
            budget: RefCell::default(),
            free,
            turn: Cell::default(),
        }
    }

    /// Counts up for choices that go round.
    pub(crate) fn next_turn(&self) -> usize {
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        turn
    }
}

/// All services of a configuration.
#[derive(Debug, Default)]
pub(crate) struct Services {
    pub(crate) config: Config,
    pub(crate) orders: Vec<Rc<Shard>>,
    by_path: HashMap<String, Rc<Entry>>,
}

impl Services {
    /// Builds the index of a configuration.
    pub(crate) fn new(config: Config, orders: Vec<Rc<Shard>>, entries: Vec<Entry>) -> Self {
        let by_path = entries
            .into_iter()
            .map(|e| (e.service.path.clone(), Rc::new(e)))
            .collect();
        Self {
            config,
            orders,
            by_path,
        }
    }

    /// Finds the service with the longest prefix of `path`, and the rest of the path.
    ///
    /// Prefixes end with `/`, so only as many look-ups are made as the path has segments.
    pub(crate) fn find<'a>(&self, path: &'a str) -> Option<(&Rc<Entry>, &'a str)> {
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(entry) = self.by_path.get(&path[..=slash]) {
                return Some((entry, &path[slash + 1..]));
            }
            end = slash;
        }
        None
    }

    /// Iterates over the services.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Rc<Entry>> {
        self.by_path.values()
    }
}
