//! Whether a request may be sent a second time.

/// Share of requests that may be sent again in the long run.
///
/// Under 0.1, so that the amplification while everything fails stays at most 1.1 with the reserve.
const SHARE: f64 = 0.08;
/// Retries that may be saved up: a server that goes away with its slots and some queued requests.
const RESERVE: f64 = 10.0;

/// A service's budget of retries (token bucket).
///
/// Load: every server of a service fails. Harm prevented: each request is sent two or three times,
/// so that servers which come back meet a multiple of the usual load. Requests earn the budget, not
/// time: an idle service saves up no storm.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: RESERVE }
    }
}

impl RetryBudget {
    /// Earns the share of a request that came from a caller.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + SHARE).min(RESERVE);
    }

    /// Tells whether the request may be sent again, and takes the retry from the budget.
    ///
    /// `not_run` must be certain: refused before a byte was written, explicitly shed, or refused by
    /// the peer. Where it is not, only an idempotent request may be sent again.
    pub fn take(&mut self, not_run: bool, idempotent: bool) -> bool {
        let may = (not_run || idempotent) && self.tokens >= 1.0;
        if may {
            self.tokens -= 1.0;
        }
        may
    }
}
