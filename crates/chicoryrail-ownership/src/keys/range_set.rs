//! Sets of keys.

use crate::keys::KeyRange;

/// Keys, as spans that do not overlap, sorted where they were made from a sorted list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RangeSet(Vec<KeyRange>);

impl RangeSet {
    /// Returns the keys of spans that do not overlap.
    pub(crate) const fn new(spans: Vec<KeyRange>) -> Self {
        Self(spans)
    }

    /// Returns the keys of one span.
    pub(crate) fn of(span: KeyRange) -> Self {
        Self(vec![span])
    }

    /// Takes keys out.
    #[must_use]
    pub(crate) fn without(self, cuts: impl IntoIterator<Item = KeyRange>) -> Self {
        let cut = |left: Vec<KeyRange>, cut: KeyRange| {
            let left = left.into_iter();
            left.flat_map(|s| s.without(cut)).collect()
        };
        Self(cuts.into_iter().fold(self.0, cut))
    }

    /// Returns the first span.
    pub(crate) fn first(&self) -> Option<KeyRange> {
        self.0.first().copied()
    }

    /// Returns the first keys that the set has of a span.
    pub(crate) fn meet(&self, span: KeyRange) -> Option<KeyRange> {
        self.0.iter().find_map(|s| s.meet(span))
    }

    /// Iterates over the spans.
    pub(crate) fn into_spans(self) -> impl Iterator<Item = KeyRange> {
        self.0.into_iter()
    }
}
