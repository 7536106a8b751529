//! Settings of a target.

use std::net::SocketAddr;
use std::path::PathBuf;

use chicoryrail_core::DcName;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::ServiceName;

/// Settings of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetOptions {
    /// Name of the server.
    pub name: ServerName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Data centre that it stands in.
    pub dc: DcName,
    /// Requests that run at the same time.
    pub slots: u32,
    /// Requests that wait for a slot; one more is refused.
    pub queue: u32,
    /// Connections accepted at a time.
    pub connections: u32,
    /// Whether each request has a key that the server must hold.
    pub keyed: bool,
    /// Service time in microseconds.
    pub service_us: u64,
    /// Length of a cold start.
    pub cold_ms: Millis,
    /// Requests that it bears in any second while it is cold.
    pub cold_bears: u32,
    /// Store in which it registers; it stays unregistered where `None`.
    pub store: Option<SocketAddr>,
    /// Address that it registers; its own where `None`.
    pub shown: Option<SocketAddr>,
    /// File that every run is written to.
    pub ledger: Option<PathBuf>,
    /// Seed of the faults that strike a share of the answers.
    pub seed: u64,
}

impl TargetOptions {
    /// Returns the settings of a warm server with 2 slots and without keys.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            service: "service".into(),
            dc: "west".into(),
            slots: 2,
            queue: 8,
            connections: 120,
            keyed: false,
            service_us: 0,
            cold_ms: Millis::ZERO,
            cold_bears: u32::MAX,
            store: None,
            shown: None,
            ledger: None,
            seed: 1,
        }
    }
}
