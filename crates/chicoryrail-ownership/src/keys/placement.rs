//! Keys for candidates that have none, and candidates for keys that have none.

use crate::keys::KeyRange;
use crate::keys::assignment::Assignment;

/// Number of pieces that a fair share of load is divided into: the keys of a lost server with a fair share go to
/// about this many servers at most, and a new server gets its keys in at most this many pieces.
const PIECES_PER_FAIR_SHARE: f64 = 4.0;

impl Assignment<'_> {
    /// Assigns unowned keys, in a few pieces, to the candidates with the most spare load.
    pub(crate) fn assign_unowned(&mut self) {
        let mean = self.curve.total() / self.candidates.len() as f64;
        while let Some((span, _)) = self.ranges.iter().find(|(_, owner)| owner.is_none()) {
            let min_load = (mean / PIECES_PER_FAIR_SHARE).min(self.curve.load(*span));
            let to = self.most_spare();
            let piece = self
                .curve
                .prefix_with_load(*span, self.spare_load(to).max(min_load));
            self.assign(piece, to);
        }
    }

    /// Assigns keys of the busiest candidates to each candidate that has none. If no load is known, or no load
    /// could be moved, such a candidate gets a part of one range; see `split_busiest_for`.
    pub(crate) fn admit_new(&mut self, load_known: bool) {
        for new in 0..self.candidates.len() {
            if !self.has_few_keys(new) || self.is_reserved(new) {
                continue;
            }
            if load_known {
                self.fill_new(new);
            }
            if self.loads[new] == 0.0 {
                self.split_busiest_for(new);
            }
        }
    }

    /// Returns `true` if a candidate has no keys, or just the one that was overloaded while it was reserved.
    fn has_few_keys(&self, candidate: usize) -> bool {
        let mut owned = self
            .ranges
            .iter()
            .filter(|(_, owner)| *owner == Some(candidate));
        match (owned.next(), owned.next()) {
            (None, _) => true,
            (Some((span, _)), None) => {
                self.formerly_dedicated.contains(&span.first) && span.len() == 1
            }
            _ => false,
        }
    }

    /// Moves load from the busiest candidates to a new one, in a few pieces, until its relative load is about as
    /// high as theirs.
    fn fill_new(&mut self, new: usize) {
        for _ in 0..PIECES_PER_FAIR_SHARE as usize {
            let from = self.busiest();
            let gap = self.loads[from] - self.fair_load(from) * self.relative_load(new);
            let amount = (gap / 2.0).min(self.fair_load(new) / PIECES_PER_FAIR_SHARE);
            let Some(piece) = self.select_piece(from, amount, 0.0) else {
                return;
            };
            self.assign(piece, new);
        }
    }

    /// Assigns to a new candidate half of the load of one range: of the range with the highest load relative to
    /// its owner's fair share. Without known load, that is the longest range if weights are equal.
    fn split_busiest_for(&mut self, new: usize) {
        let splittable = self.ranges.iter().filter(|(span, _)| span.len() > 1);
        let relative_load = |span: KeyRange, c: usize| self.curve.load(span) / self.fair_load(c);
        let owned = splittable.filter_map(|(span, owner)| Some((*span, (*owner)?)));
        let busiest =
            owned.max_by(|a, b| relative_load(a.0, a.1).total_cmp(&relative_load(b.0, b.1)));
        let Some((span, _)) = busiest else {
            return;
        };
        let half = self
            .curve
            .suffix_with_load(span, self.curve.load(span) / 2.0);
        let first = half.first.max(span.first + 1);
        self.assign(KeyRange { first, ..half }, new);
    }
}
