//! What a part of the store held and how it changed, for the hosts that follow this one.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use chicoryrail_platform::Change;
use chicoryrail_platform::Changes;
use chicoryrail_platform::Item;
use chicoryrail_platform::Snapshot;

/// Changes that are kept. A host that is further behind is sent everything.
const KEPT: usize = 1_024;

/// What a host that follows this one has not heard of a part of the store.
#[derive(Clone, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub(crate) enum FeedNews {
    /// All of it.
    Whole(Snapshot),
    /// What changed since.
    Changes(Changes),
}

/// What a part of the store held and how it changed.
///
/// Each change keeps the revision that the store gave it, so a host may go on from one relay to another.
#[derive(Debug, Default)]
pub(crate) struct FeedLog {
    items: BTreeMap<String, Item>,
    changes: VecDeque<Change>,
    /// Revision after which all changes are kept.
    base: u64,
    /// Revision up to which the part was heard; `None` where it was not read yet.
    heard: Option<u64>,
}

impl FeedLog {
    /// Takes in everything that the part holds.
    pub(crate) fn replace(&mut self, all: &Snapshot) {
        let items = all.items.iter();
        self.items = items.map(|i| (i.key.clone(), i.clone())).collect();
        self.changes.clear();
        self.base = all.revision;
        self.heard = Some(all.revision);
    }

    /// Takes in what changed.
    pub(crate) fn apply(&mut self, new: &Changes) {
        for change in &new.changes {
            match change {
                Change::Put(item) => {
                    self.items.insert(item.key.clone(), item.clone());
                }
                Change::Gone { key, .. } => {
                    self.items.remove(key);
                }
            }
            self.changes.push_back(change.clone());
        }
        while self.changes.len() > KEPT {
            if let Some(oldest) = self.changes.pop_front() {
                self.base = self.base.max(oldest.revision());
            }
        }
        self.heard = self.heard.max(Some(new.revision));
    }

    /// Tells whether there is something that a host has not heard that heard the part up to `after`.
    pub(crate) fn has_since(&self, after: Option<u64>) -> bool {
        self.heard.is_some() && self.heard > after
    }

    /// Returns what a host has not heard that heard the part up to `after`; `None` where that is nothing.
    pub(crate) fn since(&self, after: Option<u64>) -> Option<FeedNews> {
        let revision = self.heard?;
        if !self.has_since(after) {
            return None;
        }
        let Some(after) = after.filter(|after| *after >= self.base) else {
            let items = self.items.values().cloned().collect();
            return Some(FeedNews::Whole(Snapshot { items, revision }));
        };
        let new = self.changes.iter().filter(|c| c.revision() > after);
        let changes = new.cloned().collect();
        Some(FeedNews::Changes(Changes { changes, revision }))
    }
}
