//! Faults that end by themselves.

use chicoryrail_core::Millis;

/// Faults that are on, each until its end.
#[derive(Debug)]
pub(crate) struct Timed<F> {
    on: Vec<(Millis, F)>,
}

impl<F> Default for Timed<F> {
    fn default() -> Self {
        Self { on: Vec::new() }
    }
}

impl<F> Timed<F> {
    /// Switches a fault on until `ends`, beside those that are on.
    pub(crate) fn add(&mut self, ends: Millis, fault: F) {
        self.on.push((ends, fault));
    }

    /// Switches all faults off.
    pub(crate) fn clear(&mut self) {
        self.on.clear();
    }

    /// Iterates over the faults that are on at `now`, with their ends.
    pub(crate) fn at(&mut self, now: Millis) -> impl Iterator<Item = &(Millis, F)> {
        self.on.retain(|(ends, _)| *ends > now);
        self.on.iter()
    }
}
