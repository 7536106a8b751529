//! Server incarnations that have ended or that a later one replaces.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::KeyLeases;

impl KeyLeases {
    /// Records that a later incarnation of a server is registered. Returns when the leases of this one have certainly
    /// expired, at the first call for it.
    ///
    /// It gets no more grants, but its keys are not free: the later incarnation may have accepted grants that were
    /// meant for this one, and knows none of the fencing tokens that this one had seen. The keys are free once a
    /// release of them is answered at the address that the grants went to, or their lease has expired.
    pub fn server_superseded(&mut self, life: &Life) -> Option<Millis> {
        let state = self.servers.get_mut(life)?;
        if state.ended || state.superseded {
            return None;
        }
        state.superseded = true;
        state.confirmed.clear();
        let lease_until = state.lease_until.max(state.stale_until);
        state.lease_until = lease_until;
        // The later incarnation has not accepted this leader's fencing token.
        state.stale |= state.stale_until > Millis::ZERO;
        let stale = state.stale;
        let former = self.former_leases.iter_mut();
        for lease in former.filter(|l| l.owned.owner == *life) {
            lease.expires_at = lease.expires_at.max(lease_until);
            lease.stale |= stale;
        }
        Some(lease_until)
    }

    /// Returns `true` if another server at the incarnation's address proves that it has ended: it has no lease that it was
    /// granted at an earlier address.
    #[must_use]
    pub fn is_end_proven(&self, now: Millis, life: &Life) -> bool {
        let state = self.servers.get(life);
        state.is_none_or(|state| {
            let was_moved = state.moved_lease_until > Millis::ZERO;
            let may_be_renewed = was_moved && state.stale && !self.predecessor_stopped;
            now >= state.moved_lease_until && !may_be_renewed
        })
    }

    /// Records that another server answered at the incarnation's address. If the incarnation may hold keys at an earlier
    /// one, that counts like no answer.
    pub(super) fn other_server_answered(&mut self, now: Millis, life: &Life) {
        if self.is_end_proven(now, life) {
            self.server_ended(life);
            return;
        }
        let retry_at = now + Millis(self.timing.renew_interval.0 / 4);
        if let Some(state) = self.servers.get_mut(life) {
            state.retry_at = retry_at;
            state.unanswered_since.get_or_insert(now);
        }
    }

    /// Records that a server incarnation has ended and that no later one received its calls, so that it holds nothing.
    pub fn server_ended(&mut self, life: &Life) {
        if let Some(state) = self.servers.get_mut(life) {
            state.ended = true;
            state.confirmed.clear();
        }
    }
}
