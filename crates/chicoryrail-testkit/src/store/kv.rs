//! Keys, versions, leases and the history of writes.

use std::collections::BTreeMap;

use chicoryrail_core::Millis;
use chicoryrail_platform::CasBody;
use chicoryrail_platform::LeaseBody;
use chicoryrail_platform::Record;
use serde::Deserialize;
use serde::Serialize;

use crate::wall_micros;

/// Largest value in bytes, as the platform's service has it.
const VALUE_MOST: usize = 1 << 20;

/// Writes kept in the history; at a few hundred a second it covers a long run.
const HISTORY_KEPT: usize = 1_000_000;

/// Why a write has not taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapError {
    /// The key has another version; 0 where it is absent.
    Conflict(u64),
    /// The value is longer than a megabyte.
    TooLarge,
    /// The lease has ended.
    NoLease,
}

/// A write that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key written.
    pub key: String,
    /// Version of the key after the write.
    pub version: u64,
    /// Value written; `None` where the key was deleted with its lease.
    pub value: Option<String>,
    /// Wall-clock time in microseconds.
    pub time: u64,
}

#[derive(Debug)]
struct Entry {
    value: String,
    version: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    ttl: Millis,
    ends: Millis,
}

/// The state of the store; time comes in as an argument.
#[derive(Debug, Default)]
pub struct Kv {
    entries: BTreeMap<String, Entry>,
    deleted: BTreeMap<String, u64>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    revision: u64,
    history: Vec<Change>,
}

impl Kv {
    /// Writes a key where it has the expected version, and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns why nothing was written.
    pub fn swap(&mut self, key: &str, body: &CasBody) -> Result<u64, SwapError> {
        if body.value.len() > VALUE_MOST {
            return Err(SwapError::TooLarge);
        }
        let found = self.entries.get(key).map_or(0, |e| e.version);
        if found != body.expect {
            return Err(SwapError::Conflict(found));
        }
        if body.lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(SwapError::NoLease);
        }
        self.revision += 1;
        let entry = Entry {
            value: body.value.clone(),
            version: self.revision,
            lease: body.lease,
        };
        self.entries.insert(key.to_owned(), entry);
        self.deleted.remove(key);
        self.note(key, Some(body.value.clone()));
        Ok(self.revision)
    }

    /// Reads a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Record> {
        self.entries.get(key).map(|e| record(key, e))
    }

    /// Returns the revision of the store.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the records with the prefix that changed after the revision `after`, deleted ones
    /// too where `after` is above 0.
    #[must_use]
    pub fn changed(&self, prefix: &str, after: u64) -> Vec<Record> {
        let live = self
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, e)| e.version > after)
            .map(|(key, e)| record(key, e));
        let deleted = self
            .deleted
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, version)| after > 0 && **version > after)
            .map(|(key, version)| Record {
                key: key.clone(),
                value: None,
                version: *version,
            });
        live.chain(deleted).collect()
    }

    /// Returns every write with the prefix that took effect, oldest first.
    #[must_use]
    pub fn history(&self, prefix: &str) -> Vec<&Change> {
        self.history
            .iter()
            .filter(|c| c.key.starts_with(prefix))
            .collect()
    }

    /// Opens a lease.
    pub fn open_lease(&mut self, ttl: Millis, now: Millis) -> LeaseBody {
        self.last_lease += 1;
        let ends = now + ttl;
        self.leases.insert(self.last_lease, Lease { ttl, ends });
        LeaseBody {
            id: self.last_lease,
            ttl_ms: ttl,
        }
    }

    /// Renews a lease; `None` where it has ended.
    pub fn renew_lease(&mut self, id: u64, now: Millis) -> Option<LeaseBody> {
        let lease = self.leases.get_mut(&id)?;
        lease.ends = now + lease.ttl;
        Some(LeaseBody {
            id,
            ttl_ms: lease.ttl,
        })
    }

    /// Ends a lease and deletes its keys; tells whether it was open.
    pub fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, e)| e.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.entries.remove(&key);
            self.revision += 1;
            self.deleted.insert(key.clone(), self.revision);
            self.note(&key, None);
        }
        true
    }

    /// Ends the leases that have run out; tells whether a key was deleted.
    pub fn expire(&mut self, now: Millis) -> bool {
        let before = self.revision;
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
        self.revision != before
    }

    fn note(&mut self, key: &str, value: Option<String>) {
        if self.history.len() < HISTORY_KEPT {
            self.history.push(Change {
                key: key.to_owned(),
                version: self.revision,
                value,
                time: wall_micros(),
            });
        }
    }
}

fn record(key: &str, entry: &Entry) -> Record {
    Record {
        key: key.to_owned(),
        value: Some(entry.value.clone()),
        version: entry.version,
    }
}
