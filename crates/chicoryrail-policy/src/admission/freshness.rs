//! How old a host's configuration may be.

use chicoryrail_core::Millis;

/// Part of a length of time by which two clocks may differ: one in so many.
const CLOCK_DRIFT_DIVISOR: u64 = 50;

/// Time for the rounding of lengths that hosts exchange in whole milliseconds.
const ROUNDING_MARGIN: Millis = Millis(20);

/// Since when a host's configuration may be out of date.
///
/// Guards against a host that is cut off and goes on serving an API key that was taken away. Each proof counts from the
/// moment at which the call was *sent* whose answer brought it: an answer may have been on its way for long, and a
/// watch that waits proves nothing. A request that is read within the bound of that moment was sent within the bound
/// of every change that this host has not heard of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    current_at: Option<Millis>,
}

impl Freshness {
    /// Takes in that the configuration was current at `at`.
    pub fn prove(&mut self, at: Millis) {
        self.current_at = self.current_at.max(Some(at));
    }

    /// Returns how old the configuration may be; `None` where it was never proved current.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.current_at.map(|at| now.since(at))
    }

    /// Tells whether API keys may be served within `bound` of their removal.
    #[must_use]
    pub fn holds(&self, now: Millis, bound: Millis) -> bool {
        let usable = bound.since(Millis(bound.0 / CLOCK_DRIFT_DIVISOR) + ROUNDING_MARGIN);
        self.age(now).is_some_and(|age| age < usable)
    }
}
