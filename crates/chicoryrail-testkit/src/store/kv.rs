//! The data of the store: keys, revisions, leases, change events and the history of writes.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use chicoryrail_core::Millis;
use chicoryrail_platform::kv::WireItem;
use chicoryrail_platform::kv::WirePage;
use chicoryrail_platform::kv::WireTxn;
use serde::Deserialize;
use serde::Serialize;

use crate::unix_micros;

/// Largest value in bytes; the platform's store has the same limit.
const VALUE_MAX_BYTES: usize = 1 << 20;

/// Largest number of items of one page; the platform's store has the same limit.
const PAGE_MAX_ITEMS: usize = 500;

/// Number of writes kept for `/testkit/history`. At a few hundred writes a second it covers a long run; later
/// writes are not recorded.
const HISTORY_MAX_WRITES: usize = 1_000_000;

/// The reason why a transaction was rejected; a rejected transaction has no effect.
#[derive(Clone, Debug)]
pub enum TxnError {
    /// A precondition failed. Holds the current items of all keys in the preconditions; absent keys are left out.
    Conflict(Vec<WireItem>),
    /// A value is longer than a megabyte or is not valid base64.
    BadValue,
    /// A put names a lease that does not exist.
    NoLease,
}

/// A write that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key written.
    pub key: String,
    /// Revision of the write.
    pub version: u64,
    /// Value written, decoded to text; `None` if the key was deleted.
    pub value: Option<String>,
    /// Time of the write in microseconds since 1970.
    pub time: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Encoded in base64.
    value: String,
    revision: u64,
    /// Revision at which the key was created.
    created: u64,
    /// Id of the lease with which the key expires; 0 for none.
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Millis,
    expires_at: Millis,
}

/// The data of the store. It reads no clock for its leases: methods take the current time as an argument.
#[derive(Debug, Default)]
pub struct Kv {
    entries: BTreeMap<String, Entry>,
    events: Vec<WireItem>,
    /// Revision up to which the events are compacted.
    compacted_to: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    revision: u64,
    history: Vec<Change>,
}

impl Kv {
    /// Applies a transaction atomically and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns the reason if the transaction was rejected.
    pub fn commit(&mut self, txn: &WireTxn) -> Result<u64, TxnError> {
        let is_at_revision =
            |key: &str, rev: u64| self.entries.get(key).map_or(0, |e| e.revision) == rev;
        if !txn
            .precondition
            .iter()
            .all(|c| is_at_revision(&c.key, c.rev))
        {
            let items = txn.precondition.iter().filter_map(|c| self.get(&c.key));
            return Err(TxnError::Conflict(items.collect()));
        }
        let is_valid_value = |value: &str| {
            STANDARD
                .decode(value)
                .is_ok_and(|v| v.len() <= VALUE_MAX_BYTES)
        };
        if !txn.puts.iter().all(|p| is_valid_value(&p.value)) {
            return Err(TxnError::BadValue);
        }
        let lease_exists = |lease: u64| lease == 0 || self.leases.contains_key(&lease);
        if !txn.puts.iter().all(|p| lease_exists(p.lease)) {
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
            self.record_write(&put.key, Some(&put.value));
        }
        for key in &txn.remove {
            self.delete(key);
        }
        Ok(self.revision)
    }

    /// Returns the item of a key; `None` if the key is absent.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<WireItem> {
        self.entries.get(key).map(|e| item(key, e))
    }

    /// Returns the current revision of the store; 0 for a new one.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the first page of items whose keys start with `prefix` and sort after `after`.
    #[must_use]
    pub fn page(&self, prefix: &str, after: &str) -> WirePage {
        let items = self
            .entries
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<_> = items
            .take(PAGE_MAX_ITEMS + 1)
            .map(|(key, e)| item(key, e))
            .collect();
        let has_more = items.len() > PAGE_MAX_ITEMS;
        items.truncate(PAGE_MAX_ITEMS);
        WirePage {
            items,
            has_more,
            store_revision: self.revision,
        }
    }

    /// Returns the changes of keys with the prefix after the revision; `None` if they were compacted.
    #[must_use]
    pub fn changes_since(&self, prefix: &str, after: u64) -> Option<Vec<WireItem>> {
        let events = self.events.iter();
        let changes = events.filter(|e| e.rev > after && e.key.starts_with(prefix));
        (after >= self.compacted_to).then(|| changes.cloned().collect())
    }

    /// Discards the change events so far; the items stay.
    pub fn compact(&mut self) {
        self.events.clear();
        self.compacted_to = self.revision;
    }

    /// Returns the puts and deletions of keys with the prefix, oldest first. Compaction does not shorten the history.
    #[must_use]
    pub fn history(&self, prefix: &str) -> Vec<&Change> {
        self.history
            .iter()
            .filter(|c| c.key.starts_with(prefix))
            .collect()
    }

    /// Opens a lease and returns its id.
    pub fn open_lease(&mut self, ttl: Millis, now: Millis) -> u64 {
        self.last_lease += 1;
        let expires_at = now + ttl;
        self.leases
            .insert(self.last_lease, Lease { ttl, expires_at });
        self.last_lease
    }

    /// Renews a lease and returns its time to live; `None` if there is no such lease.
    pub fn renew_lease(&mut self, id: u64, now: Millis) -> Option<Millis> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys; returns `true` if the lease was open.
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

    /// Ends the expired leases; returns `true` if a key was deleted.
    pub fn expire(&mut self, now: Millis) -> bool {
        let before = self.revision;
        let expired = self.leases.iter().filter(|(_, l)| l.expires_at <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
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
        self.record_write(key, None);
    }

    fn record_write(&mut self, key: &str, value: Option<&str>) {
        if self.history.len() < HISTORY_MAX_WRITES {
            let text = |v| STANDARD.decode(v).unwrap_or_default();
            let text = |v| String::from_utf8_lossy(&text(v)).into_owned();
            self.history.push(Change {
                key: key.to_owned(),
                version: self.revision,
                value: value.map(text),
                time: unix_micros(),
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
