//! Sets of keys.

use crate::keys::KeySpan;

/// Keys, as spans that do not overlap, sorted where they were made from a sorted list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SpanSet(Vec<KeySpan>);

impl SpanSet {
    /// Returns the keys of spans that do not overlap.
    pub(crate) const fn new(spans: Vec<KeySpan>) -> Self {
        Self(spans)
    }

    /// Returns the keys of one span.
    pub(crate) fn of(span: KeySpan) -> Self {
        Self(vec![span])
    }

    /// Takes keys out.
    #[must_use]
    pub(crate) fn without(self, cuts: impl IntoIterator<Item = KeySpan>) -> Self {
        let cut = |left: Vec<KeySpan>, cut: KeySpan| {
            let left = left.into_iter();
            left.flat_map(|s| s.without(cut)).collect()
        };
        Self(cuts.into_iter().fold(self.0, cut))
    }

    /// Returns the first span.
    pub(crate) fn first(&self) -> Option<KeySpan> {
        self.0.first().copied()
    }

    /// Returns the first keys that the set has of a span.
    pub(crate) fn meet(&self, span: KeySpan) -> Option<KeySpan> {
        self.0.iter().find_map(|s| s.meet(span))
    }

    /// Iterates over the spans.
    pub(crate) fn into_spans(self) -> impl Iterator<Item = KeySpan> {
        self.0.into_iter()
    }
}
