//! The rate limiter of the store's calls.

use chicoryrail_core::Millis;

/// A token bucket whose capacity is one second of its rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimiter {
    per_second: Option<u32>,
    tokens: f64,
    refilled_at: Millis,
}

impl RateLimiter {
    /// Builds a full bucket of `per_second` calls a second; `None` sets no limit.
    pub(crate) fn new(per_second: Option<u32>) -> Self {
        Self {
            per_second,
            tokens: f64::from(per_second.unwrap_or(0)),
            refilled_at: Millis::ZERO,
        }
    }

    /// Takes a token for one call; returns `false` if none is left.
    pub(crate) fn try_take(&mut self, now: Millis) -> bool {
        let Some(per_second) = self.per_second else {
            return true;
        };
        let rate = f64::from(per_second);
        self.tokens =
            (self.tokens + now.since(self.refilled_at).0 as f64 * rate / 1000.0).min(rate);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
