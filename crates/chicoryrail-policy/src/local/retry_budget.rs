//! Retry budget of a host for one service.

use std::collections::VecDeque;

use chicoryrail_core::Millis;

/// Fraction of the bound that is used: a host counts requests and retries when it sends them, but the bound counts them
/// where they arrive.
const BOUND_FRACTION: f64 = 0.8;

/// Length of one step of the window.
const STEP_LENGTH: Millis = Millis(500);

/// Retry budget of a host for one service.
///
/// Guards against retry storms: if servers of a service fail or refuse and every request is sent a second time, the
/// retries are the load that keeps the servers down. Over a window, retries stay below a fraction of the host's own
/// requests plus its share of a fixed allowance. So the bound holds over all hosts without communication between them.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    steps: VecDeque<Step>,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    at: Millis,
    requests: u32,
    retries: u32,
}

/// Bound on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries per request in the window.
    pub ratio: f64,
    /// Retries in addition to those, over all hosts.
    pub slack: f64,
    /// Length of the window.
    pub window: Millis,
    /// Number of hosts that share the additional retries.
    pub hosts: usize,
}

impl RetryBudget {
    /// Records a caller's request.
    pub fn record_request(&mut self, now: Millis, limits: &RetryLimits) {
        self.current_step(now, limits).requests += 1;
    }

    /// Returns `true` if a request may be sent again, and counts the retry.
    pub fn try_take(&mut self, now: Millis, limits: &RetryLimits) -> bool {
        self.current_step(now, limits);
        let requests: u32 = self.steps.iter().map(|s| s.requests).sum();
        let retries: u32 = self.steps.iter().map(|s| s.retries).sum();
        let own_bound =
            limits.ratio * f64::from(requests) + limits.slack / limits.hosts.max(1) as f64;
        let is_allowed = f64::from(retries + 1) <= own_bound * BOUND_FRACTION;
        if is_allowed {
            self.current_step(now, limits).retries += 1;
        }
        is_allowed
    }

    fn current_step(&mut self, now: Millis, limits: &RetryLimits) -> &mut Step {
        let at = Millis(now.0 / STEP_LENGTH.0 * STEP_LENGTH.0);
        while self
            .steps
            .front()
            .is_some_and(|s| now.since(s.at) > limits.window)
        {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|s| s.at != at) {
            self.steps.push_back(Step {
                at,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
