//! Limits the requests to a server to its advertised rate.

use chicoryrail_core::Millis;

/// Time over which unused tokens accumulate. For some advertised rates this is less than one token. The capacity is at
/// least one token, so that a request may always be sent when its token is due.
const BURST_TIME_MS: f64 = 250.0;

/// Lowest rate that is applied. A server that receives no request at all has no response in which to raise its rate.
const REQUESTS_PER_S_MIN: f64 = 0.25;

/// Token bucket of a server with a rate limit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateBucket {
    tokens: f64,
    updated_at: Millis,
}

impl RateBucket {
    /// Returns an empty bucket that refills from now on, as the requests that other hosts sent before are unknown.
    pub(crate) const fn empty(now: Millis) -> Self {
        Self {
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Returns `true` if a request may be sent.
    pub(crate) fn has_token(&self, now: Millis, rate: f64) -> bool {
        self.tokens(now, rate) >= 1.0
    }

    /// Returns the time until a request may be sent, in microseconds.
    pub(crate) fn token_in_us(&self, now: Millis, rate: f64) -> f64 {
        let missing = (1.0 - self.tokens(now, rate)).max(0.0);
        missing / rate.max(REQUESTS_PER_S_MIN) * 1_000_000.0
    }

    /// Takes a token for a request that is sent.
    pub(crate) fn take(&mut self, now: Millis, rate: f64) {
        self.tokens = self.tokens(now, rate) - 1.0;
        self.updated_at = now;
    }

    /// Returns the number of tokens at `now`.
    fn tokens(&self, now: Millis, rate: f64) -> f64 {
        let rate = rate.max(REQUESTS_PER_S_MIN) / 1_000.0;
        let capacity = (rate * BURST_TIME_MS).max(1.0);
        let refilled = now.since(self.updated_at).0 as f64 * rate;
        (self.tokens + refilled).min(capacity)
    }
}
