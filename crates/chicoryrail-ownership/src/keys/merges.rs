//! Merging of lightly loaded ranges.

use crate::keys::KeyRange;
use crate::keys::assignment::Assignment;

/// Average number of ranges for each server above which lightly loaded ranges are merged into neighbouring ones.
/// Each range costs a renewal every 600 ms.
const RANGES_PER_SERVER_TARGET: f64 = 1.6;

/// Load, as a fraction of a fair share, up to which a range counts as lightly loaded.
const LIGHT_RANGE_SHARE: f64 = 0.08;

/// Minimum of the limit on merges in one plan; with more candidates than this, their number is the limit. It is
/// twice the limit on relief moves, since each move may add two ranges.
const MERGES_MIN: usize = 48;

impl Assignment<'_> {
    /// Merges lightly loaded ranges into neighbouring ones while there are more ranges than the target.
    pub(crate) fn merge_lightly_loaded(&mut self) {
        self.merge_above(RANGES_PER_SERVER_TARGET, &[]);
    }

    /// As `merge_lightly_loaded`, with twice the target, since merges move many keys, though few requests. Ranges that
    /// overlap one of `kept` stay.
    pub(crate) fn merge_surplus(&mut self, kept: &[KeyRange]) {
        self.merge_above(RANGES_PER_SERVER_TARGET * 2.0, kept);
    }

    /// Merges while there are more ranges than this average number for each server.
    fn merge_above(&mut self, ranges_per_server: f64, kept: &[KeyRange]) {
        let target = (self.candidates.len() as f64 * ranges_per_server).ceil() as usize;
        for _ in 0..MERGES_MIN.max(self.candidates.len()) {
            if self.ranges.len() <= target {
                return;
            }
            let Some((at, to)) = self.least_loaded_mergeable(kept) else {
                return;
            };
            self.assign(self.ranges[at].0, to);
        }
    }

    /// Returns the index of the least loaded range that can be merged, and the candidate that receives it: the
    /// owner of a neighbouring range with enough spare load. Only lightly loaded ranges are merged, and not the
    /// only range of a candidate.
    fn least_loaded_mergeable(&self, kept: &[KeyRange]) -> Option<(usize, usize)> {
        let mut best: Option<(f64, usize, usize)> = None;
        let mut range_counts = vec![0; self.candidates.len()];
        for owner in self.ranges.iter().filter_map(|(_, owner)| *owner) {
            range_counts[owner] += 1;
        }
        for (at, (span, owner)) in self.ranges.iter().enumerate() {
            let Some(owner) = *owner else {
                continue;
            };
            let load = self.curve.load(*span);
            let is_light = load <= self.fair_load(owner) * LIGHT_RANGE_SHARE;
            let stays = || kept.iter().any(|k| k.intersect(*span).is_some());
            if !is_light || range_counts[owner] < 2 || stays() {
                continue;
            }
            let before = at.checked_sub(1).and_then(|i| self.ranges.get(i));
            let neighbours = [before, self.ranges.get(at + 1)];
            let neighbours = neighbours
                .into_iter()
                .flatten()
                .filter_map(|(_, owner)| *owner);
            let fits = neighbours.filter(|c| self.spare_load(*c) >= load);
            let receiver = fits.max_by(|a, b| self.spare_load(*a).total_cmp(&self.spare_load(*b)));
            if let Some(to) = receiver
                && best.is_none_or(|(min_load, ..)| load < min_load)
            {
                best = Some((load, at, to));
            }
        }
        best.map(|(_, at, to)| (at, to))
    }
}
