//! Weighted round robin.

/// Distributes requests among choices by their weights, as evenly as possible.
///
/// Guards against uneven shares on a route with a few requests per second. With weights of 90 and 10, random selection
/// gives the choice of weight 10 half or twice its share over some seconds; in turns, the error is never more than one
/// request.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    /// Weights of the last call.
    weights: Vec<u32>,
    /// Accumulated weight of each choice. The choice with the most is next, and pays the sum of all weights for its
    /// turn.
    credit: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the next choice; 0 if there are none. `start` (0 to 1) shifts the first turn, so that many
    /// hosts don't all begin with the choice of the greatest weight.
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
