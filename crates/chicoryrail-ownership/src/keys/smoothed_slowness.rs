//! Slowness of a server over many requests.

use chicoryrail_core::Millis;

/// Time over which the slowness is averaged once a server is known for longer. The reported mean covers some 16
/// requests, hardly more than a second, and varies by an eighth; plans that follow it would move keys all the time.
const AVERAGING_TIME: Millis = Millis(15_000);

/// Time that counts as observed when a server becomes known.
const INITIAL_TIME: Millis = Millis(1_000);

/// Moving average of the slowness reports on a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SmoothedSlowness {
    mean: f64,
    /// When the server became known.
    since: Millis,
    observed_at: Millis,
}

impl SmoothedSlowness {
    pub(crate) const fn new(now: Millis, observed: f64) -> Self {
        Self {
            mean: observed,
            since: now,
            observed_at: now,
        }
    }

    /// Adds a report and returns the mean. It is the mean of all reports at first, and an exponential one later.
    pub(crate) fn observe(&mut self, now: Millis, observed: f64) -> f64 {
        let elapsed = now.since(self.observed_at).0 as f64;
        let known = (now.since(self.since) + INITIAL_TIME).min(AVERAGING_TIME);
        self.mean += (observed - self.mean) * (elapsed / known.0 as f64).min(1.0);
        self.observed_at = now;
        self.mean
    }
}
