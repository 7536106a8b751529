//! Options of a target.

use std::net::SocketAddr;
use std::path::PathBuf;

use chicoryrail_core::DcName;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::ServiceName;

/// Options of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetOptions {
    /// Name of the server.
    pub name: ServerName,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Data centre of the server.
    pub dc: DcName,
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Length of the queue for slots; a request that arrives when it is full is refused.
    pub queue: u32,
    /// Largest number of open connections; further ones are closed at once.
    pub connections: u32,
    /// Whether each request has a key that the server must own.
    pub keyed: bool,
    /// Service time of a request that names none, in microseconds.
    pub service_us: u64,
    /// Length of a warm-up.
    pub warmup: Millis,
    /// Number of requests that may arrive in a second during a warm-up; more are recorded as an overrun.
    pub warmup_limit: u32,
    /// Address of the store in which the server registers; `None` if it does not register.
    pub store: Option<SocketAddr>,
    /// Address that the server registers; `None` for the address that it listens on.
    pub advertised_addr: Option<SocketAddr>,
    /// File to which each record of the [`crate::Ledger`] is appended; `None` for no file.
    pub ledger: Option<PathBuf>,
    /// Seed for choosing the requests that a fault affects.
    pub seed: u64,
}

impl TargetOptions {
    /// Returns the options of a server with 2 slots, without keys and without a warm-up.
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
            warmup: Millis::ZERO,
            warmup_limit: u32::MAX,
            store: None,
            advertised_addr: None,
            ledger: None,
            seed: 1,
        }
    }
}
