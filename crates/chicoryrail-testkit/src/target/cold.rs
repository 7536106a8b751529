//! Cold start: slow at first, and able to bear only a few requests a second.

use std::collections::VecDeque;

use chicoryrail_core::Millis;

/// How many times longer a request takes on a cold server.
const COLD_FACTOR: f64 = 4.0;

/// Time over which a cold server's requests are counted.
const SECOND: Millis = Millis(1_000);

/// The state of a server's caches.
#[derive(Clone, Debug)]
pub(crate) struct Cold {
    length: Millis,
    since: Millis,
    /// Arrivals of the last second.
    arrived: VecDeque<Millis>,
}

impl Cold {
    /// Starts a cold phase of `length` at `now`.
    pub(crate) const fn new(now: Millis, length: Millis) -> Self {
        Self {
            length,
            since: now,
            arrived: VecDeque::new(),
        }
    }

    /// Returns the time since the phase began, while it lasts.
    pub(crate) fn age(&self, now: Millis) -> Option<Millis> {
        let age = now.since(self.since);
        (age < self.length).then_some(age)
    }

    /// Returns how much longer the phase lasts.
    pub(crate) fn left(&self, now: Millis) -> Millis {
        self.length.since(now.since(self.since))
    }

    /// Returns the factor on the service time.
    pub(crate) fn factor(&self, now: Millis) -> f64 {
        if self.age(now).is_some() {
            COLD_FACTOR
        } else {
            1.0
        }
    }

    /// Counts an arrival; returns the arrivals of the last second while the phase lasts.
    pub(crate) fn arrive(&mut self, now: Millis) -> Option<u32> {
        self.age(now)?;
        self.arrived.push_back(now);
        while self
            .arrived
            .front()
            .is_some_and(|a| now.since(*a) >= SECOND)
        {
            self.arrived.pop_front();
        }
        Some(self.arrived.len() as u32)
    }
}
