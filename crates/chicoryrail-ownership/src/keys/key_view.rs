//! A host's view of the key owners of a service, by which it routes requests.

use std::collections::VecDeque;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::KeyChanges;
use crate::keys::KeyRange;
use crate::keys::KeyRecord;
use crate::keys::key_changes::changed_ranges;

/// Maximum time for which a reassigned key counts as not granted yet while the leader sends no update. After it,
/// requests go to the assigned owner, which refuses those for keys that it does not hold.
const KEY_UPDATE_TIMEOUT: Millis = Millis(400);

/// Maximum number of changed ranges that are kept for other hosts, as a fraction of the ranges of the record: with more,
/// the whole record is hardly longer.
const HISTORY_FRACTION: usize = 2;

/// Owner of a key, as far as this host knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOwner {
    /// The server holds the key.
    Granted(Life),
    /// The key is assigned to a server but not granted to it yet.
    Moving,
    /// The key is assigned to no server.
    Unassigned,
}

/// Key owners of a service as known to this host.
///
/// The assignment comes from the store. Which of the assigned keys are granted changes within milliseconds,
/// so the leader sends that directly to the hosts.
#[derive(Debug, Default)]
pub struct KeyView {
    record: KeyRecord,
    previous: KeyRecord,
    /// Time at which the current record was applied.
    changed_at: Millis,
    /// Fencing token of the record to which `blocked` refers.
    blocked_fence: u64,
    /// Keys that the leader has not granted yet, by its last update.
    blocked: Vec<KeyRange>,
    /// Latest changes of the record, the oldest first.
    history: VecDeque<PastChange>,
}

/// Ranges whose owner changed when a record was replaced.
#[derive(Debug)]
struct PastChange {
    /// Fencing token of the replaced record.
    base: u64,
    ranges: Vec<KeyRange>,
}

impl KeyView {
    /// Applies a record from the store or from the leader and returns `true`; returns `false` if its fencing
    /// token is not higher than that of the current one.
    pub fn apply_record(&mut self, now: Millis, record: KeyRecord) -> bool {
        if record.fence <= self.record.fence {
            return false;
        }
        self.previous = std::mem::replace(&mut self.record, record);
        self.changed_at = now;
        self.remember_change();
        true
    }

    /// Applies changes of the current record and returns `true`; returns `false` if they are changes of another one.
    pub fn apply_changes(&mut self, now: Millis, changes: &KeyChanges) -> bool {
        if changes.base != self.record.fence {
            return false;
        }
        let record = KeyRecord {
            fence: changes.fence,
            spans: changes.apply_to(&self.record),
            ..KeyRecord::default()
        };
        self.apply_record(now, record)
    }

    /// Returns the changes since the record with fencing token `base`; `None` if they are not known any more, or nearly
    /// as long as the whole record.
    #[must_use]
    pub fn changes_since(&self, base: u64) -> Option<KeyChanges> {
        let first = self.history.iter().position(|past| past.base == base)?;
        let changed = self.history.range(first..).flat_map(|past| &past.ranges);
        let changed = changed.copied().collect();
        Some(KeyChanges::new(base, &self.record, changed))
    }

    /// Keeps the difference to the previous record, and drops the oldest ones beyond the limit.
    fn remember_change(&mut self) {
        self.history.push_back(PastChange {
            base: self.previous.fence,
            ranges: changed_ranges(&self.previous, &self.record),
        });
        let length = |history: &VecDeque<PastChange>| -> usize {
            history.iter().map(|past| past.ranges.len() + 1).sum()
        };
        while length(&self.history) > self.record.spans.len() / HISTORY_FRACTION
            && !self.history.is_empty()
        {
            self.history.pop_front();
        }
    }

    /// Applies the list of keys that the leader has not granted yet under a fencing token. An update with an
    /// older token is ignored.
    pub fn apply_blocked(&mut self, fence: u64, blocked: Vec<KeyRange>) {
        if fence >= self.blocked_fence {
            self.blocked_fence = fence;
            self.blocked = blocked;
        }
    }

    /// Returns the fencing token of the current record.
    #[must_use]
    pub const fn fence(&self) -> u64 {
        self.record.fence
    }

    /// Returns the current record.
    #[must_use]
    pub const fn current_record(&self) -> &KeyRecord {
        &self.record
    }

    /// Returns the server that a key is assigned to, whether or not it has been granted.
    #[must_use]
    pub fn assigned_owner(&self, key: u16) -> Option<&Life> {
        self.record.owner(key)
    }

    /// Returns the owner of a key, taking keys that are not granted yet into account.
    #[must_use]
    pub fn owner(&self, now: Millis, key: u16) -> KeyOwner {
        let Some(owner) = self.record.owner(key) else {
            return KeyOwner::Unassigned;
        };
        let moving = if self.blocked_fence == self.record.fence {
            self.blocked.iter().any(|r| r.contains(key))
        } else {
            // A host that has just started has no previous record (its fencing token is 0): the current one may
            // have been in force for long.
            let unchanged = self.previous.fence == 0 || self.previous.owner(key) == Some(owner);
            !unchanged && now < self.changed_at + KEY_UPDATE_TIMEOUT
        };
        if moving {
            KeyOwner::Moving
        } else {
            KeyOwner::Granted(owner.clone())
        }
    }
}
