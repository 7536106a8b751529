//! A server that names how many requests a second it takes.

use std::collections::VecDeque;

use chicoryrail_core::Millis;

/// Time after a server first named its limit from which on it must be kept.
const SETTLE_TIME: Millis = Millis(3_000);

/// Time over which requests are counted.
const WINDOW: Millis = Millis(4_000);

/// What may arrive in a window: so many times the rate, and so many requests more.
const RATE_FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Requests that came while a server named a limit.
#[derive(Debug, Default)]
pub(crate) struct Limited {
    since: Option<Millis>,
    arrived: VecDeque<Millis>,
}

/// More requests than a server's limit allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Excess {
    /// Time since the server first named its limit.
    pub(crate) age: Millis,
    /// Requests that arrived in the window.
    pub(crate) arrived: u32,
    /// Requests that may arrive in it.
    pub(crate) allowed: u32,
}

impl Limited {
    /// Counts an arrival at a server that names `rate`; returns what was too much.
    pub(crate) fn arrive(&mut self, now: Millis, rate: Option<f64>) -> Option<Excess> {
        let Some(rate) = rate else {
            *self = Self::default();
            return None;
        };
        let age = now.since(*self.since.get_or_insert(now));
        if age < SETTLE_TIME {
            return None;
        }
        self.arrived.push_back(now);
        while self
            .arrived
            .front()
            .is_some_and(|a| now.since(*a) >= WINDOW)
        {
            self.arrived.pop_front();
        }
        let arrived = self.arrived.len() as u32;
        let window = WINDOW.0 as f64 / 1_000.0;
        let allowed = (rate * window * RATE_FACTOR + SLACK) as u32;
        (arrived > allowed).then_some(Excess {
            age,
            arrived,
            allowed,
        })
    }
}
