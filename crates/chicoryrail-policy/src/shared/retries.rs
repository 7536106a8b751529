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
pub struct SharedRetries {
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
pub struct RetryBound {
    /// Retries per request in the window.
    pub ratio: f64,
    /// Retries in addition to those, over all hosts.
    pub slack: f64,
    /// Length of the window.
    pub window: Millis,
    /// Number of hosts that share the additional retries.
    pub hosts: usize,
}

impl SharedRetries {
    /// Records a caller's request.
    pub fn request(&mut self, now: Millis, bound: &RetryBound) {
        self.current_step(now, bound).requests += 1;
    }

    /// Returns `true` if a request may be sent again, and counts the retry.
    pub fn take(&mut self, now: Millis, bound: &RetryBound) -> bool {
        self.current_step(now, bound);
        let requests: u32 = self.steps.iter().map(|s| s.requests).sum();
        let retries: u32 = self.steps.iter().map(|s| s.retries).sum();
        let own_bound = bound.ratio * f64::from(requests) + bound.slack / bound.hosts.max(1) as f64;
        let is_allowed = f64::from(retries + 1) <= own_bound * BOUND_FRACTION;
        if is_allowed {
            self.current_step(now, bound).retries += 1;
        }
        is_allowed
    }

    fn current_step(&mut self, now: Millis, bound: &RetryBound) -> &mut Step {
        let at = Millis(now.0 / STEP_LENGTH.0 * STEP_LENGTH.0);
        while self
            .steps
            .front()
            .is_some_and(|s| now.since(s.at) > bound.window)
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
