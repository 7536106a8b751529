//! A server as it registers itself.

use std::net::SocketAddr;

use crate::DcName;
use crate::Life;
use crate::Millis;
use crate::ServiceName;

/// What a server says of its willingness to work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Takes requests.
    Ready,
    /// Finishes its requests and leaves; nothing new may be sent after a bounded time.
    Draining,
}

/// A registered server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Which start of which server.
    pub life: Life,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for requests and for control.
    pub addr: SocketAddr,
    /// Data centre that it stands in.
    pub dc: DcName,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: MemberState,
    /// How much longer it stays cold, counted from the entry's arrival in the store; zero for a warm
    /// one.
    pub cold: Millis,
}
