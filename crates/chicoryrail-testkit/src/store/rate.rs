//! Enforcement of the store's rates.

use chicoryrail_core::Millis;

/// A bucket that refills at a rate and holds one second's worth.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    per_second: Option<u32>,
    left: f64,
    last: Millis,
}

impl Rate {
    /// Builds a full bucket; `None` lets everything pass.
    pub(crate) fn new(per_second: Option<u32>) -> Self {
        Self {
            per_second,
            left: f64::from(per_second.unwrap_or(0)),
            last: Millis::ZERO,
        }
    }

    /// Takes one call; tells whether it may pass.
    pub(crate) fn take(&mut self, now: Millis) -> bool {
        let Some(per_second) = self.per_second else {
            return true;
        };
        let rate = f64::from(per_second);
        self.left = (self.left + now.since(self.last).0 as f64 * rate / 1000.0).min(rate);
        self.last = now;
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
