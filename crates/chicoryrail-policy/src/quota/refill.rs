//! A number of tokens that grows with time.

use chicoryrail_core::Millis;
use chicoryrail_core::QuotaLimit;

/// What may be exceeded of every limit, summed over all hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allowance {
    /// Part of the limit.
    pub over: f64,
    /// Requests beside it.
    pub slack: f64,
    /// Window over which requests are counted.
    pub window: Millis,
}

impl Allowance {
    /// Returns the requests that a limit allows in a window.
    #[must_use]
    pub fn window_limit(&self, limit: QuotaLimit) -> f64 {
        limit.rate * self.window.0 as f64 / 1_000.0 + limit.burst
    }

    /// Returns the requests by which a limit may be exceeded in a window.
    #[must_use]
    pub fn requests(&self, limit: QuotaLimit) -> f64 {
        self.window_limit(limit) * self.over + self.slack
    }
}

/// Tokens that grow at a rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Refill {
    pub(crate) tokens: f64,
    at: Option<Millis>,
}

impl Refill {
    /// Returns no tokens, which grow from `start` on.
    pub(crate) const fn from(start: Millis) -> Self {
        Self {
            tokens: 0.0,
            at: Some(start),
        }
    }

    /// Adds what grew since the last time, at `rate` a second, up to `most`.
    pub(crate) fn grow(&mut self, now: Millis, rate: f64, most: f64) {
        let passed = self.at.map_or(Millis::ZERO, |at| now.since(at));
        let grown = self.tokens + rate * passed.0 as f64 / 1_000.0;
        self.tokens = grown.min(most);
        self.at = Some(now);
    }
}

/// Returns the time in which `tokens` grow at `rate` a second.
pub(crate) fn time_to_grow(tokens: f64, rate: f64) -> Millis {
    if rate <= 0.0 {
        return Millis(1_000);
    }
    Millis((tokens.max(0.0) * 1_000.0 / rate).ceil() as u64)
}
