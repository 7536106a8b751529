//! Decides how long an attempt waits for its response, and records attempts that had none in that time.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::route::attempts::Attempts;
use crate::route::send::is_unanswered;

/// Multiple of the usual service time after which a request to an unresponsive server is cancelled and sent to another
/// one. It exceeds what a slow server with a slow neighbour takes, since cancelling a running request wastes its work.
const UNRESPONSIVE_WORK_FACTOR: f64 = 8.0;

impl Attempts<'_> {
    /// Returns how long to wait for the response to this attempt. An idempotent request without a key is cancelled at
    /// an unresponsive server while there is time for another one, but not before twice the latency target. If the route
    /// tolerates waiting, so is one with a key: it is sent to the same owner over a new connection.
    pub(super) fn attempt_timeout(&self) -> Millis {
        let left = self.call.time_left(self.router.now());
        let tolerates_waiting = self.call.route.tolerates_waiting();
        let has_alternative = self.call.is_idempotent()
            && (self.call.key.is_none() || tolerates_waiting)
            && self.possible_runs + 1 < self.call.route.max_attempts
            && self.body.is_replayable();
        // No attempt is cancelled while this process stops: the retry might end with an error of this host, and the
        // shutdown would have lost the response that the first server was about to send.
        if !has_alternative || self.router.process.stop.is_cancelled() {
            return left;
        }
        let work = self
            .router
            .expected_work_us(&self.call.route.name, self.call.route.latency_target);
        if tolerates_waiting {
            let observed = self.router.unanswered_after(&self.call.route);
            if let Some(limit) = observed {
                return self.cancel_after(limit, Millis((work / 1_000.0) as u64));
            }
            // The owner of a key is not given up on the estimate below, since no other server can take the request.
            if self.call.key.is_some() {
                return left;
            }
        }
        let response_time_max = Millis((work * UNRESPONSIVE_WORK_FACTOR / 1_000.0) as u64);
        response_time_max
            .max(self.call.route.latency_target.saturating_mul(2))
            .min(left)
    }

    /// Returns how long to wait for the response if a request is unanswered after `limit` and a usual server takes `work`:
    /// to the end if the next attempt would have less time than that, or no retry is left in the budget.
    fn cancel_after(&self, limit: Millis, work: Millis) -> Millis {
        let now = self.router.now();
        let left = self.call.time_left(now);
        let limits = self.router.retry_limits();
        if limit + work > left || !self.service.retries.borrow_mut().has_left(now, &limits) {
            return left;
        }
        limit
    }

    /// Logs and counts a request of a route that tolerates waiting whose server did not respond within `limit`. If it was
    /// the last attempt, there is no time for another one.
    pub(super) fn record_unanswered(&self, life: &Life, limit: Millis, is_last: bool) {
        if !is_unanswered(self.router, self.call, limit.0 as f64 * 1_000.0) {
            return;
        }
        let end = if is_last { "waited" } else { "abandoned" };
        let labels = [self.service.name.as_str(), end];
        self.router
            .counters
            .unanswered
            .with_label_values(&labels)
            .inc();
        log::info!(request = self.call.id, server:% = life, service:% = self.service.name,
            route = self.call.route.name, limit_ms = limit.0, end = end,
            left_ms = self.call.time_left(self.router.now()).0,
            stopping = self.router.process.stop.is_cancelled(); "unanswered");
    }
}
