//! Sets of key ranges.

use crate::keys::KeyRange;

/// Set of keys as ranges that do not overlap; sorted if it was built from sorted ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RangeSet(Vec<KeyRange>);

impl RangeSet {
    /// Builds the set from ranges that do not overlap.
    pub(crate) const fn new(ranges: Vec<KeyRange>) -> Self {
        Self(ranges)
    }

    /// Builds the set from a single range.
    pub(crate) fn from_range(range: KeyRange) -> Self {
        Self(vec![range])
    }

    /// Returns the set without the keys of `removed`.
    #[must_use]
    pub(crate) fn without(self, removed: impl IntoIterator<Item = KeyRange>) -> Self {
        let remove = |remaining: Vec<KeyRange>, range: KeyRange| {
            let remaining = remaining.into_iter();
            remaining.flat_map(|r| r.without(range)).collect()
        };
        Self(removed.into_iter().fold(self.0, remove))
    }

    /// Returns the range that was added first, or `None` if the set is empty. It is the lowest one if the set is
    /// sorted.
    pub(crate) fn first(&self) -> Option<KeyRange> {
        self.0.first().copied()
    }

    /// Returns the overlap with `range` of the first range of the set that overlaps it.
    pub(crate) fn first_overlap(&self, range: KeyRange) -> Option<KeyRange> {
        self.0.iter().find_map(|r| r.intersect(range))
    }

    /// Converts the set into its ranges.
    pub(crate) fn into_ranges(self) -> impl Iterator<Item = KeyRange> {
        self.0.into_iter()
    }
}

/// Returns the same keys as few ranges in key order; `ranges` may overlap.
pub(crate) fn join_ranges(mut ranges: Vec<KeyRange>) -> Vec<KeyRange> {
    ranges.sort_unstable();
    let mut joined: Vec<KeyRange> = Vec::with_capacity(ranges.len());
    for range in ranges {
        match joined.last_mut() {
            Some(last) if u32::from(last.last) + 1 >= u32::from(range.first) => {
                last.last = last.last.max(range.last);
            }
            _ => joined.push(range),
        }
    }
    joined
}
