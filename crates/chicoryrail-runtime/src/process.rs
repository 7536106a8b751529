//! State that every process has: clock, metrics, readiness and the stop token.

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
use crate::full_body;

/// Shared state of one process. Clones share its metrics, readiness and stop token.
#[derive(Clone, Debug)]
pub struct Process {
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Metrics served at `/metrics`.
    pub metrics: Metrics,
    /// Runtime assertions, counted in the metrics and logged.
    pub invariants: Invariants,
    /// Cancelled when the process has to stop.
    pub stop: CancellationToken,
    /// Random identifier of this run of the process, never 0.
    pub instance_id: u64,
    ready: Rc<Cell<bool>>,
}

impl Process {
    /// Returns a process that is not ready, with its clock at zero.
    #[must_use]
    pub fn new() -> Self {
        let metrics = Metrics::default();
        Self {
            clock: Clock::start(),
            invariants: Invariants::new(&metrics),
            metrics,
            stop: CancellationToken::new(),
            instance_id: rand::random::<u64>().max(1),
            ready: Rc::default(),
        }
    }

    /// Sets whether the process can do its work.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    /// Returns `true` if the process can do its work and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.get() && !self.stop.is_cancelled()
    }

    /// Responds to `/-/readyz`, which the load balancer probes, and `/metrics`. Returns `None` for other paths.
    #[must_use]
    pub fn handle_management<B>(&self, request: &Request<B>) -> Option<Response<Body>> {
        match request.uri().path() {
            "/-/readyz" => {
                let mut response = Response::new(full_body(""));
                if !self.is_ready() {
                    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                }
                Some(response)
            }
            "/metrics" => Some(Response::new(full_body(self.metrics.render()))),
            _ => None,
        }
    }
}

impl Default for Process {
    fn default() -> Self {
        Self::new()
    }
}
