//! How far a quota limit may be exceeded, and how much of this tolerance each purpose may use: requests admitted before
//! their tokens arrive, and larger grants.

use chicoryrail_core::Millis;
use chicoryrail_core::QuotaLimit;

/// Fraction of the tolerance that schedulers may spend before they receive the tokens for it.
const ADVANCE_FRACTION: f64 = 0.3;

/// Fraction of the tolerance by which the leader's grants may exceed the limit.
const GRANT_FRACTION: f64 = 0.3;

/// Burst capacity per scheduler below which schedulers hold no base tokens, which are tokens kept without demand.
const BASE_TOKENS_MIN: f64 = 1.0;

/// Fraction of the burst capacity that all schedulers together hold as base tokens.
const BASE_FRACTION: f64 = 0.25;

/// Tolerance by which every limit may be exceeded, summed over all hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Fraction of the limit.
    pub ratio: f64,
    /// Requests in addition to that fraction.
    pub slack: f64,
    /// Window over which requests are counted.
    pub window: Millis,
}

impl QuotaTolerance {
    /// Returns the number of requests that a limit allows in a window.
    #[must_use]
    pub fn window_limit(&self, limit: QuotaLimit) -> f64 {
        limit.rate * self.window.0 as f64 / 1_000.0 + limit.burst
    }

    /// Returns the tolerance of a limit: the number of requests by which it may be exceeded in a window.
    #[must_use]
    pub fn tolerated_requests(&self, limit: QuotaLimit) -> f64 {
        self.window_limit(limit) * self.ratio + self.slack
    }

    /// Returns the number of requests that all schedulers together may admit before they receive the tokens.
    pub(crate) fn advance_tolerance(&self, limit: QuotaLimit) -> f64 {
        self.tolerated_requests(limit) * ADVANCE_FRACTION
    }

    /// Returns the number of tokens by which grants may exceed both the burst and the window limit.
    pub(crate) fn grant_tolerance(&self, limit: QuotaLimit) -> f64 {
        self.tolerated_requests(limit) * GRANT_FRACTION
    }

    /// Returns the number of tokens of a limit that each scheduler keeps even without demand, so that a first request
    /// need not wait for a grant. All schedulers together keep a fraction of the burst capacity, and each at least one
    /// token; the rest follows the demand. If the capacity is too small for all schedulers, none keeps any.
    pub(crate) fn base_tokens(&self, limit: QuotaLimit, schedulers: usize) -> u64 {
        let per_scheduler = (limit.burst + self.grant_tolerance(limit)) / schedulers.max(1) as f64;
        if per_scheduler < BASE_TOKENS_MIN {
            return 0;
        }
        (per_scheduler * BASE_FRACTION).max(1.0) as u64
    }
}
