//! How far a quota limit may be exceeded, and how this tolerance is divided.

use chicoryrail_core::Millis;
use chicoryrail_core::QuotaLimit;

/// Fraction of the tolerance that schedulers may spend before they receive the tokens for it.
const ADVANCE_FRACTION: f64 = 0.3;

/// Fraction of the tolerance by which accumulated tokens may exceed the burst.
const BURST_EXTRA_FRACTION: f64 = 0.3;

/// Accumulated tokens per scheduler below which no scheduler holds tokens without demand.
const BASE_TOKENS_MIN: f64 = 1.0;

/// Fraction of the accumulated tokens that schedulers hold without demand.
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

    /// Returns the number of requests by which a limit may be exceeded in a window.
    #[must_use]
    pub fn extra_requests(&self, limit: QuotaLimit) -> f64 {
        self.window_limit(limit) * self.ratio + self.slack
    }

    /// Returns the number of requests that all schedulers together may admit before they receive the tokens.
    pub(crate) fn advance_requests(&self, limit: QuotaLimit) -> f64 {
        self.extra_requests(limit) * ADVANCE_FRACTION
    }

    /// Returns the number of tokens that may accumulate in addition to the burst.
    pub(crate) fn burst_extra(&self, limit: QuotaLimit) -> f64 {
        self.extra_requests(limit) * BURST_EXTRA_FRACTION
    }

    /// Returns the number of tokens that each scheduler holds of a limit without demand, so that a first request finds
    /// one. All schedulers together hold a fraction of the tokens that may accumulate; the rest follows the demand. If
    /// there are too few tokens for all schedulers, none holds any.
    pub(crate) fn base_tokens(&self, limit: QuotaLimit, schedulers: usize) -> u64 {
        let per_scheduler = (limit.burst + self.burst_extra(limit)) / schedulers.max(1) as f64;
        if per_scheduler < BASE_TOKENS_MIN {
            return 0;
        }
        (per_scheduler * BASE_FRACTION).max(1.0) as u64
    }
}
