//! Deals requests to a server at the rate that it takes.

use chicoryrail_core::Millis;

/// Time over which requests that were not sent may be made good. Some servers name so low a rate that this is less than
/// one request; one may always be sent at its time.
const BURST_TIME_MS: f64 = 250.0;

/// Lowest rate that is dealt out. A server that gets nothing at all could not say that it takes more again.
const REQUESTS_PER_S_MIN: f64 = 0.25;

/// The requests that a limited server may get at a moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateBucket {
    tokens: f64,
    at: Millis,
}

impl RateBucket {
    /// Returns a bucket that fills from now on: what others sent the server before is not known.
    pub(crate) const fn empty(now: Millis) -> Self {
        Self {
            tokens: 0.0,
            at: now,
        }
    }

    /// Tells whether a request may be sent.
    pub(crate) fn has_token(&self, now: Millis, rate: f64) -> bool {
        self.tokens(now, rate) >= 1.0
    }

    /// Returns the time until a request may be sent, in microseconds.
    pub(crate) fn token_in(&self, now: Millis, rate: f64) -> f64 {
        let lacking = (1.0 - self.tokens(now, rate)).max(0.0);
        lacking / rate.max(REQUESTS_PER_S_MIN) * 1_000_000.0
    }

    /// Takes the token of a request that is sent.
    pub(crate) fn take(&mut self, now: Millis, rate: f64) {
        self.tokens = self.tokens(now, rate) - 1.0;
        self.at = now;
    }

    fn tokens(&self, now: Millis, rate: f64) -> f64 {
        let rate = rate.max(REQUESTS_PER_S_MIN) / 1_000.0;
        let most = (rate * BURST_TIME_MS).max(1.0);
        let gained = now.since(self.at).0 as f64 * rate;
        (self.tokens + gained).min(most)
    }
}
