//! Servers that are reserved for one overloaded key each.

use crate::keys::KeyRange;
use crate::keys::assignment::Assignment;

/// Capacity of another server, relative to the owner's, from which on an overloaded key moves there. The move costs the
/// requests for the key a wait for the running work, so it has to pay off within a rush of a few seconds.
const CAPACITY_GAIN_MIN: f64 = 1.3;

/// Capacity, relative to the highest, of servers among which the least loaded is chosen.
const EQUAL_CAPACITY_RATIO: f64 = 0.95;

impl Assignment<'_> {
    /// Reserves a server for each key. A key that has its server by an earlier plan stays there; another one goes to
    /// the server with the highest capacity, whose other keys become unowned.
    pub(crate) fn dedicate_servers(&mut self, keys: &[(u16, bool)]) {
        for (key, has_server) in keys {
            let owner = self.take_key(*key);
            let kept = owner.filter(|_| *has_server);
            let Some(to) = kept.or_else(|| self.server_for_hot_key(owner)) else {
                continue;
            };
            self.dedicated.push((*key, to));
            self.vacate(to);
        }
        let free = (0..self.candidates.len()).filter(|c| !self.is_reserved(*c));
        let weight: f64 = free.map(|c| self.candidates[c].weight).sum();
        self.unit_load = self.curve.total() / weight.max(f64::MIN_POSITIVE);
    }

    /// Leaves busy keys with their owners. They would be the first that relief moves, to whichever server has most spare
    /// load, and would move again once they are overloaded.
    pub(crate) fn hold_keys(&mut self, keys: &[u16]) {
        for key in keys {
            let range = self.ranges.iter().find(|(s, _)| s.contains(*key));
            if let Some((_, Some(owner))) = range.copied() {
                self.take_key(*key);
                self.held.push((*key, owner));
            }
        }
    }

    /// Returns `true` if a candidate is reserved for one key.
    pub(crate) fn is_reserved(&self, candidate: usize) -> bool {
        self.dedicated.iter().any(|(_, c)| *c == candidate)
    }

    /// Removes a key from the ranges that are planned, and returns its owner.
    fn take_key(&mut self, key: u16) -> Option<usize> {
        let at = self.ranges.iter().position(|(s, _)| s.contains(key))?;
        let (span, owner) = self.ranges[at];
        let rest = span
            .without(KeyRange::single(key))
            .into_iter()
            .map(|s| (s, owner));
        self.ranges.splice(at..=at, rest);
        owner
    }

    /// Makes the keys of a candidate unowned.
    fn vacate(&mut self, candidate: usize) {
        for (_, owner) in &mut self.ranges {
            if *owner == Some(candidate) {
                *owner = None;
            }
        }
        self.loads[candidate] = 0.0;
        self.join_adjacent();
    }

    /// Returns the server for an overloaded key: the fastest one, or its owner if no other is much faster.
    fn server_for_hot_key(&self, owner: Option<usize>) -> Option<usize> {
        let weight = |c: usize| self.candidates[c].weight;
        let free = (0..self.candidates.len()).filter(|c| !self.is_reserved(*c));
        let highest = free.clone().map(weight).reduce(f64::max)?;
        let stays =
            owner.filter(|o| !self.is_reserved(*o) && highest < weight(*o) * CAPACITY_GAIN_MIN);
        let fast = free.filter(|c| weight(*c) >= highest * EQUAL_CAPACITY_RATIO);
        let least = fast.min_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]));
        stays.or(least)
    }
}
