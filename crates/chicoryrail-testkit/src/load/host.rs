//! Addresses of a host for callers and for the load balancer.

use std::net::SocketAddr;

/// An entry host that load is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadHost {
    /// Address of the listener for callers.
    pub addr: SocketAddr,
    /// Address of the readiness check for the load balancer; `None` if the host always counts as healthy.
    pub readiness: Option<SocketAddr>,
}
