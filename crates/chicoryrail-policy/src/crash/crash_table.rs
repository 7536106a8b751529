//! One host's knowledge of requests under which servers ended.

use std::collections::HashMap;

use chicoryrail_core::Fingerprint;
use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;

use crate::CrashRecord;
use crate::Standing;

/// Largest number of requests in the table.
const ENTRIES_MAX: usize = 1_024;

/// Time after which evidence that does not block a request lapses.
const EVIDENCE_TIME: Millis = Millis(3_600_000);

/// Time after which a record without evidence is dropped. Reports of dismissed evidence have arrived by then.
const DISMISSED_TIME: Millis = Millis(60_000);

/// Time for which a server that was found alive is remembered: reports of its end may still be on their way.
const ALIVE_TIME: Millis = Millis(15_000);

/// Largest number of servers that are remembered as alive.
const ALIVE_MAX: usize = 256;

/// Requests under which servers ended, with the evidence.
///
/// Guards against a request that ends each server that runs it, wherever it comes. Servers also end of other causes
/// while they run requests that many callers repeat, so three must end in a row: one complete run anywhere dismisses
/// the evidence. The table is empty unless a server has ended, and a request is then compared by its head first.
#[derive(Debug, Default)]
pub struct CrashTable {
    entries: HashMap<Fingerprint, Entry>,
    /// Number of entries with evidence, for each head.
    heads: HashMap<u64, u32>,
    alive: Vec<(Life, Millis)>,
    version: u64,
}

#[derive(Debug)]
struct Entry {
    record: CrashRecord,
    changed_at: Millis,
    /// Version of the table at the last change.
    version: u64,
}

impl CrashTable {
    /// Returns a number that grows with each change.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns `true` if a request with this head may be suspected or blocked. Requires no hash of its body.
    #[must_use]
    pub fn has_head(&self, head: u64) -> bool {
        self.heads.contains_key(&head)
    }

    /// Returns `true` if any request is suspected or blocked.
    #[must_use]
    pub fn has_evidence(&self) -> bool {
        !self.heads.is_empty()
    }

    /// Returns whether a request may run.
    #[must_use]
    pub fn standing(&self, request: Fingerprint) -> Standing {
        let entry = self.entries.get(&request);
        entry.map_or(Standing::Clear, |entry| entry.record.standing())
    }

    /// Returns the record of a request.
    #[must_use]
    pub fn record(&self, request: Fingerprint) -> Option<&CrashRecord> {
        self.entries.get(&request).map(|entry| &entry.record)
    }

    /// Returns all records.
    pub fn records(&self) -> impl Iterator<Item = (Fingerprint, &CrashRecord)> {
        let entries = self.entries.iter();
        entries.map(|(request, entry)| (*request, &entry.record))
    }

    /// Returns the records that changed after a version of the table.
    pub fn records_since(&self, version: u64) -> impl Iterator<Item = (Fingerprint, &CrashRecord)> {
        let entries = self.entries.iter();
        let changed = entries.filter(move |(_, entry)| entry.version > version);
        changed.map(|(request, entry)| (*request, &entry.record))
    }

    /// Returns the records that changed in the last `age`.
    pub fn recent_records(
        &self,
        now: Millis,
        age: Millis,
    ) -> impl Iterator<Item = (Fingerprint, &CrashRecord)> {
        let entries = self.entries.iter();
        let recent = entries.filter(move |(_, entry)| now.since(entry.changed_at) <= age);
        recent.map(|(request, entry)| (*request, &entry.record))
    }

    /// Returns the servers that were found alive although a host reported their end.
    pub fn alive(&self) -> impl Iterator<Item = &Life> {
        self.alive.iter().map(|(life, _)| life)
    }

    /// Records that a server ended under a request; returns `true` if that is new.
    pub fn record_end(
        &mut self,
        now: Millis,
        request: Fingerprint,
        (service, head): (&ServiceName, u64),
        life: &Life,
    ) -> bool {
        let mut record = CrashRecord::new(service.clone(), head);
        if let Some(known) = self.record(request) {
            record.epoch = known.epoch;
        }
        record.add_end(life);
        self.merge(now, request, &record)
    }

    /// Records that a request ran completely; returns `true` if that dismissed evidence.
    pub fn record_complete(&mut self, now: Millis, request: Fingerprint) -> bool {
        self.update(now, request, CrashRecord::dismiss)
    }

    /// Merges another host's record of a request; returns `true` if this host learned something.
    pub fn merge(&mut self, now: Millis, request: Fingerprint, record: &CrashRecord) -> bool {
        let mut known = record.clone();
        known.ends.retain(|life| !self.is_alive(life));
        if !self.entries.contains_key(&request) {
            if known.standing() == Standing::Clear && known.epoch == 0 {
                return false;
            }
            self.make_room();
            let record = CrashRecord::new(known.service.clone(), known.head);
            let entry = Entry {
                record,
                changed_at: now,
                version: self.version,
            };
            self.entries.insert(request, entry);
        }
        self.update(now, request, |own| own.merge(&known))
    }

    /// Records that a server accepts connections although a host reported its end: that host lost its path. Returns `true`
    /// if this host did not know it.
    pub fn record_alive(&mut self, now: Millis, life: &Life) -> bool {
        self.alive.retain(|(_, at)| now.since(*at) < ALIVE_TIME);
        if self.is_alive(life) {
            return false;
        }
        if self.alive.len() >= ALIVE_MAX {
            self.alive.remove(0);
        }
        self.alive.push((life.clone(), now));
        let named = |entry: &&Entry| entry.record.ends.contains(life);
        let entries = self.entries.iter();
        let concerned: Vec<_> = entries.filter(|(_, e)| named(e)).map(|(r, _)| *r).collect();
        for request in concerned {
            self.update(now, request, |record| {
                record.ends.retain(|ended| ended != life);
                true
            });
        }
        self.version += 1;
        true
    }

    /// Drops evidence that has lapsed, and records without evidence.
    pub fn expire(&mut self, now: Millis) {
        let is_lapsed = |entry: &Entry| {
            let age = now.since(entry.changed_at);
            match entry.record.standing() {
                Standing::Clear => age > DISMISSED_TIME,
                Standing::Suspect(_) => age > EVIDENCE_TIME,
                Standing::Blocked => false,
            }
        };
        let entries = self.entries.iter();
        let lapsed: Vec<_> = entries
            .filter(|(_, e)| is_lapsed(e))
            .map(|(r, _)| *r)
            .collect();
        lapsed.into_iter().for_each(|request| self.remove(request));
    }

    fn is_alive(&self, life: &Life) -> bool {
        self.alive().any(|alive| alive == life)
    }

    fn update(
        &mut self,
        now: Millis,
        request: Fingerprint,
        change: impl FnOnce(&mut CrashRecord) -> bool,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&request) else {
            return false;
        };
        let head = entry.record.head;
        let was_clear = entry.record.standing() == Standing::Clear;
        if !change(&mut entry.record) {
            return false;
        }
        entry.changed_at = now;
        entry.version = self.version + 1;
        let is_clear = entry.record.standing() == Standing::Clear;
        match (was_clear, is_clear) {
            (true, false) => *self.heads.entry(head).or_default() += 1,
            (false, true) => self.forget_head(head),
            _ => {}
        }
        self.version += 1;
        true
    }

    fn forget_head(&mut self, head: u64) {
        if let Some(count) = self.heads.get_mut(&head) {
            *count -= 1;
            if *count == 0 {
                self.heads.remove(&head);
            }
        }
    }

    /// Drops the record that changed longest ago if the table is full; one that blocks a request only if all do.
    fn make_room(&mut self) {
        if self.entries.len() < ENTRIES_MAX {
            return;
        }
        let rank = |entry: &Entry| {
            let blocks = entry.record.standing() == Standing::Blocked;
            (blocks, entry.changed_at)
        };
        let oldest = self.entries.iter().min_by_key(|(_, entry)| rank(entry));
        if let Some(request) = oldest.map(|(request, _)| *request) {
            self.remove(request);
        }
    }

    fn remove(&mut self, request: Fingerprint) {
        let Some(entry) = self.entries.remove(&request) else {
            return;
        };
        if entry.record.standing() != Standing::Clear {
            self.forget_head(entry.record.head);
        }
        self.version += 1;
    }
}
