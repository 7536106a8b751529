//! Checks how old a host's configuration may be.

use chicoryrail_core::Millis;

/// Divisor for the clock drift between two hosts: their clocks may differ by one part in this many.
const CLOCK_DRIFT_DIVISOR: u64 = 50;

/// Allowance for rounding, as hosts exchange durations in whole milliseconds.
const ROUNDING_MARGIN: Millis = Millis(20);

/// Moment at which a host's configuration was last known to be current.
///
/// Guards against a host that is isolated and keeps accepting a revoked API key. A verification is dated at the moment
/// at which its call was *sent*: the reply may have been delayed on its way, and a pending watch verifies nothing. A
/// change that this host has not received came after that moment. So a request that is read within the bound of that
/// moment was also sent within the bound of the change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    current_at: Option<Millis>,
}

impl Freshness {
    /// Records that the configuration was current at `at`. An older moment than the recorded one changes nothing.
    pub fn mark_current(&mut self, at: Millis) {
        self.current_at = self.current_at.max(Some(at));
    }

    /// Returns the age of the last verification; `None` if the configuration was never verified to be current.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.current_at.map(|at| now.since(at))
    }

    /// Returns `true` if API keys may be accepted without accepting one later than `bound` after its removal. The bound
    /// is shortened by the possible clock drift and by rounding.
    #[must_use]
    pub fn is_fresh(&self, now: Millis, bound: Millis) -> bool {
        let usable = bound.since(Millis(bound.0 / CLOCK_DRIFT_DIVISOR) + ROUNDING_MARGIN);
        self.age(now).is_some_and(|age| age < usable)
    }
}
