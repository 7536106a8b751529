//! The processes of a cluster and where they listen.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A process of a cluster, by its index among its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Member {
    /// The store.
    Store,
    /// A host list: the only one, or behind a proxy one for each host.
    List(usize),
    /// A target.
    Target(usize),
    /// The gate of a host.
    Gate(usize),
    /// The controller of a host.
    Controller(usize),
    /// The administration API of a host.
    Admin(usize),
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::List(i) => write!(f, "list-{i}"),
            Self::Target(i) => write!(f, "target-{i}"),
            Self::Gate(i) => write!(f, "gate-{i}"),
            Self::Controller(i) => write!(f, "controller-{i}"),
            Self::Admin(i) => write!(f, "admin-{i}"),
        }
    }
}

/// A target of a cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetPlan {
    /// Name of the server.
    pub name: String,
    /// Index of its service in the deployment.
    pub service: usize,
    /// Its data centre.
    pub dc: String,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Address that the bundle names; another one than `addr` behind a proxy.
    pub shown: SocketAddr,
    /// File of its ledger.
    pub ledger: PathBuf,
}

/// An entry host of a cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostPlan {
    /// Name of the host.
    pub name: String,
    /// Its data centre.
    pub dc: String,
    /// Gate's listener for callers.
    pub callers: SocketAddr,
    /// Gate's listener for peers.
    pub gate_inner: SocketAddr,
    /// Gate's listener for health, metrics and events.
    pub gate_observe: SocketAddr,
    /// Controller's listener for peers.
    pub controller_inner: SocketAddr,
    /// Controller's listener for health, metrics and events.
    pub controller_observe: SocketAddr,
    /// Administration API.
    pub admin: SocketAddr,
}
