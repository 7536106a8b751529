//! Actions that the key leases require, and their outcomes.

use std::net::SocketAddr;

use chicoryrail_core::Life;

use crate::keys::KeyRange;
use crate::keys::KeyRecord;

/// Action that the leader has to perform for a service's keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyAction {
    /// Grant keys to a server, or renew their lease.
    Grant {
        /// Server incarnation that receives the keys.
        life: Life,
        /// Address of the server.
        addr: SocketAddr,
        /// Range of keys to grant.
        span: KeyRange,
        /// Fence (fencing token) of the grant.
        fence: u64,
        /// Handover token from the previous owner's release.
        handover: Option<String>,
    },
    /// Take keys back from a server.
    Release {
        /// Server incarnation that releases the keys.
        life: Life,
        /// Address of the server.
        addr: SocketAddr,
        /// Range of keys to release.
        span: KeyRange,
        /// Fence (fencing token) of the release.
        fence: u64,
    },
    /// Write the record, on condition that this process is still the leader.
    Commit(KeyRecord),
}

/// Outcome of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The server accepted the grant and holds the keys.
    Granted,
    /// The server has seen a higher fence, so there is another leader.
    StaleFence,
    /// Another server responded at the address, so the intended incarnation has ended.
    OtherServer,
    /// No response: the outcome is indeterminate, and the grant may still arrive.
    NoResponse,
}

/// Outcome of a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The server no longer holds the keys and no work is running on them. Carries the handover token, if
    /// any.
    Released(Option<String>),
    /// Another server responded at the address, so the intended incarnation has ended.
    OtherServer,
    /// No response: the outcome is indeterminate.
    NoResponse,
}
