//! Decides whether a request is sent again after a send that did not serve it.

use chicoryrail_core::Millis;

use crate::route::attempts::Attempts;
use crate::route::refusal::Cause;

/// Reason for which a request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryDenial {
    /// The request may run once at most, and an earlier send may have run.
    AtMostOnce,
    /// The route allows no more attempts.
    Attempts,
    /// A part of the body is no longer in memory.
    Body,
    /// Too little time is left.
    Time,
    /// The caller disconnected.
    CallerLeft,
    /// No server may receive the request from this host.
    Withheld,
    /// The retry budget is used up.
    Budget,
}

impl RetryDenial {
    /// Returns the name in logs.
    const fn name(self) -> &'static str {
        match self {
            Self::AtMostOnce => "at_most_once",
            Self::Attempts => "attempts",
            Self::Body => "body",
            Self::Time => "time",
            Self::CallerLeft => "caller_left",
            Self::Withheld => "withheld",
            Self::Budget => "budget",
        }
    }
}

impl Attempts<'_> {
    /// Returns `true` if the request may be sent again, and logs why not. If the last send reached a server
    /// (`reached_server`), the next one is a retry and consumes the retry budget.
    pub(super) fn may_retry(&self, reached_server: bool) -> bool {
        let denial = self
            .retry_denial()
            .or_else(|| (reached_server && !self.take_retry()).then_some(RetryDenial::Budget));
        let Some(denial) = denial else {
            return true;
        };
        if reached_server {
            self.log_retry_denied(denial);
        }
        false
    }

    /// Returns why the request may not be sent again, whatever the retry budget allows.
    pub(super) fn retry_denial(&self) -> Option<RetryDenial> {
        let max_attempts = self.call.route.max_attempts;
        if self.possible_runs > 0 && !self.call.is_idempotent() {
            Some(RetryDenial::AtMostOnce)
        } else if self.possible_runs >= max_attempts
            || self.tried.len() >= 2 + max_attempts as usize
        {
            Some(RetryDenial::Attempts)
        } else if !self.body.is_replayable() {
            Some(RetryDenial::Body)
        } else if self.call.time_to_send(self.router) == Millis::ZERO {
            Some(RetryDenial::Time)
        } else if self.call.caller_left.is_cancelled() {
            Some(RetryDenial::CallerLeft)
        } else if self.withheld().is_some() {
            Some(RetryDenial::Withheld)
        } else {
            None
        }
    }

    /// Takes a retry from the budget; returns `false` if there is none.
    pub(super) fn take_retry(&self) -> bool {
        let limits = self.router.retry_limits();
        let now = self.router.now();
        self.service.retries.borrow_mut().try_take(now, &limits)
    }

    /// Logs why a request is not sent again.
    pub(super) fn log_retry_denied(&self, denial: RetryDenial) {
        log::info!(request = self.call.id, service:% = self.service.name, reason = denial.name(),
            left_ms = self.call.time_to_respond(self.router).0,
            stopping = self.router.process.stop.is_cancelled(); "retry_denied");
    }

    /// Logs that a request which a server may have run finds no server to be sent to again; `cause` is why.
    pub(super) fn log_retry_refused(&self, cause: Cause) {
        log::info!(request = self.call.id, service:% = self.service.name, cause = cause.name(),
            left_ms = self.call.time_to_respond(self.router).0,
            stopping = self.router.process.stop.is_cancelled(); "retry_refused");
    }
}
