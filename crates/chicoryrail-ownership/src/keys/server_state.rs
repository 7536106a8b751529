//! What the leader knows of one server.

use std::net::SocketAddr;

use chicoryrail_core::Millis;

/// What the leader knows of one start of a server.
#[derive(Clone, Debug)]
pub(crate) struct ServerState {
    pub(crate) addr: SocketAddr,
    /// Until when the server may hold keys that anybody granted it.
    pub(crate) held_until: Millis,
    /// How long the grant lasts that was sent last; an outage may begin or end while it is under way.
    pub(crate) hold: Millis,
    /// Until when a grant for the time of an outage may be held. A shorter one that came after it need not
    /// end it: the longer may take effect later, or the server keeps the later end of the two.
    pub(crate) long_until: Millis,
    /// When the server may be called again after a call without an answer.
    pub(crate) retry: Millis,
    /// When its registration was last seen.
    pub(crate) seen: Millis,
    /// Whether a call is under way; there is one at a time, so that a renewal can't overtake a release.
    pub(crate) busy: bool,
    /// Fence of the last grant that the server confirmed; 0 for none.
    pub(crate) confirmed: u64,
    /// Since when it has not answered a grant.
    pub(crate) silent: Option<Millis>,
    /// Whether the server's life is known to have ended.
    pub(crate) ended: bool,
}

impl ServerState {
    /// Builds the state of a server of which nothing is known but where it is.
    pub(crate) const fn new(addr: SocketAddr, now: Millis) -> Self {
        Self {
            addr,
            held_until: Millis::ZERO,
            hold: Millis::ZERO,
            long_until: Millis::ZERO,
            retry: now,
            seen: now,
            busy: false,
            confirmed: 0,
            silent: None,
            ended: false,
        }
    }
}
