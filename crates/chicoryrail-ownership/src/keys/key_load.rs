//! Measurement of the request load by key.

use chicoryrail_core::Millis;

use crate::keys::KeyRange;

/// Number of keys in the key space. Each key is counted separately: a few dozen adjacent keys may carry a
/// third of the load of hundreds of servers, and two keys counted as one could not be split between
/// servers.
const KEY_COUNT: usize = 65_536;

/// Number of requests in the long window below which a service counts as not in use.
const ACTIVE_MIN: f64 = 1.0;

/// Smallest part of the long window by which a server's utilisation is judged: over a shorter time a few requests look
/// like a busy server.
const FILLED_FRACTION_MIN: f64 = 0.5;

/// Time window over which load is averaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadWindow {
    /// The last second or two: shows which range has just become busy.
    Short,
    /// The last few seconds: enough requests to distinguish a busy server from random variation.
    Long,
}

impl LoadWindow {
    /// Returns the time in which the weight of a request halves.
    const fn half_life(self) -> Millis {
        match self {
            Self::Short => Millis(800),
            Self::Long => Millis(3_000),
        }
    }

    /// Returns the time in which as many requests arrive at a constant rate as the decayed count holds.
    pub(crate) fn length(self) -> Millis {
        Millis((self.half_life().0 as f64 / std::f64::consts::LN_2) as u64)
    }
}

/// Request load of each key, over a short and a long window.
#[derive(Clone, Debug, Default)]
pub struct KeyLoad {
    short: DecayingCounts,
    long: DecayingCounts,
    decayed_at: Millis,
    /// When requests began to arrive.
    active_since: Millis,
    /// Mean service time of a request at a usual server; `None` while it is not known.
    service_time: Option<Millis>,
}

/// Exponentially decaying request counts by key.
#[derive(Clone, Debug)]
struct DecayingCounts {
    by_key: Vec<f32>,
    total: f64,
}

impl Default for DecayingCounts {
    fn default() -> Self {
        Self {
            by_key: vec![0.0; KEY_COUNT],
            total: 0.0,
        }
    }
}

impl DecayingCounts {
    fn record(&mut self, key: u16) {
        self.by_key[usize::from(key)] += 1.0;
        self.total += 1.0;
    }

    fn decay(&mut self, elapsed: Millis, half_life: Millis) {
        let factor = 0.5_f64.powf(elapsed.0 as f64 / half_life.0 as f64);
        for count in &mut self.by_key {
            *count *= factor as f32;
        }
        self.total *= factor;
    }
}

impl KeyLoad {
    /// Records a request for a key.
    pub fn record(&mut self, key: u16) {
        self.short.record(key);
        self.long.record(key);
    }

    /// Decays the counts up to `now`. Does nothing if less than a quarter of the short half-life has
    /// passed.
    pub fn decay(&mut self, now: Millis) {
        let elapsed = now.since(self.decayed_at);
        if elapsed.0 < LoadWindow::Short.half_life().0 / 4 {
            return;
        }
        self.decayed_at = now;
        if self.long.total < ACTIVE_MIN {
            self.active_since = now;
        }
        self.short.decay(elapsed, LoadWindow::Short.half_life());
        self.long.decay(elapsed, LoadWindow::Long.half_life());
    }

    /// Sets the mean service time of the requests at a usual server, from which follows how busy a server is.
    pub const fn set_service_time(&mut self, time: Millis) {
        self.service_time = Some(time);
    }

    /// Returns the highest utilisation of any server over the long window: 1 if its slots are always in use. A server
    /// is given by its weight, the number of usual slots, and its keys. Returns infinity while the service time is not
    /// known.
    pub(crate) fn highest_utilisation<'a>(
        &self,
        servers: impl Iterator<Item = (f64, &'a [KeyRange])>,
    ) -> f64 {
        let Some(service_time) = self.service_time else {
            return f64::INFINITY;
        };
        let window = LoadWindow::Long.length().0 as f64 * self.filled_fraction();
        let busy_slots = |requests: f64| requests * service_time.0 as f64 / window;
        let utilisations = servers.map(|(weight, ranges)| {
            let requests: f64 = ranges.iter().map(|range| self.range_load(*range)).sum();
            busy_slots(requests) / weight.max(f64::MIN_POSITIVE)
        });
        utilisations.fold(0.0, f64::max)
    }

    /// Returns the part of the long window since requests began to arrive; the counts hold no more than that.
    pub(crate) fn filled_fraction(&self) -> f64 {
        let active = self.decayed_at.since(self.active_since).0 as f64;
        let filled = 1.0 - 0.5_f64.powf(active / LoadWindow::Long.half_life().0 as f64);
        filled.max(FILLED_FRACTION_MIN)
    }

    /// Returns the total load over the long window, in requests.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.long.total
    }

    /// Returns the load of a range over the long window, in requests.
    #[must_use]
    pub fn range_load(&self, span: KeyRange) -> f64 {
        let counts = &self.long.by_key[usize::from(span.first)..=usize::from(span.last)];
        counts.iter().map(|count| f64::from(*count)).sum()
    }

    /// Iterates over the keys that keep at least `slots` usual slots in use over the short window, with that number.
    /// There are none while the service time is not known.
    pub(crate) fn busy_keys(&self, slots: f64) -> impl Iterator<Item = (u16, f64)> {
        let factor = self.slots_per_request();
        let keys = (0..=u16::MAX).zip(&self.short.by_key);
        let demands = keys.map(move |(key, count)| (key, f64::from(*count) * factor));
        demands.filter(move |(_, demand)| *demand >= slots && *demand > 0.0)
    }

    /// Returns the number of usual slots that the requests for a key keep in use over the short window. Requests that
    /// wait or are refused count as well.
    pub(crate) fn key_demand(&self, key: u16) -> f64 {
        f64::from(self.short.by_key[usize::from(key)]) * self.slots_per_request()
    }

    /// Returns the slots that each request counted in the short window keeps in use; 0 while the service time is not
    /// known.
    fn slots_per_request(&self) -> f64 {
        let service_time = self.service_time.unwrap_or(Millis::ZERO);
        service_time.0 as f64 / LoadWindow::Short.length().0 as f64
    }

    /// Iterates over the loads of all keys over `window` in key order, in requests.
    pub(crate) fn key_loads(&self, window: LoadWindow) -> impl Iterator<Item = f64> {
        let counts = match window {
            LoadWindow::Short => &self.short,
            LoadWindow::Long => &self.long,
        };
        counts.by_key.iter().map(|count| f64::from(*count))
    }
}
