//! Key assignment of a service as kept in the store.

use std::collections::BTreeMap;

use chicoryrail_core::Life;
use serde::Deserialize;
use serde::Serialize;

use crate::keys::range_set::RangeSet;

/// Range of keys, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key of the range.
    pub first: u16,
    /// Last key of the range, included.
    pub last: u16,
}

impl KeyRange {
    /// Returns the range of one key.
    pub(crate) const fn single(key: u16) -> Self {
        Self {
            first: key,
            last: key,
        }
    }

    /// The whole key space.
    pub const ALL: Self = Self {
        first: 0,
        last: u16::MAX,
    };

    /// Returns the keys that are in both ranges, or `None` if there are none.
    #[must_use]
    pub fn intersect(self, other: Self) -> Option<Self> {
        let first = self.first.max(other.first);
        let last = self.last.min(other.last);
        (first <= last).then_some(Self { first, last })
    }

    /// Returns the keys that are not in `other`, as zero, one or two ranges.
    #[must_use]
    pub fn without(self, other: Self) -> Vec<Self> {
        let Some(overlap) = self.intersect(other) else {
            return vec![self];
        };
        let mut rest = Vec::with_capacity(2);
        if self.first < overlap.first {
            rest.push(Self {
                first: self.first,
                last: overlap.first - 1,
            });
        }
        if overlap.last < self.last {
            rest.push(Self {
                first: overlap.last + 1,
                last: self.last,
            });
        }
        rest
    }

    /// Returns `true` if the range contains the key.
    #[must_use]
    pub const fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns the number of keys.
    #[must_use]
    pub const fn len(self) -> u32 {
        self.last as u32 - self.first as u32 + 1
    }

    /// Returns `false`: a range has at least one key.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        false
    }
}

/// Range of keys with the server that it is assigned to, or that may still hold it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnedRange {
    /// Range of keys.
    pub span: KeyRange,
    /// Server incarnation.
    pub owner: Life,
}

impl OwnedRange {
    /// Builds the range of `owner`'s keys.
    #[must_use]
    pub const fn new(span: KeyRange, owner: Life) -> Self {
        Self { span, owner }
    }
}

/// Record of a service's key assignment. It is changed only by compare-and-swap, and is in the store before any
/// grant under it is sent.
///
/// One fencing token covers the whole record. Each change raises the token above all previous ones, so a server
/// that has accepted a grant of the new record refuses grants of an older one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Fencing token of the grants under this record; names say `fence` for short.
    pub fence: u64,
    /// Assigned ranges, sorted by key. Keys in none of them have no owner.
    pub spans: Vec<OwnedRange>,
    /// Keys that former owners may still hold. No grant may overlap them until their release is answered,
    /// the former owner's lease has expired, or its incarnation has ended.
    pub loose: Vec<OwnedRange>,
    /// Random number of the write, by which a writer whose response was lost recognises its own record.
    pub attempt: u64,
}

impl KeyRecord {
    /// Returns the assigned owner of a key.
    #[must_use]
    pub fn owner(&self, key: u16) -> Option<&Life> {
        let index = self.spans.partition_point(|s| s.span.last < key);
        let owned = self.spans.get(index)?;
        owned.span.contains(key).then_some(&owned.owner)
    }

    /// Returns the keys that other servers own in `spans` than in this record, or that nobody owned.
    #[must_use]
    pub fn moved_ranges(&self, spans: &[OwnedRange]) -> Vec<KeyRange> {
        let before = ranges_by_owner(&self.spans);
        let moved = spans.iter().flat_map(|new| {
            let kept = before.get(&new.owner).into_iter().flatten().copied();
            RangeSet::from_range(new.span).without(kept).into_ranges()
        });
        moved.collect()
    }

    /// Returns the next record, with the given owners and a fencing token one higher. Ranges in `former`, which
    /// former owners may still hold, and ranges that change their owner become `loose`.
    #[must_use]
    pub fn next(&self, spans: Vec<OwnedRange>, former: &[OwnedRange], attempt: u64) -> Self {
        let kept = ranges_by_owner(&spans);
        let mut loose: Vec<OwnedRange> = Vec::new();
        for old in former.iter().chain(&self.spans) {
            // Keys that an owner keeps or gets back are not loose.
            let kept = kept.get(&old.owner).into_iter().flatten().copied();
            let rest = RangeSet::from_range(old.span).without(kept);
            for span in rest.into_ranges() {
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
pub(crate) fn ranges_by_owner(spans: &[OwnedRange]) -> BTreeMap<&Life, Vec<KeyRange>> {
    let mut owners: BTreeMap<&Life, Vec<KeyRange>> = BTreeMap::new();
    for owned in spans {
        owners.entry(&owned.owner).or_default().push(owned.span);
    }
    owners
}

/// Joins adjacent ranges of the same owner. The ranges must be in key order.
pub(crate) fn join_owned(spans: Vec<OwnedRange>) -> Vec<OwnedRange> {
    let mut joined: Vec<OwnedRange> = Vec::with_capacity(spans.len());
    for owned in spans {
        match joined.last_mut() {
            Some(last)
                if last.owner == owned.owner
                    && u32::from(last.span.last) + 1 == u32::from(owned.span.first) =>
            {
                last.span.last = owned.span.last;
            }
            _ => joined.push(owned),
        }
    }
    joined
}
