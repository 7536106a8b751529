//! The warm-up of a server with empty caches: requests take longer, and only a limited number may arrive per second.

use std::collections::VecDeque;

use chicoryrail_core::Millis;

/// Factor by which the service time is multiplied during a warm-up.
const SERVICE_TIME_FACTOR: f64 = 4.0;

/// Length of the sliding window in which arrivals are counted.
const ARRIVAL_WINDOW: Millis = Millis(1_000);

/// One warm-up of a server, in progress or past.
#[derive(Clone, Debug)]
pub(crate) struct WarmUp {
    length: Millis,
    started_at: Millis,
    /// Times of the arrivals of the last second.
    arrivals: VecDeque<Millis>,
}

impl WarmUp {
    /// Starts a warm-up of `length` at `now`.
    pub(crate) const fn new(now: Millis, length: Millis) -> Self {
        Self {
            length,
            started_at: now,
            arrivals: VecDeque::new(),
        }
    }

    /// Returns the time since the start of the warm-up; `None` after its end.
    pub(crate) fn age(&self, now: Millis) -> Option<Millis> {
        let age = now.since(self.started_at);
        (age < self.length).then_some(age)
    }

    /// Returns how much longer the warm-up lasts.
    pub(crate) fn remaining(&self, now: Millis) -> Millis {
        self.length.since(now.since(self.started_at))
    }

    /// Returns the factor by which the service time is multiplied.
    pub(crate) fn service_factor(&self, now: Millis) -> f64 {
        if self.age(now).is_some() {
            SERVICE_TIME_FACTOR
        } else {
            1.0
        }
    }

    /// Records an arrival; returns the number of arrivals of the last second, or `None` after the end of the warm-up.
    pub(crate) fn record_arrival(&mut self, now: Millis) -> Option<u32> {
        self.age(now)?;
        self.arrivals.push_back(now);
        while self
            .arrivals
            .front()
            .is_some_and(|a| now.since(*a) >= ARRIVAL_WINDOW)
        {
            self.arrivals.pop_front();
        }
        Some(self.arrivals.len() as u32)
    }
}
