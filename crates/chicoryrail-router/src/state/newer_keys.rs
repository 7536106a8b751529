//! The leader's announcement of newer key maps.

use std::cell::Cell;
use std::net::SocketAddr;

use chicoryrail_runtime::ChangeSignal;

/// Leader whose key maps are newer than this host's.
#[derive(Debug, Default)]
pub(crate) struct NewerKeys {
    leader: Cell<Option<SocketAddr>>,
    /// Notified when a leader is recorded.
    pub(crate) found: ChangeSignal,
}

impl NewerKeys {
    /// Records that the leader at this address has a newer key map.
    pub(crate) fn record(&self, leader: SocketAddr) {
        self.leader.set(Some(leader));
        self.found.notify();
    }

    /// Removes and returns the leader recorded last.
    pub(crate) fn take_leader(&self) -> Option<SocketAddr> {
        self.leader.take()
    }
}
