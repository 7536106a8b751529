//! Token bucket that refills with time.

use chicoryrail_core::Millis;

/// Tokens that accumulate at a given rate up to a given capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TokenBucket {
    pub(crate) tokens: f64,
    updated_at: Millis,
}

impl TokenBucket {
    /// Returns an empty bucket that refills from `start` on.
    pub(crate) const fn empty(start: Millis) -> Self {
        Self {
            tokens: 0.0,
            updated_at: start,
        }
    }

    /// Adds the tokens since the last call, at `rate` per second, up to `capacity`.
    pub(crate) fn refill(&mut self, now: Millis, rate: f64, capacity: f64) {
        let elapsed = now.since(self.updated_at);
        let total = self.tokens + rate * elapsed.0 as f64 / 1_000.0;
        self.tokens = total.min(capacity);
        self.updated_at = now;
    }
}

/// Returns the time in which `tokens` accumulate at `rate` per second; 1 s if the rate is 0.
pub(crate) fn time_to_refill(tokens: f64, rate: f64) -> Millis {
    if rate <= 0.0 {
        return Millis(1_000);
    }
    Millis((tokens.max(0.0) * 1_000.0 / rate).ceil() as u64)
}
