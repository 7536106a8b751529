//! Whose turn it is among weighted parts.

/// Deals requests among parts by their weights, as evenly as possible.
///
/// Load: a host gets a few requests a second on a route with parts of 90 and 10. Harm prevented: drawn by
/// chance, a part of 10 in 100 gets half or twice its share over some seconds; dealt in turns, it is
/// never more than one request off.
#[derive(Clone, Debug, Default)]
pub struct WeightedTurn {
    weights: Vec<u32>,
    credit: Vec<i64>,
}

impl WeightedTurn {
    /// Returns the index of the part whose turn it is. `start` (0 to 1) shifts the first turn, so that many
    /// hosts do not all begin with the heaviest part.
    pub fn next(&mut self, weights: &[u32], start: f64) -> usize {
        let total: i64 = weights.iter().map(|w| i64::from(*w)).sum();
        if self.weights != weights {
            self.weights = weights.to_vec();
            let first = |w: &u32| (f64::from(*w) * start) as i64;
            self.credit = weights.iter().map(first).collect();
        }
        for (credit, weight) in self.credit.iter_mut().zip(weights) {
            *credit += i64::from(*weight);
        }
        let best = self.credit.iter().enumerate().max_by_key(|(_, c)| **c);
        let at = best.map_or(0, |(i, _)| i);
        if let Some(credit) = self.credit.get_mut(at) {
            *credit -= total;
        }
        at
    }
}
