//! Server incarnations that have ended or that a later one replaces.

use std::net::SocketAddr;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::KeyLeases;
use crate::keys::key_leases::UNKNOWN_ADDR;

impl KeyLeases {
    /// Records that a later incarnation of a server is registered, at `addr` if that is known. Returns when the leases of
    /// this one have certainly expired, at the first call for it.
    ///
    /// It gets no more grants, but its keys are not free: the later incarnation may have accepted grants that were meant
    /// for this one, and knows none of the fencing tokens that this one had seen. The keys are free once a release of them
    /// is answered, or their lease has expired.
    pub fn server_superseded(&mut self, life: &Life, addr: Option<SocketAddr>) -> Option<Millis> {
        let stale_lease_until = self.stale_lease_until;
        let state = self.servers.get_mut(life).filter(|s| !s.ended)?;
        if state.addr == UNKNOWN_ADDR {
            state.addr = addr.unwrap_or(UNKNOWN_ADDR);
        }
        if state.superseded {
            return None;
        }
        state.superseded = true;
        state.confirmed.clear();
        state.lease_until = state.lease_until.max(stale_lease_until);
        Some(state.lease_until)
    }

    /// Records that a server incarnation has ended and that no later one received its calls, so that it holds nothing.
    pub fn server_ended(&mut self, life: &Life) {
        if let Some(state) = self.servers.get_mut(life) {
            state.ended = true;
            state.confirmed.clear();
        }
    }
}
