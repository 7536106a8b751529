//! The difference between two key assignments of a service.

use chicoryrail_core::Life;

use crate::keys::KeyRange;
use crate::keys::KeyRecord;
use crate::keys::OwnedRange;
use crate::keys::range_set::RangeSet;
use crate::keys::range_set::join_ranges;
use crate::keys::record::join_owned;

/// Changes of the owners from one record to a later one.
///
/// A record lists every server, and each move of a few keys makes a new one. Between hosts only the ranges travel whose
/// owner changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyChanges {
    /// Fencing token of the record that is changed.
    pub base: u64,
    /// Fencing token of the resulting record.
    pub fence: u64,
    /// Changed ranges with their owners, in key order.
    pub owned: Vec<OwnedRange>,
    /// Changed ranges that have no owner any more, in key order.
    pub unowned: Vec<KeyRange>,
}

impl KeyChanges {
    /// Returns the changes from the record with fencing token `base` to `record`, given the ranges that differ.
    pub(crate) fn new(base: u64, record: &KeyRecord, changed: Vec<KeyRange>) -> Self {
        let mut this = Self {
            base,
            fence: record.fence,
            owned: Vec::new(),
            unowned: Vec::new(),
        };
        for range in join_ranges(changed) {
            this.push_owners(record, range);
        }
        this
    }

    /// Adds the owners of `range`, which may have several, and its keys without an owner.
    fn push_owners(&mut self, record: &KeyRecord, range: KeyRange) {
        let first = record.spans.partition_point(|s| s.span.last < range.first);
        let mut next = u32::from(range.first);
        for owned in &record.spans[first..] {
            let Some(span) = owned.span.intersect(range) else {
                break;
            };
            self.push_unowned(next, u32::from(span.first));
            self.owned.push(OwnedRange::new(span, owned.owner.clone()));
            next = u32::from(span.last) + 1;
        }
        self.push_unowned(next, u32::from(range.last) + 1);
    }

    /// Adds the keys from `first` to `end`, which is excluded, as keys without an owner.
    fn push_unowned(&mut self, first: u32, end: u32) {
        if first < end {
            let (first, last) = (first as u16, (end - 1) as u16);
            self.unowned.push(KeyRange { first, last });
        }
    }

    /// Returns the owned ranges of `record` after these changes.
    pub(crate) fn apply_to(&self, record: &KeyRecord) -> Vec<OwnedRange> {
        let changed = self.owned.iter().map(|o| o.span);
        let changed = join_ranges(changed.chain(self.unowned.iter().copied()).collect());
        let mut spans = Vec::with_capacity(record.spans.len() + self.owned.len());
        for owned in &record.spans {
            let first = changed.partition_point(|c| c.last < owned.span.first);
            let overlapping = changed[first..].iter().copied();
            let overlapping = overlapping.take_while(|c| c.first <= owned.span.last);
            let rest = RangeSet::from_range(owned.span).without(overlapping);
            let rest = rest.into_ranges();
            spans.extend(rest.map(|span| OwnedRange::new(span, owned.owner.clone())));
        }
        spans.extend(self.owned.iter().cloned());
        spans.sort_unstable_by_key(|o| o.span);
        join_owned(spans)
    }
}

/// Returns the ranges whose owner differs between two records.
pub(crate) fn changed_ranges(old: &KeyRecord, new: &KeyRecord) -> Vec<KeyRange> {
    let mut changed = Vec::new();
    let mut first = 0_u32;
    let (mut old_spans, mut new_spans) = (old.spans.as_slice(), new.spans.as_slice());
    while first <= u32::from(u16::MAX) {
        let (old_owner, old_end) = owner_until(&mut old_spans, first);
        let (new_owner, new_end) = owner_until(&mut new_spans, first);
        let end = old_end.min(new_end);
        if old_owner != new_owner {
            let (first, last) = (first as u16, (end - 1) as u16);
            changed.push(KeyRange { first, last });
        }
        first = end;
    }
    join_ranges(changed)
}

/// Returns the owner of key `first` and the key before which it does not change. Drops the spans before `first`.
fn owner_until<'a>(spans: &mut &'a [OwnedRange], first: u32) -> (Option<&'a Life>, u32) {
    while let [owned, rest @ ..] = spans {
        if u32::from(owned.span.last) >= first {
            break;
        }
        *spans = rest;
    }
    match spans {
        [owned, ..] if u32::from(owned.span.first) <= first => {
            (Some(&owned.owner), u32::from(owned.span.last) + 1)
        }
        [owned, ..] => (None, u32::from(owned.span.first)),
        [] => (None, u32::from(u16::MAX) + 1),
    }
}
