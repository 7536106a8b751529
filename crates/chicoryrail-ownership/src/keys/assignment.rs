//! Working copy of a key assignment that the planner modifies.

use std::collections::BTreeMap;

use chicoryrail_core::Life;

use crate::keys::KeyCandidate;
use crate::keys::KeyRange;
use crate::keys::OwnedRange;
use crate::keys::load_curve::LoadCurve;
use crate::keys::pieces::MOVE_DENSITY_MIN;

/// Load relative to the fair share down to which a server is relieved, and up to which another server
/// receives more. It lies below the ratio at which a server counts as overloaded; otherwise the next few
/// requests would overload it again.
const RELIEF_TARGET_RATIO: f64 = 1.05;

/// Minimum load of a move, as a fraction of a fair share. Each move delays the requests for its keys until the
/// work already running on them ends.
const MOVE_SHARE_MIN: f64 = 0.06;

/// Minimum of the limit on relief moves in one plan; it applies if there are few candidates.
const MOVES_MIN: usize = 24;

/// Limit on relief moves in one plan, for each candidate. The limit grows with the number of servers because a
/// range with two fifths of the load has to be spread over two fifths of the servers.
const MOVES_PER_SERVER: f64 = 0.5;

/// Average number of ranges for each server at which relief moves stop until some ranges are merged. The
/// leader's heartbeat carries every range and must fit into a datagram.
const RANGES_PER_SERVER_MAX: usize = 4;

/// Working copy of a key assignment: the ranges, their owners and the resulting loads.
#[derive(Debug)]
pub(crate) struct Assignment<'a> {
    pub(super) candidates: &'a [KeyCandidate],
    pub(super) curve: &'a LoadCurve,
    /// Fair load for a weight of 1, in requests.
    pub(super) unit_load: f64,
    /// Ranges in key order, each with the index of its owner in `candidates`; `None` if the keys have no
    /// owner.
    pub(super) ranges: Vec<(KeyRange, Option<usize>)>,
    /// Load of each candidate, in requests.
    pub(super) loads: Vec<f64>,
    /// Keys that are the only ones of their server, which is reserved for them. They are in none of `ranges`.
    pub(super) dedicated: Vec<(u16, usize)>,
    /// Keys that stay with their owner. They are in none of `ranges`.
    pub(super) held: Vec<(u16, usize)>,
    /// Keys whose server is no longer reserved for them.
    pub(super) formerly_dedicated: Vec<u16>,
}

impl<'a> Assignment<'a> {
    /// Builds the working copy from the current assignment. Keys without an owner, or whose owner is no
    /// candidate, become unowned.
    pub(crate) fn new(
        spans: &[OwnedRange],
        candidates: &'a [KeyCandidate],
        curve: &'a LoadCurve,
        unit_load: f64,
    ) -> Self {
        let indices: BTreeMap<&Life, usize> = candidates.iter().map(|c| &c.life).zip(0..).collect();
        let mut ranges = Vec::with_capacity(spans.len());
        let mut next = 0_u32;
        for owned in spans {
            if u32::from(owned.span.first) > next {
                let gap = KeyRange {
                    first: next as u16,
                    last: owned.span.first - 1,
                };
                ranges.push((gap, None));
            }
            ranges.push((owned.span, indices.get(&owned.owner).copied()));
            next = u32::from(owned.span.last) + 1;
        }
        if next <= u32::from(u16::MAX) {
            let first = next as u16;
            let last = u16::MAX;
            ranges.push((KeyRange { first, last }, None));
        }
        let mut this = Self {
            candidates,
            curve,
            unit_load,
            ranges,
            loads: vec![0.0; candidates.len()],
            dedicated: Vec::new(),
            held: Vec::new(),
            formerly_dedicated: Vec::new(),
        };
        this.join_adjacent();
        for (span, owner) in &this.ranges {
            if let Some(owner) = owner {
                this.loads[*owner] += curve.load(*span);
            }
        }
        this
    }

    /// Returns `true` if any candidate owns keys.
    pub(crate) fn has_owners(&self) -> bool {
        self.ranges.iter().any(|(_, owner)| owner.is_some())
    }

    /// Returns the fraction of the total load that lies above the candidates' fair shares times `margin`. Load
    /// within `deviations` standard deviations above that does not count.
    ///
    /// A key too busy for one server is capped by the load curve, so it adds the same amount wherever it is
    /// assigned and does not hide imbalance elsewhere.
    pub(crate) fn overload(&self, margin: f64, deviations: f64) -> f64 {
        let over = (0..self.candidates.len()).map(|c| {
            let fair = self.fair_load(c);
            (self.loads[c] - fair * margin - fair.sqrt() * deviations).max(0.0)
        });
        over.sum::<f64>() / self.curve.total()
    }

    /// Returns each candidate's load and fair share.
    pub(crate) fn loads(&self) -> impl Iterator<Item = (f64, f64)> {
        (0..self.candidates.len()).map(|c| (self.loads[c], self.fair_load(c)))
    }

    /// Returns the owned ranges with their owners.
    pub(crate) fn into_owned_ranges(self) -> Vec<OwnedRange> {
        let candidates = self.candidates;
        let keys = self.dedicated.into_iter().chain(self.held);
        let mut ranges = self.ranges;
        ranges.extend(keys.map(|(key, c)| (KeyRange::single(key), Some(c))));
        ranges.sort_by_key(|(span, _)| *span);
        let ranges = join_adjacent(ranges).into_iter();
        let owned =
            ranges.filter_map(|(span, c)| Some(OwnedRange::new(span, candidates[c?].life.clone())));
        owned.collect()
    }

    /// Returns a candidate's fair share of the load, in requests.
    pub(super) fn fair_load(&self, candidate: usize) -> f64 {
        self.candidates[candidate].weight * self.unit_load
    }

    /// Returns a candidate's load as a multiple of its fair share; 0 if it is reserved for one key.
    pub(super) fn relative_load(&self, candidate: usize) -> f64 {
        if self.is_reserved(candidate) {
            return 0.0;
        }
        self.loads[candidate] / self.fair_load(candidate).max(f64::MIN_POSITIVE)
    }

    /// Returns the load that a candidate can still receive; negative if it has too much or is reserved for one key.
    pub(super) fn spare_load(&self, candidate: usize) -> f64 {
        if self.is_reserved(candidate) {
            return f64::NEG_INFINITY;
        }
        self.fair_load(candidate) * RELIEF_TARGET_RATIO - self.loads[candidate]
    }

    /// Returns the candidate with the most spare load.
    pub(super) fn most_spare(&self) -> usize {
        self.highest(|candidate| self.spare_load(candidate))
    }

    /// Returns the candidate with the highest load relative to its fair share.
    pub(super) fn busiest(&self) -> usize {
        self.highest(|candidate| self.relative_load(candidate))
    }

    /// Returns the candidate with the highest `value`. The fallback is never used, since an assignment has at
    /// least one candidate.
    fn highest(&self, value: impl Fn(usize) -> f64) -> usize {
        let all = 0..self.candidates.len();
        let highest = all.max_by(|a, b| value(*a).total_cmp(&value(*b)));
        highest.unwrap_or(0)
    }

    /// Moves load from overloaded candidates, the busiest first, to those with the most spare load.
    pub(crate) fn relieve_overloaded(&mut self) {
        let moves = (self.candidates.len() as f64 * MOVES_PER_SERVER) as usize;
        for _ in 0..moves.max(MOVES_MIN) {
            if !self.has_spare_ranges() {
                return;
            }
            let (from, to) = (self.busiest(), self.most_spare());
            let excess = self.loads[from] - self.fair_load(from) * RELIEF_TARGET_RATIO;
            let amount = excess.min(self.spare_load(to));
            let min_amount = MOVE_SHARE_MIN * self.fair_load(from).min(self.fair_load(to));
            if from == to || amount < min_amount {
                return;
            }
            let mean = self.curve.total() / f64::from(KeyRange::ALL.len());
            let Some(piece) = self.select_piece(from, amount, mean * MOVE_DENSITY_MIN) else {
                return;
            };
            // A single busy key may exceed the spare load; it moves only if the receiver ends up with a
            // lower relative load than the current owner has.
            let relative_load = (self.loads[to] + self.curve.load(piece)) / self.fair_load(to);
            if relative_load >= self.relative_load(from) {
                return;
            }
            self.assign(piece, to);
        }
    }

    /// Returns `true` if moves may still add ranges.
    pub(super) fn has_spare_ranges(&self) -> bool {
        self.ranges.len() < self.candidates.len() * RANGES_PER_SERVER_MAX
    }

    /// Assigns `piece`, which must lie within one range, to a candidate.
    pub(super) fn assign(&mut self, piece: KeyRange, to: usize) {
        let Some(at) = self
            .ranges
            .iter()
            .position(|(s, _)| s.contains(piece.first))
        else {
            return;
        };
        let (span, from) = self.ranges[at];
        let load = self.curve.load(piece);
        if let Some(from) = from {
            self.loads[from] -= load;
        }
        self.loads[to] += load;
        let rest = span.without(piece).into_iter().map(|s| (s, from));
        let mut pieces: Vec<_> = rest.chain([(piece, Some(to))]).collect();
        pieces.sort_by_key(|(s, _)| *s);
        self.ranges.splice(at..=at, pieces);
        self.join_adjacent();
    }

    /// Joins adjacent ranges with the same owner.
    pub(super) fn join_adjacent(&mut self) {
        self.ranges = join_adjacent(std::mem::take(&mut self.ranges));
    }
}

/// Joins adjacent ranges with the same owner. The ranges must be in key order.
fn join_adjacent(ranges: Vec<(KeyRange, Option<usize>)>) -> Vec<(KeyRange, Option<usize>)> {
    let mut joined: Vec<(KeyRange, Option<usize>)> = Vec::with_capacity(ranges.len());
    for (span, owner) in ranges {
        match joined.last_mut() {
            Some((before, last_owner))
                if *last_owner == owner && u32::from(before.last) + 1 == u32::from(span.first) =>
            {
                before.last = span.last;
            }
            _ => joined.push((span, owner)),
        }
    }
    joined
}
