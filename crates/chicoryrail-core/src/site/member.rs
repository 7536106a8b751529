//! Servers as they register themselves in the store.

use std::net::SocketAddr;

use crate::DcName;
use crate::Life;
use crate::Millis;
use crate::ServiceName;

/// State that a server advertises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Accepts requests.
    Ready,
    /// Completes its requests and then stops; after a bounded time it must receive no new ones.
    Draining,
}

/// A registered server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name and start time of the server.
    pub life: Life,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address for requests and for the calls that grant and release keys.
    pub addr: SocketAddr,
    /// Data centre of the server.
    pub dc: DcName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub state: MemberState,
    /// Remaining time of the server's warm-up, counted from the entry's arrival in the store; zero if it is warm.
    pub warmup_left: Millis,
}
