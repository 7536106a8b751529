//! Checks arrivals against the rate limit that a server advertises.

use std::collections::VecDeque;

use chicoryrail_core::Millis;

/// Time that hosts have to apply a limit after a server first advertised it. Arrivals before are not counted.
const SETTLE_TIME: Millis = Millis(3_000);

/// Length of the sliding window in which arrivals are counted.
const WINDOW: Millis = Millis(4_000);

/// Multiple of the advertised rate that may arrive in a window.
const RATE_FACTOR: f64 = 1.5;

/// Number of requests that may arrive in a window in addition to that multiple.
const SLACK_REQUESTS: f64 = 5.0;

/// Arrivals at a server while it advertises a rate limit.
#[derive(Debug, Default)]
pub(crate) struct LimitCheck {
    limited_since: Option<Millis>,
    arrivals: VecDeque<Millis>,
}

/// An excess of arrivals over the advertised limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Excess {
    /// Time since the server first advertised its limit.
    pub(crate) age: Millis,
    /// Number of requests that arrived in the window.
    pub(crate) arrived: u32,
    /// Number of requests that may arrive in the window.
    pub(crate) allowed: u32,
}

impl LimitCheck {
    /// Records an arrival at a server that advertises `rate` requests a second; returns the excess, if any. Without a
    /// rate, the record is cleared.
    pub(crate) fn record_arrival(&mut self, now: Millis, rate: Option<f64>) -> Option<Excess> {
        let Some(rate) = rate else {
            *self = Self::default();
            return None;
        };
        let age = now.since(*self.limited_since.get_or_insert(now));
        if age < SETTLE_TIME {
            return None;
        }
        self.arrivals.push_back(now);
        while self
            .arrivals
            .front()
            .is_some_and(|a| now.since(*a) >= WINDOW)
        {
            self.arrivals.pop_front();
        }
        let arrived = self.arrivals.len() as u32;
        let window = WINDOW.0 as f64 / 1_000.0;
        let allowed = (rate * window * RATE_FACTOR + SLACK_REQUESTS) as u32;
        (arrived > allowed).then_some(Excess {
            age,
            arrived,
            allowed,
        })
    }
}
