//! The decisions under load, in one place so that they can be exchanged.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::str::FromStr;

use chicoryrail_core::Millis;
use snafu::Snafu;

/// How a server of a free service is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// By the gate's own observation, reports second.
    Policy,
    /// One after the other; a baseline for measurements.
    RoundRobin,
    /// The fewest requests in flight; a baseline for measurements.
    LeastRequests,
}

/// A name that is no placement.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{name} is not policy, round-robin or least-requests"))]
pub struct PlacementError {
    name: String,
}

impl FromStr for Placement {
    type Err = PlacementError;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "policy" => Ok(Self::Policy),
            "round-robin" => Ok(Self::RoundRobin),
            "least-requests" => Ok(Self::LeastRequests),
            _ => Err(PlacementError {
                name: name.to_owned(),
            }),
        }
    }
}

/// Waiting requests of one server, the earliest deadline first.
#[derive(Debug)]
pub(crate) struct Queue<T> {
    heap: BinaryHeap<Waiting<T>>,
    serial: u64,
}

#[derive(Debug)]
struct Waiting<T> {
    deadline: Millis,
    serial: u64,
    item: T,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            serial: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Adds a request; equal deadlines keep the order of arrival.
    pub(crate) fn push(&mut self, deadline: Millis, item: T) {
        self.serial += 1;
        self.heap.push(Waiting {
            deadline,
            serial: self.serial,
            item,
        });
    }

    /// Takes the request with the earliest deadline.
    pub(crate) fn pop(&mut self) -> Option<T> {
        self.heap.pop().map(|w| w.item)
    }

    /// Keeps the requests for which `keep` holds.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        self.heap.retain(|w| keep(&w.item));
    }
}

impl<T> PartialEq for Waiting<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Waiting<T> {}

impl<T> PartialOrd for Waiting<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Waiting<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap gives its greatest; the earliest deadline is to come first.
        (other.deadline, other.serial).cmp(&(self.deadline, self.serial))
    }
}

/// Most requests that wait for one slot. Made for bursts: a longer queue only moves the refusal
/// behind the deadline.
const WAITING_PER_SLOT: u32 = 64;

/// Tells whether a request that must wait can still finish in time.
///
/// Made for saturation: a request that is bound to miss its deadline would take a slot from one
/// that is not. `mean_us` is the server's mean service time, 0 where unknown.
pub(crate) fn admits(waiting: usize, slots: u32, mean_us: u32, left: Millis) -> bool {
    let slots = u64::from(slots.max(1));
    let waiting = waiting as u64;
    if waiting >= slots * u64::from(WAITING_PER_SLOT) {
        return false;
    }
    (waiting / slots + 1) * u64::from(mean_us) <= left.0 * 1_000
}

/// Retries that a service may spend.
///
/// Made for total failure: without the bound each request would become several and keep servers
/// down. A tenth of the requests keeps the amplification at 1.1; the reserve of ten lets a service
/// with little traffic retry at all.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: Self::RESERVE,
        }
    }
}

impl RetryBudget {
    const RESERVE: f64 = 10.0;
    const SHARE: f64 = 0.1;

    /// Counts a request.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + Self::SHARE).min(Self::RESERVE);
    }

    /// Takes a retry where one is left.
    pub(crate) fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
