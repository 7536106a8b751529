//! The processes of a cluster and their addresses.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A process of a cluster, identified by its kind and its index among the processes of that kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Member {
    /// The stand-in for the store.
    Store,
    /// A target, by its index in the cluster's targets.
    Target(usize),
    /// The router of a host, by its index in the cluster's hosts.
    Router(usize),
    /// A process that only computes, by its index.
    Busy(usize),
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Target(i) => write!(f, "target-{i}"),
            Self::Router(i) => write!(f, "router-{i}"),
            Self::Busy(i) => write!(f, "busy-{i}"),
        }
    }
}

/// Planned identity, addresses and files of a target, fixed before it is started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetPlan {
    /// Name of the server.
    pub name: String,
    /// Index of its service in [`Deployment::services`](crate::Deployment::services).
    pub service: usize,
    /// Data centre.
    pub dc: String,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Address that it registers in the store: the address of its link if the cluster has links, `addr` otherwise.
    pub advertised_addr: SocketAddr,
    /// Path of its ledger, the file in which it records every executed request.
    pub ledger: PathBuf,
}

/// Planned identity and addresses of an entry host, fixed before it is started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostPlan {
    /// Name of the host.
    pub name: String,
    /// Data centre.
    pub dc: String,
    /// Address of the listener for callers.
    pub caller_addr: SocketAddr,
    /// Address of the listener for the load balancer's health checks.
    pub readiness_addr: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_addr: SocketAddr,
    /// Address for messages between hosts.
    pub peer_addr: SocketAddr,
}
