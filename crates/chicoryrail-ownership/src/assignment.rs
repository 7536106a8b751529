//! The slice table of a section.

use std::collections::BTreeMap;

use chicoryrail_core::Fence;
use chicoryrail_core::KeyHash;
use chicoryrail_core::ServerName;
use chicoryrail_core::Service;
use chicoryrail_core::Slice;

use crate::AssignRecord;

/// A slice and its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owned {
    /// The slice.
    pub slice: Slice,
    /// Its owner, where it has one.
    pub owner: Option<ServerName>,
}

/// The owners of all slices of a section, sorted and without gaps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Assignment {
    entries: Vec<Owned>,
}

impl Assignment {
    /// Cuts section `part` of a service into slices without owners: equal parts, the borders of key
    /// ranges, and a slice of its own for each hot key.
    #[must_use]
    pub fn cut(service: &Service, part: u32) -> Self {
        let parts = service.parts.max(1);
        let section = Slice::FULL.part(part, parts);
        let n = service.slices.div_ceil(parts).max(1);
        let mut entries: Vec<Owned> = (0..n)
            .map(|i| Owned {
                slice: section.part(i, n),
                owner: None,
            })
            .collect();
        entries.retain(|e| e.slice.first <= e.slice.last);
        let mut all = Self { entries };
        all.split(service);
        all
    }

    /// Builds the table of a free service, which has no slices.
    #[must_use]
    pub const fn empty() -> Self {
        Self {
            entries: Vec::new(),
        }
    }

    /// Cuts at the borders of the service's key ranges and around its hot keys.
    ///
    /// Both sides of a cut keep the owner, so that a new hot key alone moves nothing.
    pub fn split(&mut self, service: &Service) {
        for range in service.key_ranges.iter().filter_map(|r| r.slice()) {
            self.cut_before(range.first);
            if let Some(next) = range.last.checked_add(1) {
                self.cut_before(next);
            }
        }
        for hot in &service.hot_keys {
            let at = KeyHash::of(&hot.key).0;
            self.cut_before(at);
            if let Some(next) = at.checked_add(1) {
                self.cut_before(next);
            }
        }
    }

    /// Reads the stored table of a section.
    #[must_use]
    pub fn from_record(record: &AssignRecord, section: Slice) -> Self {
        let ends = record.starts.iter().skip(1).map(|s| s.wrapping_sub(1));
        let ends = ends.chain(std::iter::once(section.last));
        let rows = record.starts.iter().zip(ends).zip(&record.owners);
        let entries = rows.map(|((first, last), owner)| Owned {
            slice: Slice {
                first: *first,
                last,
            },
            owner: record.servers.get(*owner as usize).cloned(),
        });
        Self {
            entries: entries.collect(),
        }
    }

    /// Writes the table as it is stored.
    #[must_use]
    pub fn to_record(&self, fence: Fence, attempt: &str) -> AssignRecord {
        let mut index = BTreeMap::new();
        let mut servers = Vec::new();
        let mut owners = Vec::with_capacity(self.entries.len());
        for entry in &self.entries {
            let Some(owner) = &entry.owner else {
                owners.push(u32::MAX);
                continue;
            };
            let i = *index.entry(owner).or_insert_with(|| {
                servers.push(owner.clone());
                servers.len() as u32 - 1
            });
            owners.push(i);
        }
        AssignRecord {
            fence,
            attempt: attempt.to_owned(),
            servers,
            starts: self.entries.iter().map(|e| e.slice.first).collect(),
            owners,
        }
    }

    /// Returns the slices with their owners.
    #[must_use]
    pub fn entries(&self) -> &[Owned] {
        &self.entries
    }

    /// Returns the owner of slice `i`.
    #[must_use]
    pub fn owner(&self, i: usize) -> Option<&ServerName> {
        self.entries.get(i).and_then(|e| e.owner.as_ref())
    }

    /// Changes the owner of slice `i`.
    pub fn set_owner(&mut self, i: usize, owner: Option<ServerName>) {
        if let Some(entry) = self.entries.get_mut(i) {
            entry.owner = owner;
        }
    }

    fn cut_before(&mut self, at: u64) {
        let found = self
            .entries
            .iter()
            .position(|e| e.slice.first < at && at <= e.slice.last);
        let Some(i) = found else {
            return;
        };
        let mut tail = self.entries[i].clone();
        self.entries[i].slice.last = at - 1;
        tail.slice.first = at;
        self.entries.insert(i + 1, tail);
    }
}
