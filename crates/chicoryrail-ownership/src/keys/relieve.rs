//! Moves the boundaries between spans no further than overloaded servers need.

use crate::keys::KeyLoad;
use crate::keys::KeySpan;
use crate::keys::OwnedSpan;
use crate::keys::key_load::PER_BUCKET;
use crate::keys::plan::EVEN;

/// Load over the fair share that a server may keep. Below the load at which a server counts as overloaded
/// (1.15), or the next few requests would make it overloaded again.
const KEEPS: f64 = 1.1;

/// Rounds in which a key that is busier than a server can bear is cut to what one bears; the shares of the
/// others change with it, less in each round.
const ROUNDS: usize = 3;

/// Keys of the whole line.
const KEYS: u32 = 65_536;

/// The load left of each bucket's first key.
struct Line {
    sums: Vec<f64>,
}

/// Returns the spans with their boundaries moved no further than needed for each server to get at most a
/// little more than its fair share by weight.
///
/// Cutting the line anew gives everybody an even part too, but moves each boundary, and with 87 servers most
/// of all keys change hands at once: their requests wait for the work that runs on them. Here a boundary stays
/// unless one of the servers beside it has too much, or passes on what another had too much.
pub(crate) fn relieve(spans: &[OwnedSpan], weights: &[f64], load: &KeyLoad) -> Vec<OwnedSpan> {
    let (line, unit) = Line::fair(weights, load);
    let caps: Vec<f64> = weights.iter().map(|w| w * unit * KEEPS).collect();
    let mut left = caps.iter().sum::<f64>();
    let mut first = 0;
    let mut moved = Vec::with_capacity(spans.len());
    for (i, span) in spans.iter().enumerate() {
        left -= caps[i];
        let after = (spans.len() - i - 1) as u32;
        let mut end = KEYS;
        if after > 0 {
            // Everything behind the boundary must fit the servers behind it, and everything before it this one.
            let least = line.key_at(line.total() - left);
            let most = line.key_at(line.at(first) + caps[i]);
            end = (u32::from(span.span.last) + 1).max(least).min(most);
            end = end.clamp(first + 1, KEYS - after);
        }
        let span_now = KeySpan {
            first: first as u16,
            last: (end - 1) as u16,
        };
        moved.push(OwnedSpan::new(span_now, span.owner.clone()));
        first = end;
    }
    moved
}

impl Line {
    /// Returns the line in which no key has more load than a server bears, and the fair load for a weight of 1.
    fn fair(weights: &[f64], load: &KeyLoad) -> (Self, f64) {
        let weight: f64 = weights.iter().sum();
        let mean = weight / weights.len() as f64;
        let mut most = f64::INFINITY;
        let mut line = Self::of(load, most);
        for _ in 0..ROUNDS {
            most = line.total() / weight * mean;
            line = Self::of(load, most);
        }
        let unit = line.total() / weight;
        (line, unit)
    }

    fn of(load: &KeyLoad, most: f64) -> Self {
        let even = EVEN * PER_BUCKET as f64 / f64::from(KEYS);
        let mut sum = 0.0;
        let mut sums = vec![0.0];
        for (_, seen) in load.steps() {
            sum += (seen + even).min(most);
            sums.push(sum);
        }
        Self { sums }
    }

    fn total(&self) -> f64 {
        self.sums.last().copied().unwrap_or_default()
    }

    /// Returns the load left of a key; within a bucket the keys count alike.
    fn at(&self, key: u32) -> f64 {
        let bucket = key as usize / PER_BUCKET;
        let Some(next) = self.sums.get(bucket + 1) else {
            return self.total();
        };
        let part = (key as usize % PER_BUCKET) as f64 / PER_BUCKET as f64;
        self.sums[bucket] + (next - self.sums[bucket]) * part
    }

    /// Returns the first key left of which there is at least so much load.
    fn key_at(&self, load: f64) -> u32 {
        let next = self.sums.partition_point(|s| *s < load);
        if next == 0 {
            return 0;
        }
        let Some(after) = self.sums.get(next) else {
            return KEYS;
        };
        let before = self.sums[next - 1];
        let part = (load - before) / (after - before).max(f64::MIN_POSITIVE);
        let key = (next - 1) * PER_BUCKET + (part * PER_BUCKET as f64).ceil() as usize;
        (key as u32).min(KEYS)
    }
}
