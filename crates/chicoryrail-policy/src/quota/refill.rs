//! A number of tokens that grows with time.

use chicoryrail_core::Millis;

/// Tokens that grow at a rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Refill {
    pub(crate) tokens: f64,
    at: Millis,
}

impl Refill {
    /// Returns no tokens, which grow from `start` on.
    pub(crate) const fn from(start: Millis) -> Self {
        Self {
            tokens: 0.0,
            at: start,
        }
    }

    /// Adds what grew since the last time, at `rate` a second, up to `most`.
    pub(crate) fn grow(&mut self, now: Millis, rate: f64, most: f64) {
        let passed = now.since(self.at);
        let grown = self.tokens + rate * passed.0 as f64 / 1_000.0;
        self.tokens = grown.min(most);
        self.at = now;
    }
}

/// Returns the time in which `tokens` grow at `rate` a second.
pub(crate) fn time_to_grow(tokens: f64, rate: f64) -> Millis {
    if rate <= 0.0 {
        return Millis(1_000);
    }
    Millis((tokens.max(0.0) * 1_000.0 / rate).ceil() as u64)
}
