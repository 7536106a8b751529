//! Moves that follow demand rather than random variation.

use crate::keys::KeyRange;
use crate::keys::Moves;
use crate::keys::assignment::Assignment;

/// Load relative to the fair share above which a server is relieved at once, and above which it is relieved when load
/// is balanced.
const RELIEF_MARGIN: f64 = 1.4;
const BALANCE_MARGIN: f64 = 1.2;

/// Standard deviations by which a load must exceed the margin. Some 150 servers are judged each second, so that smaller
/// excesses occur by chance all the time.
const DEVIATIONS: f64 = 3.0;

/// As `DEVIATIONS`, shortly after a relief.
const FOLLOW_UP_DEVIATIONS: f64 = 0.5;

/// Variance of a decayed count relative to its mean, if requests arrive independently of one another.
const DECAYED_VARIANCE: f64 = 0.5;

/// Load relative to the fair share down to which a server is relieved, and up to which another one receives load.
const TARGET_RATIO: f64 = 1.05;

/// Smallest move, as a fraction of the smaller fair share of both servers.
const MOVE_SHARE_MIN: f64 = 0.06;

/// Number of moves in one plan for each candidate, and its lower limit.
const MOVES_PER_SERVER: f64 = 0.5;
const MOVES_MIN: usize = 24;

impl Assignment<'_> {
    /// Moves load from candidates whose load is significantly above their fair share to those with the most spare load,
    /// and returns the number of moves. Ranges in `recent` stay where they are unless the moves are urgent.
    pub(crate) fn relieve_significant(
        &mut self,
        moves: Moves,
        follows_relief: bool,
        recent: &[KeyRange],
    ) -> usize {
        let (margin, kept) = match moves {
            Moves::Required => return 0,
            Moves::Urgent => (RELIEF_MARGIN, &[][..]),
            Moves::Balance => (BALANCE_MARGIN, recent),
        };
        let deviations = if follows_relief {
            FOLLOW_UP_DEVIATIONS
        } else {
            DEVIATIONS
        };
        let mut sources: Vec<usize> = (0..self.candidates.len())
            .filter(|c| self.is_significant(*c, margin, deviations))
            .collect();
        let limit = (self.candidates.len() as f64 * MOVES_PER_SERVER) as usize;
        let mut moved = 0;
        while moved < limit.max(MOVES_MIN) {
            let excess = |c: usize| self.loads[c] - self.fair_load(c) * TARGET_RATIO;
            let Some(at) = (0..sources.len())
                .max_by(|a, b| excess(sources[*a]).total_cmp(&excess(sources[*b])))
            else {
                break;
            };
            if self.relieve(sources[at], kept) {
                moved += 1;
            } else {
                sources.swap_remove(at);
            }
        }
        moved
    }

    /// Returns `true` if a candidate's load is above its fair share times `margin` by this many standard
    /// deviations.
    fn is_significant(&self, candidate: usize, margin: f64, deviations: f64) -> bool {
        let fair = self.fair_load(candidate);
        let deviation = (fair * DECAYED_VARIANCE).sqrt();
        self.loads[candidate] > fair * margin + deviation * deviations
    }

    /// Moves one piece of a candidate's load to the candidate with the most spare load. Returns `false` if there is no
    /// suitable move.
    fn relieve(&mut self, from: usize, kept: &[KeyRange]) -> bool {
        let to = self.most_spare();
        let excess = self.loads[from] - self.fair_load(from) * TARGET_RATIO;
        let amount = excess.min(self.spare_load(to));
        let min_amount = MOVE_SHARE_MIN * self.fair_load(from).min(self.fair_load(to));
        if from == to || amount < min_amount || !self.has_spare_ranges() {
            return false;
        }
        let Some(piece) = self.select_free_piece(from, amount, kept) else {
            return false;
        };
        // A single busy key may exceed the spare load; it moves only if the receiver ends up with a lower relative load
        // than the current owner has.
        let relative_load = (self.loads[to] + self.curve.load(piece)) / self.fair_load(to);
        if relative_load >= self.relative_load(from) {
            return false;
        }
        self.assign(piece, to);
        true
    }
}
