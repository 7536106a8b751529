//! How busy each key is.

use chicoryrail_core::Millis;

use crate::keys::KeyRange;

/// Keys of one bucket. A few dozen keys side by side may carry a third of the load of hundreds of servers: then each
/// of them is as much as a server can do, and two that count as one would have to share a server.
pub(crate) const PER_BUCKET: usize = 1;
const BUCKETS: usize = 65_536 / PER_BUCKET;

/// How far back a look at the load goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Window {
    /// The last moments: which range has grown busy just now.
    Short,
    /// The last seconds: enough requests to tell a busy server from chance.
    Long,
}

impl Window {
    /// Returns the time in which the weight of what was seen halves.
    const fn half_life(self) -> Millis {
        match self {
            Self::Short => Millis(800),
            Self::Long => Millis(3_000),
        }
    }
}

/// Requests by key, the recent ones weighing more.
#[derive(Clone, Debug, Default)]
pub struct KeyLoad {
    short: Fading,
    long: Fading,
    aged: Millis,
}

/// Requests by bucket of keys, fading.
#[derive(Clone, Debug)]
struct Fading {
    buckets: Vec<f32>,
    total: f64,
}

impl Default for Fading {
    fn default() -> Self {
        Self {
            buckets: vec![0.0; BUCKETS],
            total: 0.0,
        }
    }
}

impl Fading {
    fn seen(&mut self, key: u16) {
        self.buckets[usize::from(key) / PER_BUCKET] += 1.0;
        self.total += 1.0;
    }

    fn fade(&mut self, passed: Millis, half_life: Millis) {
        let keep = 0.5_f64.powf(passed.0 as f64 / half_life.0 as f64);
        for bucket in &mut self.buckets {
            *bucket *= keep as f32;
        }
        self.total *= keep;
    }
}

impl KeyLoad {
    /// Takes in requests for a key.
    pub fn seen(&mut self, key: u16) {
        self.short.seen(key);
        self.long.seen(key);
    }

    /// Lets what was seen fade.
    pub fn age(&mut self, now: Millis) {
        let passed = now.since(self.aged);
        if passed.0 < Window::Short.half_life().0 / 4 {
            return;
        }
        self.aged = now;
        self.short.fade(passed, Window::Short.half_life());
        self.long.fade(passed, Window::Long.half_life());
    }

    /// Returns what was seen over the last seconds, in requests.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.long.total
    }

    /// Returns the load of a range over the last seconds, as far as whole buckets show it.
    #[must_use]
    pub fn of(&self, span: KeyRange) -> f64 {
        let first = usize::from(span.first) / PER_BUCKET;
        let last = usize::from(span.last) / PER_BUCKET;
        let buckets = &self.long.buckets[first..=last];
        buckets.iter().map(|load| f64::from(*load)).sum()
    }

    /// Iterates over the load of the buckets, in the order of their keys.
    pub(crate) fn buckets(&self, window: Window) -> impl Iterator<Item = f64> {
        let fading = match window {
            Window::Short => &self.short,
            Window::Long => &self.long,
        };
        fading.buckets.iter().map(|load| f64::from(*load))
    }
}
