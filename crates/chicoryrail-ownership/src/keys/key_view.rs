//! Who holds which keys of a service, as far as this host has heard.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::KeyRange;
use crate::keys::KeyRecord;

/// Longest time for which a key that changes hands is taken as not granted yet, while nothing is heard
/// from the leader. After that its meant owner is asked; one that does not hold the key says so.
const KEY_UPDATE_AGE_MAX: Millis = Millis(400);

/// Who holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOwner {
    /// This server.
    Held(Life),
    /// Nobody yet: it is on its way to a server.
    Moving,
    /// Nobody is meant to hold it.
    Nobody,
}

/// Who holds which keys of a service, as far as this host has heard.
///
/// The store tells who is meant to hold them; the leader tells the hosts directly which of them were
/// granted, as that changes within milliseconds.
#[derive(Debug, Default)]
pub struct KeyView {
    record: KeyRecord,
    before: KeyRecord,
    changed: Millis,
    /// Fence for which the leader's update is known.
    told: u64,
    blocked: Vec<KeyRange>,
}

impl KeyView {
    /// Takes in a record of the store or of the leader; an older one changes nothing.
    pub fn record(&mut self, now: Millis, record: KeyRecord) -> bool {
        if record.fence <= self.record.fence {
            return false;
        }
        self.before = std::mem::replace(&mut self.record, record);
        self.changed = now;
        true
    }

    /// Takes in which keys the leader has not granted yet under a fence.
    pub fn blocked(&mut self, fence: u64, blocked: Vec<KeyRange>) {
        if fence >= self.told {
            self.told = fence;
            self.blocked = blocked;
        }
    }

    /// Returns the fence of the record.
    #[must_use]
    pub const fn fence(&self) -> u64 {
        self.record.fence
    }

    /// Returns the record in force.
    #[must_use]
    pub const fn record_in_force(&self) -> &KeyRecord {
        &self.record
    }

    /// Returns who is meant to hold a key, granted or not.
    #[must_use]
    pub fn meant(&self, key: u16) -> Option<&Life> {
        self.record.owner(key)
    }

    /// Returns who holds a key.
    #[must_use]
    pub fn owner(&self, now: Millis, key: u16) -> KeyOwner {
        let Some(owner) = self.record.owner(key) else {
            return KeyOwner::Nobody;
        };
        let moving = if self.told == self.record.fence {
            self.blocked.iter().any(|s| s.has(key))
        } else {
            // A host that has just started knows no change: the record may have stood for long.
            let stays = self.before.fence == 0 || self.before.owner(key) == Some(owner);
            !stays && now < self.changed + KEY_UPDATE_AGE_MAX
        };
        if moving {
            KeyOwner::Moving
        } else {
            KeyOwner::Held(owner.clone())
        }
    }
}
