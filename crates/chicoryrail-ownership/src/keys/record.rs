//! What the store keeps of a service's keys.

use std::collections::BTreeMap;

use chicoryrail_core::Life;
use serde::Deserialize;
use serde::Serialize;

use crate::keys::range_set::RangeSet;

/// A range of keys, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
}

impl KeyRange {
    /// All keys.
    pub const ALL: Self = Self {
        first: 0,
        last: u16::MAX,
    };

    /// Returns the keys that both spans have.
    #[must_use]
    pub fn meet(self, other: Self) -> Option<Self> {
        let first = self.first.max(other.first);
        let last = self.last.min(other.last);
        (first <= last).then_some(Self { first, last })
    }

    /// Returns the keys that `other` does not have: none, one or two spans.
    #[must_use]
    pub fn without(self, other: Self) -> Vec<Self> {
        let Some(cut) = self.meet(other) else {
            return vec![self];
        };
        let mut left = Vec::with_capacity(2);
        if self.first < cut.first {
            left.push(Self {
                first: self.first,
                last: cut.first - 1,
            });
        }
        if cut.last < self.last {
            left.push(Self {
                first: cut.last + 1,
                last: self.last,
            });
        }
        left
    }

    /// Tells whether the span has the key.
    #[must_use]
    pub const fn has(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns the number of keys.
    #[must_use]
    pub const fn len(self) -> u32 {
        self.last as u32 - self.first as u32 + 1
    }

    /// Tells whether the span has no key, which none has.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        false
    }
}

/// Keys and the server that they are meant for, or that may hold them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnedRange {
    /// Keys.
    pub span: KeyRange,
    /// Server.
    pub owner: Life,
}

impl OwnedRange {
    /// Builds the assignment of a span.
    #[must_use]
    pub const fn new(span: KeyRange, owner: Life) -> Self {
        Self { span, owner }
    }
}

/// Value of a service's record; changes only by compare-and-swap, and before a grant under it goes out.
///
/// One fence covers the whole table: whoever changes it raises the fence above all that were ever
/// used, so a grant of an older table is refused wherever a grant of this one has arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Fence of the grants.
    pub fence: u64,
    /// Who is to hold which keys, sorted; keys of no span have no owner.
    pub spans: Vec<OwnedRange>,
    /// Keys that other servers may still hold from before: no grant may overlap them until their
    /// release was answered, their hold has run out, or their server's life has ended.
    pub loose: Vec<OwnedRange>,
    /// Random number of the write, by which a writer whose answer was lost finds its own.
    pub attempt: u64,
}

impl KeyRecord {
    /// Returns the owner of a key.
    #[must_use]
    pub fn owner(&self, key: u16) -> Option<&Life> {
        let at = self.spans.partition_point(|s| s.span.last < key);
        let span = self.spans.get(at)?;
        span.span.has(key).then_some(&span.owner)
    }

    /// Returns the next record, with the given owners: what their predecessors may still hold is loose.
    #[must_use]
    pub fn next(&self, spans: Vec<OwnedRange>, still_loose: &[OwnedRange], attempt: u64) -> Self {
        let kept = by_owner(&spans);
        let mut loose: Vec<OwnedRange> = Vec::new();
        for old in still_loose.iter().chain(&self.spans) {
            // What its holder keeps, or gets back, is not loose.
            let kept = kept.get(&old.owner).into_iter().flatten().copied();
            let left = RangeSet::of(old.span).without(kept);
            for span in left.into_spans() {
                let owned = OwnedRange::new(span, old.owner.clone());
                if !loose.contains(&owned) {
                    loose.push(owned);
                }
            }
        }
        Self {
            fence: self.fence + 1,
            spans,
            loose,
            attempt,
        }
    }
}

/// Returns the ranges of each owner.
pub(crate) fn by_owner(spans: &[OwnedRange]) -> BTreeMap<&Life, Vec<KeyRange>> {
    let mut owners: BTreeMap<&Life, Vec<KeyRange>> = BTreeMap::new();
    for owned in spans {
        owners.entry(&owned.owner).or_default().push(owned.span);
    }
    owners
}
