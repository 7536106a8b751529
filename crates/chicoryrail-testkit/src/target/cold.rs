//! Cold start: slow at first, and able to bear only a few requests.

use chicoryrail_core::Millis;

/// How many times longer a request takes on a cold server.
const COLD_FACTOR: f64 = 4.0;

/// The state of a server's caches.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cold {
    length: Millis,
    since: Millis,
}

impl Cold {
    /// Starts a cold phase of `length` at `now`.
    pub(crate) const fn new(now: Millis, length: Millis) -> Self {
        Self { length, since: now }
    }

    /// Returns the time since the phase began, while it lasts.
    pub(crate) fn age(&self, now: Millis) -> Option<Millis> {
        let age = now.since(self.since);
        (age < self.length).then_some(age)
    }

    /// Returns the factor on the service time.
    pub(crate) fn factor(&self, now: Millis) -> f64 {
        if self.age(now).is_some() {
            COLD_FACTOR
        } else {
            1.0
        }
    }

    /// Returns the requests in flight that the server can bear, of its `slots`; `None` when warm.
    ///
    /// It grows from one to the slots in equal steps over the phase.
    pub(crate) fn bears(&self, now: Millis, slots: u32) -> Option<u32> {
        let age = self.age(now)?;
        let share = u64::from(slots) * age.0 / self.length.0.max(1);
        Some(slots.min(share as u32 + 1))
    }
}
