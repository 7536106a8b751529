//! What a leases wants done, and how it ended.

use std::net::SocketAddr;

use chicoryrail_core::Life;

use crate::keys::KeyRange;
use crate::keys::KeyRecord;

/// Something that the leader has to do for a service's keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyAction {
    /// Grant keys, or renew them.
    Grant {
        /// Server.
        life: Life,
        /// Its address.
        addr: SocketAddr,
        /// Keys.
        span: KeyRange,
        /// Fence.
        fence: u64,
        /// Token of the last holder's release.
        handover: Option<String>,
    },
    /// Take keys back.
    Release {
        /// Server.
        life: Life,
        /// Its address.
        addr: SocketAddr,
        /// Keys.
        span: KeyRange,
        /// Fence.
        fence: u64,
    },
    /// Write the record, under the condition that this process is the leader.
    Commit(KeyRecord),
}

/// How a grant ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantEnd {
    /// The server holds the keys.
    Held,
    /// The server has seen a higher fence: there is another leader.
    FenceOld,
    /// Another server has the address: the one that was meant has ended there.
    OtherServer,
    /// Nothing is known; the grant may still arrive.
    Silent,
}

/// How a release ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseEnd {
    /// The server holds the keys no more and works on none of them.
    Free(Option<String>),
    /// Another server has the address: the one that was meant has ended there.
    OtherServer,
    /// Nothing is known.
    Silent,
}
