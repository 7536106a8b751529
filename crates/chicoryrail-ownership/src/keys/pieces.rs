//! Selection of the part of a range that is moved.

use crate::keys::KeyRange;
use crate::keys::assignment::Assignment;
use crate::keys::load_curve::OVERSHOOT_FACTOR;
use crate::keys::range_set::RangeSet;

/// Lowest load of a key, relative to the mean key, at which it is moved for relief. Less busy keys make up
/// most of the key space and bring little relief.
pub(super) const MOVE_DENSITY_MIN: f64 = 0.25;

impl Assignment<'_> {
    /// As `select_piece`, with keys of at least a quarter of the mean load that are in no range of `kept`.
    pub(super) fn select_free_piece(
        &self,
        from: usize,
        amount: f64,
        kept: &[KeyRange],
    ) -> Option<KeyRange> {
        let mean = self.curve.total() / f64::from(KeyRange::ALL.len());
        let owned = self.ranges.iter().filter(|(_, owner)| *owner == Some(from));
        let free = owned.flat_map(|(span, _)| {
            let kept = kept.iter().copied();
            RangeSet::from_range(*span).without(kept).into_ranges()
        });
        self.select_among(free, amount, mean * MOVE_DENSITY_MIN)
    }

    /// Returns a range of a candidate with about `amount` load and as few keys as possible, or `None` if
    /// its average load per key is below `density`.
    pub(super) fn select_piece(&self, from: usize, amount: f64, density: f64) -> Option<KeyRange> {
        let owned = self.ranges.iter().filter(|(_, owner)| *owner == Some(from));
        self.select_among(owned.map(|(span, _)| *span), amount, density)
    }

    /// Returns a part of one of the ranges; see `select_piece`.
    fn select_among(
        &self,
        ranges: impl Iterator<Item = KeyRange>,
        amount: f64,
        density: f64,
    ) -> Option<KeyRange> {
        if amount <= 0.0 {
            return None;
        }
        let pieces: Vec<KeyRange> = ranges
            .flat_map(|span| self.curve.pieces(span, amount))
            .collect();
        let density_of = |span: &KeyRange| self.curve.load(*span) / f64::from(span.len());
        // A piece that is much busier than requested is used only if nothing else fits.
        let fits = |span: &&KeyRange| self.curve.load(**span) <= amount * OVERSHOOT_FACTOR;
        let denser = |a: &&KeyRange, b: &&KeyRange| density_of(a).total_cmp(&density_of(b));
        let fitting = pieces.iter().filter(fits).max_by(denser);
        let piece = fitting.or_else(|| pieces.iter().max_by(denser));
        piece.copied().filter(|span| density_of(span) >= density)
    }
}
