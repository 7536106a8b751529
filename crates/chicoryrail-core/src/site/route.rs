//! Routes of a configuration.

use crate::Millis;
use crate::ServiceName;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Idempotency {
    /// Idempotent: may be retried at another server after any failure.
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
    /// May run at most once.
    Order,
}

impl RouteKind {
    /// Returns whether requests of this kind may run more than once.
    #[must_use]
    pub const fn idempotency(self) -> Idempotency {
        match self {
            Self::Read | Self::Download => Idempotency::Idempotent,
            Self::Order => Idempotency::AtMostOnce,
        }
    }

    /// Returns the name of the kind in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Download => "download",
            Self::Order => "order",
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

/// Services that receive the requests with one host and path prefix, and how these requests are treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host in callers' requests, in lower case.
    pub host: String,
    /// Prefix of the path; starts and ends with a slash.
    pub prefix: String,
    /// Kind of its requests.
    pub kind: RouteKind,
    /// Maximum time for a request, including its wait for a server and all retries.
    pub timeout: Millis,
    /// Latency target: a response within this time has the most value for the caller.
    pub latency_target: Millis,
    /// Priority if the servers lack capacity for all requests; 0 is served first.
    pub priority: u8,
    /// Maximum number of sends that may run one request, the first included. Sends that certainly did not run it
    /// don't count, but in all there are at most two sends more than this.
    pub max_attempts: u32,
    /// Whether requests need no API key even if organisations are configured.
    pub public: bool,
    /// Services with their weights; at least one weight is above 0.
    pub services: Vec<WeightedService>,
}
