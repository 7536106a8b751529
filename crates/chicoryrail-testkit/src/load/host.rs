//! Where callers and the balancer find a host.

use std::net::SocketAddr;

/// An entry host as callers know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadHost {
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address where the balancer asks whether the host takes callers; `None` to use it always.
    pub readiness: Option<SocketAddr>,
}
