//! An assignment of keys while it is planned.

use std::collections::BTreeMap;

use chicoryrail_core::Life;

use crate::keys::Holder;
use crate::keys::KeyRange;
use crate::keys::OwnedRange;
use crate::keys::load_curve::LoadCurve;
use crate::keys::load_curve::OVERSHOOT;

/// Load over the fair share down to which a server is relieved, and up to which another takes more. Below the load
/// at which a server counts as overloaded, or the next few requests would make it overloaded again.
const RELIEVED_LOAD: f64 = 1.05;

/// Least part of a fair share that is worth a move of its own: each costs its requests a wait for the work that is
/// running on its keys.
const MOVED_SHARE_MIN: f64 = 0.06;

/// Most moves of one plan, at least, and for each server: a range with two fifths of the load goes to as large a part
/// of the servers.
const MOVES_MIN: usize = 24;
const MOVES_PER_SERVER: f64 = 0.5;

/// How much busier than the mean key those must be that are moved for relief: colder ones would be most of all
/// keys, for little relief.
const MOVED_DENSITY_MIN: f64 = 0.25;

/// Servers that the keys of a lost one go to, at least where it held a fair share.
const SUCCESSORS_PER_SERVER: f64 = 4.0;

/// Ranges a server, on average, from which on the coldest are given to the server beside them: each range costs a
/// renewal every 600 ms.
const RANGES_PER_SERVER: f64 = 1.6;

/// Most ranges a server, on average; at it no more moves for relief are planned until some are merged. Each is in the
/// heartbeat of the leader, which must fit into a datagram.
const RANGES_PER_SERVER_MAX: usize = 4;

/// Part of a fair share up to which a range counts as cold.
const COLD_RANGE_SHARE: f64 = 0.08;

/// Most ranges merged in one plan, at least: as many as its moves may add.
const MERGES_PER_PLAN: usize = 48;

/// An assignment of keys while it is planned.
#[derive(Debug)]
pub(crate) struct Assignment<'a> {
    holders: &'a [Holder],
    line: &'a LoadCurve,
    /// Fair load for a weight of 1.
    unit: f64,
    /// Ranges in the order of their keys, with their holder's number; `None` for keys of a server that is gone.
    ranges: Vec<(KeyRange, Option<usize>)>,
    /// Load by holder.
    loads: Vec<f64>,
}

impl<'a> Assignment<'a> {
    /// Begins with what is assigned; keys of servers that are no holders, and of none, are free.
    pub(crate) fn new(
        spans: &[OwnedRange],
        holders: &'a [Holder],
        line: &'a LoadCurve,
        unit: f64,
    ) -> Self {
        let numbers: BTreeMap<&Life, usize> = holders.iter().map(|h| &h.life).zip(0..).collect();
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
            ranges.push((owned.span, numbers.get(&owned.owner).copied()));
            next = u32::from(owned.span.last) + 1;
        }
        if next <= u32::from(u16::MAX) {
            let first = next as u16;
            let last = u16::MAX;
            ranges.push((KeyRange { first, last }, None));
        }
        let mut this = Self {
            holders,
            line,
            unit,
            ranges,
            loads: vec![0.0; holders.len()],
        };
        this.join();
        for (span, holder) in &this.ranges {
            if let Some(holder) = holder {
                this.loads[*holder] += line.load(*span);
            }
        }
        this
    }

    /// Tells whether any holder has keys.
    pub(crate) fn is_held(&self) -> bool {
        self.ranges.iter().any(|(_, holder)| holder.is_some())
    }

    /// Returns the part of the load that lies above `room` times the fair shares. A key that is busier than a server
    /// can bear counts the same wherever it is, so it does not hide that the others lie badly.
    /// So does load that lies within `chance` standard deviations above.
    pub(crate) fn overload(&self, room: f64, chance: f64) -> f64 {
        let over = (0..self.holders.len()).map(|h| {
            let fair = self.fair(h);
            (self.loads[h] - fair * room - fair.sqrt() * chance).max(0.0)
        });
        over.sum::<f64>() / self.line.total()
    }

    /// Returns the holders' loads with their fair shares.
    pub(crate) fn loads(&self) -> impl Iterator<Item = (f64, f64)> {
        (0..self.holders.len()).map(|h| (self.loads[h], self.fair(h)))
    }

    /// Returns the ranges with their holders.
    pub(crate) fn into_spans(self) -> Vec<OwnedRange> {
        let holders = self.holders;
        let ranges = self.ranges.into_iter();
        let owned =
            ranges.filter_map(|(span, h)| Some(OwnedRange::new(span, holders[h?].life.clone())));
        owned.collect()
    }

    fn fair(&self, holder: usize) -> f64 {
        self.holders[holder].weight * self.unit
    }

    /// Returns a holder's load as a multiple of its fair share.
    fn share(&self, holder: usize) -> f64 {
        self.loads[holder] / self.fair(holder).max(f64::MIN_POSITIVE)
    }

    /// Returns the load that a holder may take.
    fn room(&self, holder: usize) -> f64 {
        self.fair(holder) * RELIEVED_LOAD - self.loads[holder]
    }

    /// Returns the holder with most room.
    fn roomiest(&self) -> usize {
        self.most(|holder| self.room(holder))
    }

    /// Returns the holder with the most load for its share.
    fn busiest(&self) -> usize {
        self.most(|holder| self.share(holder))
    }

    /// Returns the holder with the most of something; a draft has one at least.
    fn most(&self, of: impl Fn(usize) -> f64) -> usize {
        let all = 0..self.holders.len();
        let most = all.max_by(|a, b| of(*a).total_cmp(&of(*b)));
        most.unwrap_or(0)
    }

    /// Gives the keys that nobody holds to those with most room, in a few pieces.
    pub(crate) fn give_free(&mut self) {
        let mean = self.line.total() / self.holders.len() as f64;
        while let Some((span, _)) = self.ranges.iter().find(|(_, holder)| holder.is_none()) {
            let least = (mean / SUCCESSORS_PER_SERVER).min(self.line.load(*span));
            let to = self.roomiest();
            let piece = self.line.start_of(*span, self.room(to).max(least));
            self.assign(piece, to);
        }
    }

    /// Gives a server that holds nothing a part of what the busiest have; without knowledge of the load, half of the
    /// longest range.
    pub(crate) fn admit(&mut self, known: bool) {
        for new in 0..self.holders.len() {
            if self.ranges.iter().any(|(_, holder)| *holder == Some(new)) {
                continue;
            }
            if known {
                self.fill(new);
            }
            if self.loads[new] == 0.0 {
                self.halve_for(new);
            }
        }
    }

    /// Moves load from the busiest to a new server, until it has about as much as they.
    fn fill(&mut self, new: usize) {
        for _ in 0..SUCCESSORS_PER_SERVER as usize {
            let from = self.busiest();
            let gap = self.loads[from] - self.fair(from) * self.share(new);
            let amount = (gap / 2.0).min(self.fair(new) / SUCCESSORS_PER_SERVER);
            let Some(piece) = self.piece_of(from, amount, 0.0) else {
                return;
            };
            self.assign(piece, new);
        }
    }

    fn halve_for(&mut self, new: usize) {
        let long = self.ranges.iter().filter(|(span, _)| span.len() > 1);
        let busy = |span: KeyRange, h: usize| self.line.load(span) / self.fair(h);
        let held = long.filter_map(|(span, holder)| Some((*span, (*holder)?)));
        let most = held.max_by(|a, b| busy(a.0, a.1).total_cmp(&busy(b.0, b.1)));
        let Some((span, _)) = most else {
            return;
        };
        let half = self.line.end_of(span, self.line.load(span) / 2.0);
        let first = half.first.max(span.first + 1);
        self.assign(KeyRange { first, ..half }, new);
    }

    /// Takes load off those that have too much, the busiest first, and gives it to those with most room.
    pub(crate) fn relieve(&mut self) {
        let each = (self.holders.len() as f64 * MOVES_PER_SERVER) as usize;
        for _ in 0..each.max(MOVES_MIN) {
            if self.ranges.len() >= self.holders.len() * RANGES_PER_SERVER_MAX {
                return;
            }
            let (from, to) = (self.busiest(), self.roomiest());
            let excess = self.loads[from] - self.fair(from) * RELIEVED_LOAD;
            let amount = excess.min(self.room(to));
            let least = MOVED_SHARE_MIN * self.fair(from).min(self.fair(to));
            if from == to || amount < least {
                return;
            }
            let mean = self.line.total() / f64::from(KeyRange::ALL.len());
            let Some(piece) = self.piece_of(from, amount, mean * MOVED_DENSITY_MIN) else {
                return;
            };
            // One busy key may be more than there is room for; it moves only where that is better for both.
            let after = (self.loads[to] + self.line.load(piece)) / self.fair(to);
            if after >= self.share(from) {
                return;
            }
            self.assign(piece, to);
        }
    }

    /// Returns keys of a holder with about so much load and no more keys than needed, at least as dense as `density`
    /// load a key.
    fn piece_of(&self, from: usize, amount: f64, density: f64) -> Option<KeyRange> {
        if amount <= 0.0 {
            return None;
        }
        let own = self.ranges.iter().filter(|(_, h)| *h == Some(from));
        let pieces: Vec<KeyRange> = own
            .flat_map(|(s, _)| self.line.pieces(*s, amount))
            .collect();
        let dense = |span: &KeyRange| self.line.load(*span) / f64::from(span.len());
        // A key that is busier than wished moves only where nothing else does.
        let fits = |span: &&KeyRange| self.line.load(**span) <= amount * OVERSHOOT;
        let denser = |a: &&KeyRange, b: &&KeyRange| dense(a).total_cmp(&dense(b));
        let fit = pieces.iter().filter(fits).max_by(denser);
        let piece = fit.or_else(|| pieces.iter().max_by(denser));
        piece.copied().filter(|span| dense(span) >= density)
    }

    /// Gives cold ranges to the server beside them, while there are more ranges than wished.
    pub(crate) fn merge(&mut self) {
        let wished = (self.holders.len() as f64 * RANGES_PER_SERVER).ceil() as usize;
        for _ in 0..MERGES_PER_PLAN.max(self.holders.len()) {
            if self.ranges.len() <= wished {
                return;
            }
            let Some((at, to)) = self.coldest() else {
                return;
            };
            self.assign(self.ranges[at].0, to);
        }
    }

    /// Returns the range with the least load whose neighbour has room for it, and the neighbour; one that is all its
    /// holder has stays.
    fn coldest(&self) -> Option<(usize, usize)> {
        let mut best: Option<(f64, usize, usize)> = None;
        let mut ranges_of = vec![0; self.holders.len()];
        for holder in self.ranges.iter().filter_map(|(_, h)| *h) {
            ranges_of[holder] += 1;
        }
        for (at, (span, holder)) in self.ranges.iter().enumerate() {
            let Some(holder) = *holder else {
                continue;
            };
            let load = self.line.load(*span);
            if load > self.fair(holder) * COLD_RANGE_SHARE || ranges_of[holder] < 2 {
                continue;
            }
            let before = at.checked_sub(1).and_then(|i| self.ranges.get(i));
            let beside = [before, self.ranges.get(at + 1)];
            let beside = beside.into_iter().flatten().filter_map(|(_, h)| *h);
            let fits = beside.filter(|h| self.room(*h) >= load);
            let roomy = fits.max_by(|a, b| self.room(*a).total_cmp(&self.room(*b)));
            if let Some(to) = roomy
                && best.is_none_or(|(least, ..)| load < least)
            {
                best = Some((load, at, to));
            }
        }
        best.map(|(_, at, to)| (at, to))
    }

    /// Gives keys, all of one range, to a holder.
    fn assign(&mut self, piece: KeyRange, to: usize) {
        let Some(at) = self.ranges.iter().position(|(s, _)| s.has(piece.first)) else {
            return;
        };
        let (span, from) = self.ranges[at];
        let load = self.line.load(piece);
        if let Some(from) = from {
            self.loads[from] -= load;
        }
        self.loads[to] += load;
        let rest = span.without(piece).into_iter().map(|s| (s, from));
        let mut parts: Vec<_> = rest.chain([(piece, Some(to))]).collect();
        parts.sort_by_key(|(s, _)| *s);
        self.ranges.splice(at..=at, parts);
        self.join();
    }

    /// Joins ranges of one holder that lie side by side.
    fn join(&mut self) {
        let mut joined: Vec<(KeyRange, Option<usize>)> = Vec::with_capacity(self.ranges.len());
        for (span, holder) in self.ranges.drain(..) {
            match joined.last_mut() {
                Some((before, same)) if *same == holder => before.last = span.last,
                _ => joined.push((span, holder)),
            }
        }
        self.ranges = joined;
    }
}
