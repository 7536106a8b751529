//! Divides a load among servers of unequal speed.

/// Least load of a server, as a fraction of what it would get in proportion to its capacity. Without requests its speed
/// would not be observed, and it would not take part again when it is needed.
const SHARE_MIN: f64 = 0.15;

/// Highest fraction of the total capacity for which loads are computed. Above it the servers have no capacity to choose
/// from, and the load is divided in proportion to capacity.
const LOAD_FRACTION_MAX: f64 = 0.9;

/// Iterations of the bisection; each halves the error of the margin.
const BISECTION_STEPS: usize = 40;

/// Returns the load that each server should have, in the order and the unit of `capacities`.
///
/// A request takes longer at a slow server, however idle it is, so in proportion to capacity the slow servers make
/// requests late while fast ones are idle. The mean response time is lowest where each server keeps a margin proportional
/// to the square root of its capacity free (for servers with random arrivals and service times): under little load, fast
/// servers get most of it, and the closer the load comes to the total capacity, the more proportional it is divided.
#[must_use]
pub fn load_shares(capacities: &[f64], load: f64) -> Vec<f64> {
    let total: f64 = capacities.iter().sum();
    let utilisation = (load / total).max(0.0);
    if !utilisation.is_finite() || utilisation > LOAD_FRACTION_MAX {
        return capacities.iter().map(|c| c * utilisation).collect();
    }
    let shares = |margin: f64| {
        capacities.iter().map(move |c| {
            let least = c * utilisation * SHARE_MIN;
            (c - margin * c.sqrt()).max(least)
        })
    };
    let widest = capacities.iter().copied().fold(0.0, f64::max).sqrt();
    let (mut low, mut high) = (0.0, widest);
    for _ in 0..BISECTION_STEPS {
        let margin = f64::midpoint(low, high);
        if shares(margin).sum::<f64>() > load {
            low = margin;
        } else {
            high = margin;
        }
    }
    shares(high).collect()
}
