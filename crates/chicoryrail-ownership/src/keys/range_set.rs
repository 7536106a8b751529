//! Sets of key ranges.

use crate::keys::KeyRange;

/// Set of keys as ranges that do not overlap; sorted if it was built from sorted ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RangeSet(Vec<KeyRange>);

impl RangeSet {
    /// Builds the set from ranges that do not overlap.
    pub(crate) const fn new(spans: Vec<KeyRange>) -> Self {
        Self(spans)
    }

    /// Builds the set from a single range.
    pub(crate) fn from_range(span: KeyRange) -> Self {
        Self(vec![span])
    }

    /// Returns the set without the keys of the `cuts`.
    #[must_use]
    pub(crate) fn without(self, cuts: impl IntoIterator<Item = KeyRange>) -> Self {
        let cut = |remaining: Vec<KeyRange>, cut: KeyRange| {
            let remaining = remaining.into_iter();
            remaining.flat_map(|s| s.without(cut)).collect()
        };
        Self(cuts.into_iter().fold(self.0, cut))
    }

    /// Returns the first range, or `None` if the set is empty.
    pub(crate) fn first(&self) -> Option<KeyRange> {
        self.0.first().copied()
    }

    /// Returns the first overlap of a range of the set with `span`.
    pub(crate) fn first_overlap(&self, span: KeyRange) -> Option<KeyRange> {
        self.0.iter().find_map(|s| s.intersect(span))
    }

    /// Iterates over the ranges.
    pub(crate) fn into_spans(self) -> impl Iterator<Item = KeyRange> {
        self.0.into_iter()
    }
}
