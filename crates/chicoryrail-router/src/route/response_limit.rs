//! Decides when a request without a response is sent again, and records sends without a response.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::route::attempts::Attempts;
use crate::route::retry::RetryDenial;
use crate::route::send_outcome::Indeterminate;
use crate::route::send_outcome::SendOutcome;

/// Multiple of the usual service time after which a request to an unresponsive server is sent to another one. It
/// exceeds what a slow server with a slow neighbour takes, since a second run wastes work.
const UNRESPONSIVE_WORK_FACTOR: f64 = 8.0;

impl Attempts<'_> {
    /// Returns how long to wait for the response before the request is sent again; `None` if it must not be. An idempotent
    /// request without a key is sent to another server, but not before twice the latency target. If the route tolerates
    /// waiting, so is one with a key: to the same owner over a new connection.
    pub(super) fn response_limit(&self) -> Option<Millis> {
        let route = &self.call.route;
        let tolerates_waiting = route.tolerates_waiting();
        let may_be_sent_again = self.call.is_idempotent()
            && (self.call.key.is_none() || tolerates_waiting)
            && self.possible_runs + 1 < route.max_attempts
            && self.body.is_received();
        if !may_be_sent_again {
            return None;
        }
        let observed = tolerates_waiting.then(|| self.router.route_stats.unanswered_after(route));
        match observed.flatten() {
            Some(limit) => Some(limit),
            // Only the owner of a key can take the request, and the estimate below does not tell whether it is slow.
            None if self.call.key.is_some() => None,
            None => {
                let response_time_max = self.expected_work().0 as f64 * UNRESPONSIVE_WORK_FACTOR;
                let limit = route.latency_target.saturating_mul(2);
                Some(limit.max(Millis(response_time_max as u64)))
            }
        }
    }

    /// Returns `true` if the request should be sent again beside an overdue send, which consumes the retry budget, and logs
    /// why not. It should not if a usual server could not respond in the time that is left.
    pub(super) fn may_send_beside(&self) -> bool {
        let is_too_late = self.call.time_to_respond(self.router) < self.expected_work();
        let late = is_too_late.then_some(RetryDenial::Time);
        let denial = late.or_else(|| self.retry_denial());
        let denial = denial.or_else(|| (!self.take_retry()).then_some(RetryDenial::Budget));
        if let Some(denial) = denial {
            self.log_retry_denied(denial);
        }
        denial.is_none()
    }

    /// Returns the usual service time of the route's requests.
    pub(super) fn expected_work(&self) -> Millis {
        let route = &self.call.route;
        let stats = &self.router.route_stats;
        stats.expected_work(&route.name, route.latency_target)
    }

    /// Records how a send ended that was overdue after `limit`; `sent` is `None` if it was cancelled, since a later send
    /// got a response.
    pub(super) fn record_overdue_end(
        &self,
        life: &Life,
        limit: Millis,
        sent: Option<&SendOutcome>,
    ) {
        let end = match sent {
            None => "abandoned",
            Some(SendOutcome::Answered(_)) => "answered",
            Some(SendOutcome::Indeterminate(Indeterminate::Silent)) => "waited",
            Some(_) => "failed",
        };
        if sent.is_none() {
            let silent = SendOutcome::Indeterminate(Indeterminate::Silent);
            let labels = [self.service.name.as_str(), silent.name()];
            let sends = &self.router.counters.sends;
            sends.with_label_values(&labels).inc();
        }
        // The limit may have risen since the send became overdue.
        if self.call.route.tolerates_waiting() {
            self.record_unanswered(life, limit, end);
        }
    }

    /// Logs and counts a send whose server did not respond within `limit`, longer than almost all responses of the route
    /// take; `end` is what became of it. Routes that don't tolerate waiting have no such limit.
    pub(super) fn record_unanswered(&self, life: &Life, limit: Millis, end: &str) {
        let labels = [self.service.name.as_str(), end];
        self.router
            .counters
            .unanswered
            .with_label_values(&labels)
            .inc();
        log::info!(request = self.call.id, server:% = life, service:% = self.service.name,
            route = self.call.route.name, limit_ms = limit.0, end = end,
            left_ms = self.call.time_to_respond(self.router).0,
            stopping = self.router.process.stop.is_cancelled(); "unanswered");
    }
}
