//! The leader's key leases of one service.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::KeyRange;
use crate::keys::KeyRecord;
use crate::keys::KeyTiming;
use crate::keys::OwnedRange;
use crate::keys::lease::FormerLease;
use crate::keys::lease::ReleasedKeys;
use crate::keys::range_set::join_ranges;
use crate::keys::server_state::ServerState;

/// Tracks and changes the key leases of one service during one term of leadership.
///
/// Three rules ensure that no two servers hold a key at the same time:
///
/// - A record is in the store before any grant under it is sent.
/// - A key is granted to another server only after its former owner answered a release, the former owner's
///   lease has certainly expired, or another server runs at the former owner's address. A later incarnation of the
///   former owner is no such proof: it may have accepted a renewal that was meant for the former one.
/// - A new leader first writes the existing assignment under a higher fencing token and grants it again, so that
///   servers refuse an older leader's renewals. If it can't reach a server, it treats the server's lease as
///   running for as long as the older leader may have kept renewing.
#[derive(Clone, Debug, Hash)]
pub struct KeyLeases {
    pub(super) timing: KeyTiming,
    pub(super) record: KeyRecord,
    pub(super) servers: BTreeMap<Life, ServerState>,
    pub(super) former_leases: Vec<FormerLease>,
    pub(super) released_keys: Vec<ReleasedKeys>,
    /// Record that is to be written to the store; `None` while no write is due or in progress.
    pub(super) pending_record: Option<KeyRecord>,
    /// Whether an attempt to write `pending_record` ended without a known outcome.
    pub(super) write_unsettled: bool,
    /// Former owners' leases that expired and have not been returned by `take_expired` yet.
    pub(super) expired: Vec<OwnedRange>,
    /// Whether a server has seen a higher fencing token.
    pub(super) deposed: bool,
    /// Duration of the grants sent now.
    pub(super) lease_duration: Millis,
    /// Time from the moment at which the earlier leaders are known to have lost their support until the last lease that they
    /// granted has expired.
    pub(super) predecessor_lease: Millis,
    /// Whether the earlier leaders have lost their support.
    pub(super) predecessor_stopped: bool,
}

impl KeyLeases {
    /// Sets whether every host reports the store as unavailable, which determines the duration of the
    /// grants from now on.
    pub fn set_store_down(&mut self, store_down: bool) {
        let timing = &self.timing;
        self.lease_duration = if store_down {
            timing.outage_lease
        } else {
            timing.lease
        };
    }

    /// Returns the duration of the grants sent now.
    #[must_use]
    pub const fn lease_duration(&self) -> Millis {
        self.lease_duration
    }

    /// Returns the record in force; grants are sent under its fencing token.
    #[must_use]
    pub const fn record(&self) -> &KeyRecord {
        &self.record
    }

    /// Returns the number of assigned ranges, by the record that is being written if there is one.
    #[must_use]
    pub fn planned_ranges(&self) -> usize {
        let record = self.pending_record.as_ref().unwrap_or(&self.record);
        record.spans.len()
    }

    /// Returns `true` if a server has seen a higher fencing token, which means that there is another leader.
    #[must_use]
    pub const fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Returns `true` if a write of the record is pending, former owners may still hold keys, or assigned
    /// keys are not granted yet.
    #[must_use]
    pub fn has_pending_change(&self) -> bool {
        let granted = |s: &ServerState| s.unconfirmed().first().is_none();
        self.pending_record.is_some()
            || !self.former_leases.is_empty()
            || !self.servers.values().all(granted)
    }

    /// Returns `true` if the record still lists former owners that no longer hold the keys.
    #[must_use]
    pub fn has_stale_former_owners(&self) -> bool {
        self.record.loose.len() > self.former_leases.len()
    }

    /// Returns `true` if a write of the record is due or in progress.
    #[must_use]
    pub const fn is_write_pending(&self) -> bool {
        self.pending_record.is_some()
    }

    /// Returns the servers that keys are assigned to or that may still hold keys.
    #[must_use]
    pub fn lease_owners(&self) -> Vec<Life> {
        let owners = self.record.spans.iter().map(|s| s.owner.clone());
        let former = self.former_leases.iter().map(|l| l.owned.owner.clone());
        owners.chain(former).collect()
    }

    /// Returns `true` if a server has left grants unanswered for so long, half of a lease, that others should own
    /// its keys.
    #[must_use]
    pub fn is_lost(&self, now: Millis, life: &Life) -> bool {
        let Some(since) = self.servers.get(life).and_then(|s| s.unanswered_since) else {
            return false;
        };
        now.since(since) >= Millis(self.timing.lease.0 / 2)
    }

    /// Returns `true` if any server has left a grant unanswered since its last response.
    #[must_use]
    pub fn has_unanswered(&self) -> bool {
        let mut servers = self.servers.values();
        servers.any(|state| state.unanswered_since.is_some())
    }

    /// Returns the former owners' leases that ran until their end since the last call.
    pub fn take_expired(&mut self) -> Vec<OwnedRange> {
        std::mem::take(&mut self.expired)
    }

    /// Returns the time of the first unanswered grant since a server's last response, if any.
    #[must_use]
    pub fn unanswered_since(&self, life: &Life) -> Option<Millis> {
        self.servers.get(life)?.unanswered_since
    }

    /// Returns the keys that are assigned to a server but not granted to it yet, as few ranges in key order.
    #[must_use]
    pub fn ungranted_keys(&self) -> Vec<KeyRange> {
        let servers = self.servers.values();
        let ranges = servers.flat_map(|s| s.unconfirmed().into_ranges());
        join_ranges(ranges.collect())
    }

    /// Records a server's address and that its registration was seen now.
    pub fn set_server_addr(&mut self, now: Millis, life: &Life, addr: SocketAddr) {
        if let Some(state) = self.servers.get_mut(life) {
            state.register(now, addr);
            return;
        }
        self.servers
            .insert(life.clone(), ServerState::new(addr, now));
    }
}
