//! A high quantile of recent latencies.

use chicoryrail_core::Millis;

/// Steps per doubling: the value of a bucket is exact to 9 %.
const STEPS: f64 = 8.0;
/// Up to 2^24 us, 16 s.
const BUCKETS: usize = 24 * 8;
/// Fewer samples give no quantile worth acting on.
const FEWEST: u32 = 100;

/// A high quantile of the latencies of the last one to two windows.
///
/// Two histograms in turn, so that a change of the service is followed within two windows at a
/// fixed cost of 1.5 KB.
#[derive(Clone, Debug)]
pub struct Quantile {
    window: Millis,
    start: Millis,
    now: Vec<u32>,
    last: Vec<u32>,
}

impl Quantile {
    /// Keeps samples for one to two times `window`.
    #[must_use]
    pub fn new(window: Millis) -> Self {
        Self {
            window,
            start: Millis::ZERO,
            now: vec![0; BUCKETS],
            last: vec![0; BUCKETS],
        }
    }

    /// Takes in a latency.
    pub fn add(&mut self, now: Millis, us: u32) {
        if now.since(self.start) >= self.window {
            std::mem::swap(&mut self.now, &mut self.last);
            self.now.fill(0);
            self.start = now;
        }
        self.now[bucket(us)] += 1;
    }

    /// Returns the quantile `q` in microseconds; `None` while there are too few samples.
    #[must_use]
    pub fn at(&self, q: f64) -> Option<u32> {
        let sum: u32 = self.now.iter().chain(&self.last).sum();
        if sum < FEWEST {
            return None;
        }
        let rest = (f64::from(sum) * (1.0 - q)) as u32;
        let mut above = 0;
        for i in (0..BUCKETS).rev() {
            above += self.now[i] + self.last[i];
            if above > rest {
                return Some(upper(i));
            }
        }
        None
    }
}

fn bucket(us: u32) -> usize {
    ((f64::from(us.max(1)).log2() * STEPS) as usize).min(BUCKETS - 1)
}

fn upper(i: usize) -> u32 {
    ((i + 1) as f64 / STEPS).exp2() as u32
}
