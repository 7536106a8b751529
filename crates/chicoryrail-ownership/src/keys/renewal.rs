//! What the leader and a host that renews key leases for it tell each other.

use std::net::SocketAddr;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::GrantOutcome;
use crate::keys::KeyRange;
use crate::keys::RenewalTask;

/// What the leader lets this host renew for a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalOrder {
    /// Term of the leader.
    pub term: u64,
    /// Fencing token of the grants.
    pub fence: u64,
    /// Duration of the grants.
    pub lease: Millis,
    /// Servers and their ranges.
    pub tasks: Vec<RenewalTask>,
}

/// A grant that this host sends for the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// Server incarnation.
    pub life: Life,
    /// Address of the server.
    pub addr: SocketAddr,
    /// Range of keys to grant.
    pub span: KeyRange,
    /// Fencing token of the grant.
    pub fence: u64,
    /// Duration of the grant.
    pub lease: Millis,
}

/// A grant that a server confirmed to this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfirmedRenewal {
    /// Server incarnation.
    pub life: Life,
    /// Range of keys.
    pub span: KeyRange,
    /// Fencing token of the grant.
    pub fence: u64,
    /// When the grant was sent.
    pub sent_at: Millis,
}

/// A server to which this host sends nothing any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedRenewal {
    /// Server incarnation.
    pub life: Life,
    /// Fencing token of the grant that failed.
    pub fence: u64,
    /// Why it failed.
    pub outcome: GrantOutcome,
}
