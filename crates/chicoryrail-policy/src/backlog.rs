//! Requests that wait, by deadline.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use chicoryrail_core::Class;
use chicoryrail_core::Millis;

use crate::Ask;
use crate::Ticket;

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) ask: Ask,
    pub(crate) since: Millis,
    /// Its place in the order; the deadline, and later by what its key has waiting before it.
    pub(crate) rank: Millis,
}

/// Requests of one kind that wait, by rank.
#[derive(Clone, Debug, Default)]
struct Lane {
    order: BTreeMap<(Millis, Ticket), Waiting>,
    deadlines: BTreeSet<(Millis, Ticket)>,
}

/// Requests that wait: lookups and orders in one lane, batch in another.
///
/// The earliest deadline goes first, which misses the fewest as long as the load can be borne; that
/// it can is what admission sees to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backlog {
    urgent: Lane,
    batch: Lane,
    places: HashMap<Ticket, (bool, Millis)>,
    keys: HashMap<u64, u32>,
}

impl Backlog {
    pub(crate) fn insert(&mut self, w: Waiting) {
        let ask = w.ask;
        let batch = ask.class == Class::Batch;
        self.places.insert(ask.ticket, (batch, w.rank));
        *self.keys.entry(ask.key).or_default() += 1;
        let lane = self.lane_mut(batch);
        lane.order.insert((w.rank, ask.ticket), w);
        lane.deadlines.insert((ask.deadline, ask.ticket));
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let (batch, rank) = self.places.remove(&ticket)?;
        let lane = self.lane_mut(batch);
        let w = lane.order.remove(&(rank, ticket))?;
        lane.deadlines.remove(&(w.ask.deadline, ticket));
        if let Some(n) = self.keys.get_mut(&w.ask.key) {
            *n -= 1;
            if *n == 0 {
                self.keys.remove(&w.ask.key);
            }
        }
        Some(w)
    }

    /// Returns the next to be sent.
    pub(crate) fn first(&self, batch: bool) -> Option<&Waiting> {
        self.lane(batch).order.first_key_value().map(|(_, w)| w)
    }

    /// Returns the one with the earliest deadline.
    pub(crate) fn earliest(&self, batch: bool) -> Option<&Waiting> {
        let lane = self.lane(batch);
        let (_, ticket) = lane.deadlines.first()?;
        let (_, rank) = self.places.get(ticket)?;
        lane.order.get(&(*rank, *ticket))
    }

    pub(crate) fn len(&self, batch: bool) -> usize {
        self.lane(batch).order.len()
    }

    /// Counts the waiting requests of a key.
    pub(crate) fn of_key(&self, key: u64) -> u32 {
        self.keys.get(&key).copied().unwrap_or(0)
    }

    /// Counts the requests that would go before one with `rank`.
    pub(crate) fn ahead(&self, batch: bool, rank: Millis) -> usize {
        let order = &self.lane(batch).order;
        match order.last_key_value() {
            Some((&(last, _), _)) if last > rank => {
                order.range(..=(rank, Ticket(u64::MAX))).count()
            }
            _ => order.len(),
        }
    }

    const fn lane_mut(&mut self, batch: bool) -> &mut Lane {
        if batch {
            &mut self.batch
        } else {
            &mut self.urgent
        }
    }

    const fn lane(&self, batch: bool) -> &Lane {
        if batch { &self.batch } else { &self.urgent }
    }
}
