//! What an operator sees of a service's traffic.

use std::collections::BTreeMap;

use chicoryrail_core::ServerName;
use serde::Deserialize;
use serde::Serialize;

/// Traffic of a service over all hosts, as the leader writes it while an operator watches. Rates are in requests a
/// second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficState {
    /// Time for which the leader has received reports, in milliseconds. The first ones lack hosts that have not read yet
    /// that they are watched.
    pub watched_ms: u64,
    /// Number of hosts whose reports are included.
    pub hosts: usize,
    /// Requests that ended, in whatever way.
    pub demand: f64,
    /// Slots of the servers in service.
    pub slots: u64,
    /// Requests at servers.
    pub busy: u64,
    /// Requests that wait for a slot.
    pub waiting: u64,
    /// Refused requests by cause.
    pub causes: BTreeMap<String, f64>,
    /// Refused requests by kind of route.
    pub kinds: BTreeMap<String, f64>,
    /// Keys with the most requests, the busiest first.
    pub keys: Vec<BusyKey>,
    /// Servers with the longest time for work, the slowest first.
    pub servers: Vec<SlowServer>,
}

/// A key and its requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BusyKey {
    /// The key.
    pub key: u16,
    /// Requests a second.
    pub rate: f64,
}

/// A server and its time for work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowServer {
    /// The server.
    pub server: ServerName,
    /// Time for work relative to a usual server; above 1 is slower.
    pub slowness: f64,
}
