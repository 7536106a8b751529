//! A limit on requests that is in force at this host.

use chicoryrail_core::Millis;
use chicoryrail_policy::LimitRule;
use chicoryrail_policy::ShareCounter;

/// Least time between two log lines about requests that a limit refused.
const LOG_INTERVAL: Millis = Millis(1_000);

/// A limit on requests, and the requests that it was asked about.
#[derive(Debug)]
pub(crate) struct TrafficLimit {
    /// Id of the rule.
    pub(crate) id: String,
    pub(super) rule: LimitRule,
    pub(super) counter: ShareCounter,
    /// Requests admitted since the last log line.
    pub(crate) admitted: u32,
    /// Requests refused since the last log line.
    pub(crate) refused: u32,
    logged_at: Option<Millis>,
}

impl TrafficLimit {
    pub(super) const fn new(id: String, rule: LimitRule, counter: ShareCounter) -> Self {
        Self {
            id,
            rule,
            counter,
            admitted: 0,
            refused: 0,
            logged_at: None,
        }
    }

    /// Counts a request, and returns `true` if it is admitted.
    pub(super) fn admit(&mut self) -> bool {
        let admitted = self.counter.admit(self.rule.share);
        if admitted {
            self.admitted += 1;
        } else {
            self.refused += 1;
        }
        admitted
    }

    /// Logs how many requests were admitted and refused, at most once in [`LOG_INTERVAL`]. A line for each request would
    /// leave no room for others in the log.
    pub(super) fn log(&mut self, now: Millis) {
        if self
            .logged_at
            .is_some_and(|at| now.since(at) < LOG_INTERVAL)
        {
            return;
        }
        self.logged_at = Some(now);
        let (admitted, refused) = (
            std::mem::take(&mut self.admitted),
            std::mem::take(&mut self.refused),
        );
        log::info!(rule = self.id, service:% = self.rule.service, limited:% = self.rule.limited,
            share:% = self.rule.share, admitted = admitted, refused = refused; "traffic_limited");
    }
}
