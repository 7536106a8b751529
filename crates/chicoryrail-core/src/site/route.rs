//! Routes of a configuration.

use crate::Millis;
use crate::ServiceName;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Idempotency {
    /// Idempotent: may be retried after any failure, within the route's attempts, its timeout and the retry budget.
    Idempotent,
    /// At most once: may be sent again only if it certainly did not run.
    AtMostOnce,
}

/// Kind of a route: whether its requests may be retried and whether its responses are large.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Idempotent, with short responses.
    Read,
    /// Idempotent, with large responses: most of the cost is transfer, not work at the server.
    Download,
    /// With effects that must not be repeated, such as placing an order: runs at most once.
    Order,
    /// An order whose request body is large.
    Upload,
}

impl RouteKind {
    /// Returns the idempotency of requests of this kind.
    #[must_use]
    pub const fn idempotency(self) -> Idempotency {
        match self {
            Self::Read | Self::Download => Idempotency::Idempotent,
            Self::Order | Self::Upload => Idempotency::AtMostOnce,
        }
    }

    /// Returns the name of the kind in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Download => "download",
            Self::Order => "order",
            Self::Upload => "upload",
        }
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Share, relative to the weights of the route's other services.
    pub weight: u32,
}

/// Ratio of a route's timeout to its latency target from which on its callers have time to wait for a slot, or to be
/// refused and return, beyond the latency target.
const WAIT_TOLERANCE_RATIO: u64 = 3;

/// A rule for the requests with one host and path prefix: which services receive them, and within which limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host in callers' requests, in lower case.
    pub host: String,
    /// Prefix of the path. It starts and ends with a slash if the configuration was built by
    /// [`SiteFile`](crate::SiteFile); a configuration decoded from the store is not checked for this.
    pub prefix: String,
    /// Kind of its requests.
    pub kind: RouteKind,
    /// Maximum time for a request, including its wait for a server and all retries.
    pub timeout: Millis,
    /// Latency target, used to order waiting requests, to bound the wait for an unresponsive server when another one
    /// can be tried, and to classify requests as late in the logs. Later responses are still delivered, up to
    /// `timeout`.
    pub latency_target: Millis,
    /// Priority when capacity is short: lower numbers are served first, and 0 is the highest priority.
    pub priority: u8,
    /// Maximum number of sends of one request that may have run it, including the first. Sends that certainly did not
    /// run it don't count, but the number of all sends is at most `max_attempts + 2`.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key. Has no effect if no organisations are configured.
    pub public: bool,
    /// Services with their weights; at least one weight is above 0.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Returns `true` if callers have time to wait or to return beyond the latency target: the timeout is at least three
    /// times as long.
    #[must_use]
    pub const fn tolerates_waiting(&self) -> bool {
        self.timeout.0 >= self.latency_target.0.saturating_mul(WAIT_TOLERANCE_RATIO)
    }
}
