//! A host's view of the key owners of a service, by which it routes requests.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::KeyRange;
use crate::keys::KeyRecord;

/// Maximum time for which a reassigned key counts as not granted yet while the leader sends no update. After it,
/// requests go to the assigned owner, which refuses those for keys that it does not hold.
const KEY_UPDATE_TIMEOUT: Millis = Millis(400);

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
        true
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
