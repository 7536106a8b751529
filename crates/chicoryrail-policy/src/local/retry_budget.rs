//! Limits retries so that they can't keep an overloaded service down.

use std::collections::VecDeque;

use chicoryrail_core::Millis;

/// Fraction of the limit that a host uses itself. The rest is a margin: the limit applies to requests and retries as
/// they arrive at servers, and a host counts them as it sends them.
const LIMIT_FRACTION: f64 = 0.8;

/// Length of time whose requests and retries are counted together.
const INTERVAL_LENGTH: Millis = Millis(500);

/// Retry budget of a host for one service.
///
/// Guards against retry storms: if servers of a service fail or refuse and every request is sent a second time, the
/// retries are the load that keeps the servers down. Over a window, retries stay below a fraction of the host's own
/// requests (`ratio`) plus its share of a fixed number (`slack`). So the limit holds over all hosts without
/// communication between them.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    intervals: VecDeque<Interval>,
}

/// Requests and retries of one interval within the window.
#[derive(Clone, Copy, Debug)]
struct Interval {
    start: Millis,
    requests: u32,
    retries: u32,
}

/// Limits on the retries of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Maximum number of retries per request in the window, before `slack`.
    pub ratio: f64,
    /// Retries per window that all hosts together may send beyond `ratio`.
    pub slack: f64,
    /// Length of the window.
    pub window: Millis,
    /// Number of hosts that share `slack`.
    pub hosts: usize,
}

impl RetryBudget {
    /// Records a caller's request.
    pub fn record_request(&mut self, now: Millis, limits: &RetryLimits) {
        self.current_interval(now, limits).requests += 1;
    }

    /// Returns `true` if a request may be sent again, and counts it as a retry.
    pub fn try_take(&mut self, now: Millis, limits: &RetryLimits) -> bool {
        let is_allowed = self.has_left(now, limits);
        if is_allowed {
            self.current_interval(now, limits).retries += 1;
        }
        is_allowed
    }

    /// Returns `true` if a request might be sent again now. Nothing is counted.
    pub fn has_left(&mut self, now: Millis, limits: &RetryLimits) -> bool {
        // Removes the intervals that have left the window.
        self.current_interval(now, limits);
        let requests: u32 = self.intervals.iter().map(|i| i.requests).sum();
        let retries: u32 = self.intervals.iter().map(|i| i.retries).sum();
        let own_limit =
            limits.ratio * f64::from(requests) + limits.slack / limits.hosts.max(1) as f64;
        f64::from(retries + 1) <= own_limit * LIMIT_FRACTION
    }

    /// Removes the intervals that have left the window, and returns the current one, which is added if necessary.
    fn current_interval(&mut self, now: Millis, limits: &RetryLimits) -> &mut Interval {
        let start = Millis(now.0 / INTERVAL_LENGTH.0 * INTERVAL_LENGTH.0);
        while self
            .intervals
            .front()
            .is_some_and(|i| now.since(i.start) > limits.window)
        {
            self.intervals.pop_front();
        }
        if self.intervals.back().is_none_or(|i| i.start != start) {
            self.intervals.push_back(Interval {
                start,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.intervals.len() - 1;
        &mut self.intervals[last]
    }
}
