//! How busy each key is.

use chicoryrail_core::Millis;

use crate::keys::KeySpan;

/// Keys of one bucket. Busy keys stand close to one another, and a few dozen may carry a third of the
/// load, so buckets must be finer than that.
pub(crate) const PER_BUCKET: usize = 4;
const BUCKETS: usize = 65_536 / PER_BUCKET;

/// Time in which the weight of what was seen halves. Which keys are busy changes within seconds.
const HALF_LIFE: Millis = Millis(3_000);

/// Requests by key, the recent ones weighing more.
#[derive(Clone, Debug)]
pub struct KeyLoad {
    buckets: Vec<f32>,
    total: f64,
    aged: Millis,
}

impl Default for KeyLoad {
    fn default() -> Self {
        Self {
            buckets: vec![0.0; BUCKETS],
            total: 0.0,
            aged: Millis::ZERO,
        }
    }
}

impl KeyLoad {
    /// Takes in requests for a key.
    pub fn seen(&mut self, key: u16) {
        self.buckets[usize::from(key) / PER_BUCKET] += 1.0;
        self.total += 1.0;
    }

    /// Lets what was seen fade.
    pub fn age(&mut self, now: Millis) {
        let passed = now.since(self.aged);
        if passed.0 < HALF_LIFE.0 / 10 {
            return;
        }
        self.aged = now;
        let keep = 0.5_f64.powf(passed.0 as f64 / HALF_LIFE.0 as f64);
        for bucket in &mut self.buckets {
            *bucket *= keep as f32;
        }
        self.total *= keep;
    }

    /// Returns what was seen, in requests.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.total
    }

    /// Returns the load of a span, as far as whole buckets show it.
    #[must_use]
    pub fn of(&self, span: KeySpan) -> f64 {
        let first = usize::from(span.first) / PER_BUCKET;
        let last = usize::from(span.last) / PER_BUCKET;
        let sum = self.buckets[first..=last].iter().map(|b| f64::from(*b));
        sum.sum()
    }

    /// Iterates over the buckets: the first key after each, and its load.
    pub(crate) fn steps(&self) -> impl Iterator<Item = (u32, f64)> {
        let ends = self.buckets.iter().enumerate();
        ends.map(|(i, load)| (((i + 1) * PER_BUCKET) as u32, f64::from(*load)))
    }
}
