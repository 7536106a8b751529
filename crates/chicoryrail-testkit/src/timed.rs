//! Faults that end after a set time.

use chicoryrail_core::Millis;

/// Active faults with the time at which each ends.
#[derive(Debug)]
pub(crate) struct TimedFaults<F> {
    faults: Vec<(Millis, F)>,
}

impl<F> Default for TimedFaults<F> {
    fn default() -> Self {
        Self { faults: Vec::new() }
    }
}

impl<F> TimedFaults<F> {
    /// Switches a fault on until `ends_at`; active faults stay on.
    pub(crate) fn add(&mut self, ends_at: Millis, fault: F) {
        self.faults.push((ends_at, fault));
    }

    /// Switches all faults off.
    pub(crate) fn clear(&mut self) {
        self.faults.clear();
    }

    /// Iterates over the faults that are active at `now` and the times at which they end; drops those that have ended.
    pub(crate) fn active(&mut self, now: Millis) -> impl Iterator<Item = &(Millis, F)> {
        self.faults.retain(|(ends_at, _)| *ends_at > now);
        self.faults.iter()
    }
}
