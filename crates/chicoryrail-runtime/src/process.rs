//! What every process of the system carries.

use std::cell::Cell;
use std::rc::Rc;

use http::Request;
use http::Response;
use http::StatusCode;
use tokio_util::sync::CancellationToken;

use crate::Body;
use crate::Clock;
use crate::Invariants;
use crate::Metrics;
use crate::full;

/// The clock, metrics, readiness and stop token of one process; clones share them.
#[derive(Clone, Debug)]
pub struct Process {
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Metrics shown at `/metrics`.
    pub metrics: Metrics,
    /// Assertions, counted in the metrics and logged.
    pub invariants: Invariants,
    /// Cancelled when the process is told to stop.
    pub stop: CancellationToken,
    /// Random number of this run.
    pub instance: u64,
    ready: Rc<Cell<bool>>,
}

impl Process {
    /// Builds the parts.
    #[must_use]
    pub fn new() -> Self {
        let metrics = Metrics::default();
        Self {
            clock: Clock::start(),
            invariants: Invariants::new(&metrics),
            metrics,
            stop: CancellationToken::new(),
            instance: rand::random::<u64>().max(1),
            ready: Rc::default(),
        }
    }

    /// Says whether the process can do its job now.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    /// Tells whether the process can do its job and is not about to stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.get() && !self.stop.is_cancelled()
    }

    /// Answers `/-/readyz`, which the balancer asks, and `/metrics`; `None` for other paths.
    #[must_use]
    pub fn observe<B>(&self, request: &Request<B>) -> Option<Response<Body>> {
        match request.uri().path() {
            "/-/readyz" => {
                let mut answer = Response::new(full(""));
                if !self.is_ready() {
                    *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                }
                Some(answer)
            }
            "/metrics" => Some(Response::new(full(self.metrics.render()))),
            _ => None,
        }
    }
}

impl Default for Process {
    fn default() -> Self {
        Self::new()
    }
}
