//! One service of a configuration.

use crate::Millis;
use crate::ServiceName;

/// What a configuration says of a service's servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name.
    pub name: ServiceName,
    /// Path of the status check.
    pub health: String,
    /// Connections that one server accepts from all hosts together.
    pub connections: u32,
    /// How long a server stays cold after its start.
    pub cold: Millis,
    /// Requests a second that a cold server bears from all hosts together.
    pub cold_rate: f64,
    /// Whether each key is served by the one server that holds it.
    pub keyed: bool,
}
