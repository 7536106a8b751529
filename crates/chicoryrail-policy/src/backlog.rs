//! Requests that wait, by deadline.

use std::collections::BTreeMap;
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
}

type Lane = BTreeMap<(Millis, Ticket), Waiting>;

/// Requests that wait: lookups and orders in one lane, batch in another, each by deadline.
///
/// The earliest deadline goes first, which misses the fewest as long as the load can be borne; that
/// it can is what admission sees to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backlog {
    urgent: Lane,
    batch: Lane,
    places: HashMap<Ticket, (bool, Millis)>,
}

impl Backlog {
    pub(crate) fn insert(&mut self, ask: Ask, now: Millis) {
        let batch = ask.class == Class::Batch;
        self.places.insert(ask.ticket, (batch, ask.deadline));
        let waiting = Waiting { ask, since: now };
        self.lane(batch).insert((ask.deadline, ask.ticket), waiting);
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let (batch, deadline) = self.places.remove(&ticket)?;
        self.lane(batch).remove(&(deadline, ticket))
    }

    pub(crate) fn first(&self, batch: bool) -> Option<&Waiting> {
        self.lane_ref(batch).first_key_value().map(|(_, w)| w)
    }

    pub(crate) fn len(&self, batch: bool) -> usize {
        self.lane_ref(batch).len()
    }

    /// Counts the requests that would go before one with `deadline`.
    pub(crate) fn ahead(&self, batch: bool, deadline: Millis) -> usize {
        let lane = self.lane_ref(batch);
        match lane.last_key_value() {
            Some((&(last, _), _)) if last > deadline => {
                lane.range(..=(deadline, Ticket(u64::MAX))).count()
            }
            _ => lane.len(),
        }
    }

    fn lane(&mut self, batch: bool) -> &mut Lane {
        if batch {
            &mut self.batch
        } else {
            &mut self.urgent
        }
    }

    const fn lane_ref(&self, batch: bool) -> &Lane {
        if batch { &self.batch } else { &self.urgent }
    }
}
