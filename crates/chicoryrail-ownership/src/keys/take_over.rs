//! The start of a term: what a new leader takes over from an earlier one.

use std::collections::BTreeMap;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::DELEGATION_SERVERS_MIN;
use crate::keys::KeyLeases;
use crate::keys::KeyRecord;
use crate::keys::KeyTiming;
use crate::keys::lease::FormerLease;
use crate::keys::server_state::ServerState;
use crate::keys::server_state::UNKNOWN_ADDR;

impl KeyLeases {
    /// Builds the leases of a new leader from the record in the store, at `now`.
    ///
    /// The first action is to write the record again under a higher fencing token; `attempt` is the random number
    /// of that write. Every server in the record may hold its keys for as long as an earlier leader may have
    /// renewed them.
    ///
    /// `store_outage` is `true` if the store was unavailable recently, so that an earlier leader may have
    /// sent grants with the longer duration for an outage.
    #[must_use]
    pub fn take_over(
        record: KeyRecord,
        timing: KeyTiming,
        now: Millis,
        attempt: u64,
        store_outage: bool,
    ) -> Self {
        let lease_duration = if store_outage {
            timing.outage_lease
        } else {
            timing.lease
        };
        // An earlier leader's delegates may renew for the time of their permits after its last reply to them.
        let permit = if record.spans.len() >= DELEGATION_SERVERS_MIN {
            timing.renewal_permit
        } else {
            Millis::ZERO
        };
        let stale_max = timing.stale_leader_max + permit + timing.grant_timeout;
        let predecessor_lease = stale_max + KeyTiming::max_lease(lease_duration);
        let lease_until = now + predecessor_lease;
        let former_leases = record.loose.iter().map(|owned| FormerLease {
            owned: owned.clone(),
            expires_at: lease_until,
            stale: true,
            retry_at: now,
        });
        let former_leases = former_leases.collect();
        let mut next = record.clone();
        next.fence += 1;
        next.attempt = attempt;
        let mut this = Self {
            timing,
            servers: BTreeMap::new(),
            former_leases,
            released_keys: Vec::new(),
            pending_record: Some(next),
            write_unsettled: false,
            expired: Vec::new(),
            deposed: false,
            lease_duration: timing.lease,
            predecessor_lease,
            predecessor_stopped: false,
            record,
        };
        let owners = this.record.spans.iter().chain(&this.record.loose);
        let owners: Vec<Life> = owners.map(|s| s.owner.clone()).collect();
        for life in owners {
            let state = this
                .servers
                .entry(life)
                .or_insert_with(|| ServerState::new(UNKNOWN_ADDR, now));
            state.lease_until = lease_until;
            state.stale_until = lease_until;
            state.stale = true;
            if store_outage {
                state.outage_lease_until = lease_until;
            }
        }
        this
    }

    /// Records at `now` that no earlier leader is supported any longer. Until then the leases that one may have renewed do not
    /// expire; from now on they do after the time for which it may still act, and the longest lease. Returns `true` at the
    /// first call.
    pub fn predecessor_stopped(&mut self, now: Millis) -> bool {
        if std::mem::replace(&mut self.predecessor_stopped, true) {
            return false;
        }
        let lease_until = now + self.predecessor_lease;
        for state in self.servers.values_mut().filter(|s| s.stale) {
            state.stale_until = state.stale_until.max(lease_until);
            state.lease_until = state.lease_until.max(lease_until);
            if state.outage_lease_until > Millis::ZERO {
                state.outage_lease_until = state.outage_lease_until.max(lease_until);
            }
            if state.moved_lease_until > Millis::ZERO {
                state.moved_lease_until = state.moved_lease_until.max(lease_until);
            }
        }
        for former in self.former_leases.iter_mut().filter(|l| l.stale) {
            former.expires_at = former.expires_at.max(lease_until);
        }
        true
    }
}
