//! Limits the requests of one organisation at a host that reaches no scheduler.

use chicoryrail_core::Millis;
use chicoryrail_core::QuotaLimit;

use crate::quota::token_bucket::TokenBucket;
use crate::quota::token_bucket::time_to_refill;

/// Fraction of the limit that all hosts together may spend on requests that no scheduler counts. It lies within the
/// tolerance by which a limit may be exceeded, so the leader need not know which hosts these are.
const STANDALONE_FRACTION: f64 = 0.2;

/// Tokens of one organisation at a host that reaches no scheduler. A scheduler that gets no reply from the leader
/// spends the larger share of its [`QuotaShare`](crate::QuotaShare) instead.
#[derive(Clone, Copy, Debug)]
pub struct StandaloneShare {
    bucket: TokenBucket,
}

impl Default for StandaloneShare {
    fn default() -> Self {
        Self {
            bucket: TokenBucket::empty(Millis::ZERO),
        }
    }
}

impl StandaloneShare {
    /// Takes a token for a request. `hosts` is the number of hosts that share the organisation's limit.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available.
    pub fn try_take(&mut self, now: Millis, limit: QuotaLimit, hosts: usize) -> Result<(), Millis> {
        let rate = limit.rate * STANDALONE_FRACTION / hosts.max(1) as f64;
        self.bucket.refill(now, rate, rate.max(1.0));
        if self.bucket.tokens < 1.0 {
            return Err(time_to_refill(1.0 - self.bucket.tokens, rate));
        }
        self.bucket.tokens -= 1.0;
        Ok(())
    }
}
