//! Checks whether a host's configuration is recent enough to accept API keys by it.

use chicoryrail_core::Millis;

/// Divisor for the clock drift between two hosts: over a duration, their clocks may diverge by the duration divided by
/// this, that is by 2 %.
const CLOCK_DRIFT_DIVISOR: u64 = 50;

/// Allowance for rounding, as hosts exchange durations in whole milliseconds.
const ROUNDING_MARGIN: Millis = Millis(20);

/// Time at which a host's configuration was last known to be current.
///
/// Guards against a host that is isolated and keeps accepting a revoked API key. The configuration is verified by a
/// call to the store, and counts as current at the time at which the call was *sent*, since the reply may be delayed. A
/// watch that is open and delivers nothing does not verify it. Any change that this host has missed came after that
/// time. So a request that is read less than the bound after that time is read, and was sent, less than the bound after
/// the change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    current_at: Option<Millis>,
}

impl Freshness {
    /// Records that the configuration was current at `at`. An earlier time than the recorded one changes nothing.
    pub fn mark_current(&mut self, at: Millis) {
        self.current_at = self.current_at.max(Some(at));
    }

    /// Returns the time since the configuration was last known to be current; `None` if it was never verified.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.current_at.map(|at| now.since(at))
    }

    /// Returns `true` if the configuration is recent enough that no API key is accepted more than `bound` after it was
    /// revoked. The bound is shortened by the possible clock drift and by rounding.
    #[must_use]
    pub fn is_fresh(&self, now: Millis, bound: Millis) -> bool {
        let usable = bound.since(Millis(bound.0 / CLOCK_DRIFT_DIVISOR) + ROUNDING_MARGIN);
        self.age(now).is_some_and(|age| age < usable)
    }
}
