//! Tokens of one organisation at a host that reaches no scheduler.

use chicoryrail_core::Millis;
use chicoryrail_core::QuotaLimit;

use crate::quota::token_bucket::TokenBucket;
use crate::quota::token_bucket::time_to_refill;

/// Fraction of the limit that all hosts together have for requests that no scheduler counts. It lies within the
/// tolerance by which a limit may be exceeded, so the leader need not know which hosts these are.
const FALLBACK_FRACTION: f64 = 0.2;

/// Tokens of one organisation at a host that reaches no scheduler.
#[derive(Clone, Copy, Debug)]
pub struct LoneShare {
    bucket: TokenBucket,
}

impl Default for LoneShare {
    fn default() -> Self {
        Self {
            bucket: TokenBucket::empty(Millis::ZERO),
        }
    }
}

impl LoneShare {
    /// Takes a token for a request. `hosts` is the number of hosts that share the organisation's limit.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available.
    pub fn take(&mut self, now: Millis, limit: QuotaLimit, hosts: usize) -> Result<(), Millis> {
        let rate = limit.rate * FALLBACK_FRACTION / hosts.max(1) as f64;
        self.bucket.refill(now, rate, rate.max(1.0));
        if self.bucket.tokens < 1.0 {
            return Err(time_to_refill(1.0 - self.bucket.tokens, rate));
        }
        self.bucket.tokens -= 1.0;
        Ok(())
    }
}
