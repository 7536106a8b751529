//! What may be exceeded of a limit, and how that is divided.

use chicoryrail_core::Millis;
use chicoryrail_core::QuotaLimit;

/// Part of what a limit may be exceeded by that schedulers may use up ahead of their tokens.
const AHEAD_PART: f64 = 0.3;

/// Part of what a limit may be exceeded by that may gather beside the burst.
const GATHERED_PART: f64 = 0.3;

/// Tokens that may gather for each scheduler from which on each holds one without demand.
const BASE_FROM: f64 = 1.0;

/// Part of what may gather that schedulers hold without demand.
const BASE_PART: f64 = 0.25;

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

    /// Returns the requests that all schedulers together may let go ahead of their tokens.
    pub(crate) fn ahead(&self, limit: QuotaLimit) -> f64 {
        self.requests(limit) * AHEAD_PART
    }

    /// Returns the tokens that may gather beside the burst.
    pub(crate) fn beside(&self, limit: QuotaLimit) -> f64 {
        self.requests(limit) * GATHERED_PART
    }

    /// Returns the tokens that each scheduler holds of a limit at any time, so that a first request finds one: all of
    /// them together hold a part of what may gather, and the rest goes where the demand is. Where there are too few for
    /// all, none holds any.
    pub(crate) fn base_tokens(&self, limit: QuotaLimit, schedulers: usize) -> u64 {
        let each = (limit.burst + self.beside(limit)) / schedulers.max(1) as f64;
        if each < BASE_FROM {
            return 0;
        }
        (each * BASE_PART).max(1.0) as u64
    }
}
