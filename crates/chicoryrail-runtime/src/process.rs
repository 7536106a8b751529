//! What every process of the system carries.

use std::cell::Cell;
use std::rc::Rc;

use chicoryrail_core::HostName;
use http::Request;
use http::Response;
use tokio_util::sync::CancellationToken;

use crate::Body;
use crate::Clock;
use crate::EventKind;
use crate::EventRing;
use crate::Invariants;
use crate::Metrics;
use crate::error_answer;
use crate::full;
use crate::json_answer;

/// Most events that one answer of `/events` holds.
const EVENTS_A_PAGE: usize = 1_000;

/// The clock, metrics, events, readiness and stop token of one process; clones share them.
#[derive(Clone, Debug)]
pub struct Process {
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Metrics shown at `/metrics`.
    pub metrics: Metrics,
    /// Events shown at `/events`.
    pub events: EventRing,
    /// Assertions, counted in the metrics and shown among the events.
    pub invariants: Invariants,
    /// Cancelled when the process is told to stop.
    pub stop: CancellationToken,
    /// Random number of this run.
    pub instance: u64,
    ready: Rc<Cell<bool>>,
}

impl Process {
    /// Builds the parts for a process of `host`.
    #[must_use]
    pub fn new(host: &HostName, program: &str) -> Self {
        let events = EventRing::new(host, program);
        events.record(
            EventKind::Started,
            program,
            format!("pid={}", std::process::id()),
        );
        let metrics = Metrics::default();
        Self {
            clock: Clock::start(),
            invariants: Invariants::new(&metrics, &events),
            metrics,
            events,
            stop: CancellationToken::new(),
            instance: rand::random::<u64>().max(1),
            ready: Rc::default(),
        }
    }

    /// Says whether the process can do its job now; `/readyz` answers it.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    /// Tells whether the process can do its job and is not about to stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.get() && !self.stop.is_cancelled()
    }

    /// Answers `/healthz`, `/readyz`, `/metrics` and `/events?from=N`; `None` for other paths.
    #[must_use]
    pub fn observe<B>(&self, request: &Request<B>) -> Option<Response<Body>> {
        match request.uri().path() {
            "/healthz" => Some(Response::new(full("ok\n"))),
            "/readyz" if self.is_ready() => Some(Response::new(full("ready\n"))),
            "/readyz" => Some(error_answer(chicoryrail_core::ResultCode::NotReady, "")),
            "/metrics" => Some(Response::new(full(self.metrics.render()))),
            "/events" => {
                let from = request.uri().query().and_then(|q| q.strip_prefix("from="));
                let from = from.and_then(|n| n.parse().ok()).unwrap_or(0);
                Some(json_answer(200, &self.events.since(from, EVENTS_A_PAGE)))
            }
            _ => None,
        }
    }
}
