//! Services of a configuration.

use crate::Millis;
use crate::ServiceName;

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name by which routes refer to the service.
    pub name: ServiceName,
    /// Path of the servers' health check.
    pub health_path: String,
    /// Maximum number of connections to one server, from all hosts together.
    pub max_connections: u32,
    /// Length of a server's warm-up after its start.
    pub warmup: Millis,
    /// Maximum rate of requests to a server that warms up, in requests per second from all hosts together.
    pub warmup_rate_max: f64,
    /// Whether each key has one server as its owner, which receives all requests for the key.
    pub keyed: bool,
}
