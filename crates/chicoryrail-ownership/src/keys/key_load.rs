//! How busy each key is.

use chicoryrail_core::Millis;

use crate::keys::KeyRange;

/// Keys of the whole space. Each is counted by itself: a few dozen side by side may carry a third of the load of
/// hundreds of servers, and two that counted as one would have to share a server.
const KEYS: usize = 65_536;

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

/// Requests by key, fading.
#[derive(Clone, Debug)]
struct Fading {
    keys: Vec<f32>,
    total: f64,
}

impl Default for Fading {
    fn default() -> Self {
        Self {
            keys: vec![0.0; KEYS],
            total: 0.0,
        }
    }
}

impl Fading {
    fn seen(&mut self, key: u16) {
        self.keys[usize::from(key)] += 1.0;
        self.total += 1.0;
    }

    fn fade(&mut self, passed: Millis, half_life: Millis) {
        let keep = 0.5_f64.powf(passed.0 as f64 / half_life.0 as f64);
        for load in &mut self.keys {
            *load *= keep as f32;
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

    /// Returns the load of a range over the last seconds.
    #[must_use]
    pub fn of(&self, span: KeyRange) -> f64 {
        let keys = &self.long.keys[usize::from(span.first)..=usize::from(span.last)];
        keys.iter().map(|load| f64::from(*load)).sum()
    }

    /// Iterates over the load of the keys, in their order.
    pub(crate) fn keys(&self, window: Window) -> impl Iterator<Item = f64> {
        let fading = match window {
            Window::Short => &self.short,
            Window::Long => &self.long,
        };
        fading.keys.iter().map(|load| f64::from(*load))
    }
}
