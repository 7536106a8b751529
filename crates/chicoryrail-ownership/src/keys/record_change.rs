//! Changes of the record of owners.

use chicoryrail_core::Millis;

use crate::keys::KeyLeases;
use crate::keys::OwnedRange;
use crate::keys::lease::FormerLease;
use crate::keys::record::ranges_by_owner;
use crate::keys::server_state::ServerState;
use crate::keys::server_state::UNKNOWN_ADDR;

impl KeyLeases {
    /// Starts a change of the owners. Must be called only while no write of the record is pending.
    pub fn begin_change(&mut self, spans: Vec<OwnedRange>, attempt: u64) {
        let loose: Vec<_> = self.former_leases.iter().map(|l| l.owned.clone()).collect();
        self.pending_record = Some(self.record.next(spans, &loose, attempt));
    }

    /// Records that it is unknown whether the pending record was written to the store. It may take until the end of an
    /// outage to find out, so keys are granted under the record in force meanwhile: only this leader applies the pending
    /// record, and a successor that reads it takes every owner in the record in force for one that may hold keys.
    pub const fn record_unsettled(&mut self) {
        self.write_unsettled = true;
    }

    /// Records that the pending record was written to the store, and applies it.
    pub fn record_written(&mut self, now: Millis) {
        let Some(next) = self.pending_record.take() else {
            return;
        };
        self.write_unsettled = false;
        // A former owner may have been granted its loose keys again in the meantime, and then holds them until
        // its last grant ends. So the end of each lease is computed again.
        let before = std::mem::take(&mut self.former_leases);
        let former_leases = next.loose.iter().map(|owned| {
            let overlaps = |l: &&FormerLease| {
                l.owned.owner == owned.owner && l.owned.span.intersect(owned.span).is_some()
            };
            let earlier_end = before.iter().filter(overlaps).map(|l| l.expires_at).max();
            let owner = self.servers.get(&owned.owner);
            let lease_until = owner.map(|s| s.lease_until);
            let stale = before.iter().filter(overlaps).any(|l| l.stale);
            FormerLease {
                owned: owned.clone(),
                expires_at: lease_until.max(earlier_end).unwrap_or(now),
                stale: stale || owner.is_some_and(|s| s.stale),
                retry_at: now,
            }
        });
        self.former_leases = former_leases.collect();
        let mut assigned = ranges_by_owner(&next.spans);
        for (life, state) in &mut self.servers {
            state.assign(now, assigned.remove(life).unwrap_or_default());
        }
        for (life, spans) in assigned {
            let mut state = ServerState::new(UNKNOWN_ADDR, now);
            state.assign(now, spans);
            self.servers.insert(life.clone(), state);
        }
        self.released_keys.clear();
        self.record = next;
    }
}
