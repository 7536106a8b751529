//! A host's part of the repeats that a service bears.

use std::collections::VecDeque;

use chicoryrail_core::Millis;

/// Part of the bound that is used: a host counts requests and repeats when it sends them, the bound
/// counts them where they arrive.
const PART: f64 = 0.8;

/// Length of one step of the window.
const STEP: Millis = Millis(500);

/// A host's repeats of one service's requests.
///
/// Load: servers of a service fail or refuse, and every request is sent a second time. Harm prevented:
/// the repeats are the load that keeps the servers down. Over a window, repeats stay under a share of the
/// host's own requests and its part of a fixed allowance; so the bound holds over all hosts without any
/// talk between them.
#[derive(Clone, Debug, Default)]
pub struct SharedRetries {
    steps: VecDeque<Step>,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    at: Millis,
    requests: u32,
    repeats: u32,
}

/// The bound on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Repeats for each request of the window.
    pub ratio: f64,
    /// Repeats beside those, over all hosts.
    pub slack: f64,
    /// Length of the window.
    pub window: Millis,
    /// Hosts that share the allowance.
    pub hosts: usize,
}

impl SharedRetries {
    /// Takes in a request of a caller.
    pub fn request(&mut self, now: Millis, bound: &RetryBound) {
        self.step(now, bound).requests += 1;
    }

    /// Tells whether a request may be sent again, and takes the repeat where it may.
    pub fn take(&mut self, now: Millis, bound: &RetryBound) -> bool {
        self.step(now, bound);
        let requests: u32 = self.steps.iter().map(|s| s.requests).sum();
        let repeats: u32 = self.steps.iter().map(|s| s.repeats).sum();
        let own = bound.ratio * f64::from(requests) + bound.slack / bound.hosts.max(1) as f64;
        let may = f64::from(repeats + 1) <= own * PART;
        if may {
            self.step(now, bound).repeats += 1;
        }
        may
    }

    fn step(&mut self, now: Millis, bound: &RetryBound) -> &mut Step {
        let at = Millis(now.0 / STEP.0 * STEP.0);
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
                repeats: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
