//! Keys, revisions, leases and the history of writes.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use chicoryrail_core::Millis;
use chicoryrail_platform::kv::WireItem;
use chicoryrail_platform::kv::WirePage;
use chicoryrail_platform::kv::WireTxn;
use serde::Deserialize;
use serde::Serialize;

use crate::wall_micros;

/// Largest value in bytes, as the platform's store has it.
const VALUE_MOST: usize = 1 << 20;

/// Items of one page, as the platform's store has it.
const PAGE_MOST: usize = 500;

/// Writes kept for tests' questions; at a few hundred a second it covers a long run.
const HISTORY_KEPT: usize = 1_000_000;

/// Why a transaction has not taken effect.
#[derive(Clone, Debug)]
pub enum TxnError {
    /// A condition does not hold; these are the keys of the conditions as they stand.
    Conflict(Vec<WireItem>),
    /// A value is longer than a megabyte, or is no base64.
    BadValue,
    /// There is no such lease.
    NoLease,
}

/// A write that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key written.
    pub key: String,
    /// Revision of the write.
    pub version: u64,
    /// Value written, as text; `None` where the key was deleted.
    pub value: Option<String>,
    /// Wall-clock time in microseconds.
    pub time: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
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
    events: Vec<WireItem>,
    /// Revision up to which the events are forgotten.
    forgotten: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    revision: u64,
    history: Vec<Change>,
}

impl Kv {
    /// Makes a change, all or nothing, and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns why nothing was done.
    pub fn commit(&mut self, txn: &WireTxn) -> Result<u64, TxnError> {
        let stands = |key: &str, rev: u64| self.entries.get(key).map_or(0, |e| e.revision) == rev;
        if !txn.precondition.iter().all(|c| stands(&c.key, c.rev)) {
            let items = txn.precondition.iter().filter_map(|c| self.get(&c.key));
            return Err(TxnError::Conflict(items.collect()));
        }
        let fits = |value: &str| STANDARD.decode(value).is_ok_and(|v| v.len() <= VALUE_MOST);
        if !txn.puts.iter().all(|p| fits(&p.value)) {
            return Err(TxnError::BadValue);
        }
        let open = |lease: u64| lease == 0 || self.leases.contains_key(&lease);
        if !txn.puts.iter().all(|p| open(p.lease)) {
            return Err(TxnError::NoLease);
        }
        self.revision += 1;
        for put in &txn.puts {
            let created = self
                .entries
                .get(&put.key)
                .map_or(self.revision, |e| e.created);
            let entry = Entry {
                value: put.value.clone(),
                revision: self.revision,
                created,
                lease: put.lease,
            };
            self.events.push(item(&put.key, &entry));
            self.entries.insert(put.key.clone(), entry);
            self.note(&put.key, Some(&put.value));
        }
        for key in &txn.remove {
            self.delete(key);
        }
        Ok(self.revision)
    }

    /// Reads a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<WireItem> {
        self.entries.get(key).map(|e| item(key, e))
    }

    /// Returns the revision of the store.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a page of the items with the prefix after the key `after`.
    #[must_use]
    pub fn page(&self, prefix: &str, after: &str) -> WirePage {
        let items = self
            .entries
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<_> = items
            .take(PAGE_MOST + 1)
            .map(|(key, e)| item(key, e))
            .collect();
        let has_more = items.len() > PAGE_MOST;
        items.truncate(PAGE_MOST);
        WirePage {
            items,
            has_more,
            store_revision: self.revision,
        }
    }

    /// Returns the changes of keys with the prefix after the revision; `None` where they are forgotten.
    #[must_use]
    pub fn changed(&self, prefix: &str, after: u64) -> Option<Vec<WireItem>> {
        let events = self.events.iter();
        let changed = events.filter(|e| e.rev > after && e.key.starts_with(prefix));
        (after >= self.forgotten).then(|| changed.cloned().collect())
    }

    /// Forgets the changes so far; the items stay.
    pub fn compact(&mut self) {
        self.events.clear();
        self.forgotten = self.revision;
    }

    /// Returns every write with the prefix that took effect, oldest first.
    #[must_use]
    pub fn history(&self, prefix: &str) -> Vec<&Change> {
        self.history
            .iter()
            .filter(|c| c.key.starts_with(prefix))
            .collect()
    }

    /// Opens a lease and returns its number.
    pub fn open_lease(&mut self, ttl: Millis, now: Millis) -> u64 {
        self.last_lease += 1;
        let ends = now + ttl;
        self.leases.insert(self.last_lease, Lease { ttl, ends });
        self.last_lease
    }

    /// Renews a lease and returns its length; `None` where it has ended.
    pub fn renew_lease(&mut self, id: u64, now: Millis) -> Option<Millis> {
        let lease = self.leases.get_mut(&id)?;
        lease.ends = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys; tells whether it was open.
    pub fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let of_lease = self.entries.iter().filter(|(_, e)| e.lease == id);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.delete(&key);
        }
        true
    }

    /// Ends the leases that have run out; tells whether a key was deleted.
    pub fn expire(&mut self, now: Millis) -> bool {
        let before = self.revision;
        let ended = self.leases.iter().filter(|(_, l)| l.ends <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
        self.revision != before
    }

    fn delete(&mut self, key: &str) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.events.push(WireItem {
            value: None,
            rev: self.revision,
            tombstone: true,
            ..item(key, &entry)
        });
        self.note(key, None);
    }

    fn note(&mut self, key: &str, value: Option<&str>) {
        if self.history.len() < HISTORY_KEPT {
            let text = |v| STANDARD.decode(v).unwrap_or_default();
            let text = |v| String::from_utf8_lossy(&text(v)).into_owned();
            self.history.push(Change {
                key: key.to_owned(),
                version: self.revision,
                value: value.map(text),
                time: wall_micros(),
            });
        }
    }
}

fn item(key: &str, entry: &Entry) -> WireItem {
    WireItem {
        key: key.to_owned(),
        value: Some(entry.value.clone()),
        rev: entry.revision,
        create_revision: entry.created,
        lease: entry.lease,
        tombstone: false,
        store_revision: None,
    }
}
