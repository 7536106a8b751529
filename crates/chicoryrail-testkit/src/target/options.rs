//! Settings of a target.

use std::path::PathBuf;

use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;

/// Settings of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetOptions {
    /// Name of the server.
    pub name: ServerName,
    /// Requests that run at the same time.
    pub slots: u32,
    /// Requests that wait for a slot; one more is shed.
    pub queue: u32,
    /// Connections accepted at a time.
    pub connections: u32,
    /// Whether each request has a key that the server must own.
    pub keyed: bool,
    /// Whether the server checks fences; otherwise it obeys anybody.
    pub fenced: bool,
    /// Service time in microseconds.
    pub service_us: u64,
    /// Length of a cold start.
    pub cold_ms: Millis,
    /// Age of the load report.
    pub report_age: Millis,
    /// File that every run is written to.
    pub ledger: Option<PathBuf>,
    /// Seed of the faults that strike a share of the answers.
    pub seed: u64,
}

impl TargetOptions {
    /// Returns the settings of a warm, free, unfenced server with 2 slots.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            slots: 2,
            queue: 8,
            connections: 120,
            keyed: false,
            fenced: false,
            service_us: 0,
            cold_ms: Millis::ZERO,
            report_age: Millis(500),
            ledger: None,
            seed: 1,
        }
    }
}
