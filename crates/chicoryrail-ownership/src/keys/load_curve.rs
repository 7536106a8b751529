//! Cumulative load over the key space.

use crate::keys::KeyLoad;
use crate::keys::KeyRange;
use crate::keys::LoadWindow;

/// Requests added to the observed ones, spread evenly over all keys. Keys without recent requests still
/// have a cost, and without observed load the key space is split evenly.
const BASELINE_REQUESTS: f64 = 30.0;

/// Iterations of capping the load of a key at one server's fair share. Each lowers the total load and therefore
/// the share, by less each time.
const CAP_ITERATIONS: usize = 3;

/// Maximum length of a piece at either end of a range, as a multiple of the best piece found anywhere in the
/// range, for the end to be preferred: a piece from the middle splits one range into three.
const END_LENGTH_FACTOR: u32 = 2;

/// Maximum load of a preferred piece, relative to the requested load.
pub(crate) const OVERSHOOT_FACTOR: f64 = 1.5;

/// Number of keys in the key space.
const KEY_COUNT: u32 = 65_536;

/// Cumulative load over the key space: the load of a range is the difference of two entries.
#[derive(Clone, Debug)]
pub(crate) struct LoadCurve {
    /// Load of all keys before each key, in requests.
    sums: Vec<f64>,
}

impl LoadCurve {
    /// Builds the curve with the load of each key capped at the fair share of an average server, and
    /// returns it with the fair load for a weight of 1. The keys in `excluded` count as without load.
    pub(crate) fn with_fair_load(
        weights: &[f64],
        load: &KeyLoad,
        window: LoadWindow,
        excluded: &[u16],
    ) -> (Self, f64) {
        let total_weight: f64 = weights.iter().sum();
        let mean_weight = total_weight / weights.len() as f64;
        let baseline = BASELINE_REQUESTS / f64::from(KEY_COUNT);
        let capped = |cap: f64| {
            let loads = (0..=u16::MAX).zip(load.key_loads(window));
            loads.map(move |(key, observed)| {
                if excluded.contains(&key) {
                    return 0.0;
                }
                (observed + baseline).min(cap)
            })
        };
        let mut cap = f64::INFINITY;
        for _ in 0..CAP_ITERATIONS {
            cap = capped(cap).sum::<f64>() / total_weight * mean_weight;
        }
        let mut sum = 0.0;
        let mut sums = vec![0.0];
        sums.extend(capped(cap).map(|load| {
            sum += load;
            sum
        }));
        (Self { sums }, sum / total_weight)
    }

    /// Returns the load of all keys, in requests.
    pub(crate) fn total(&self) -> f64 {
        self.sums.last().copied().unwrap_or_default()
    }

    /// Returns the load of a range, in requests.
    pub(crate) fn load(&self, span: KeyRange) -> f64 {
        self.load_before(u32::from(span.last) + 1) - self.load_before(u32::from(span.first))
    }

    /// Returns the load of all keys before `key`.
    fn load_before(&self, key: u32) -> f64 {
        let sum = self.sums.get(key as usize);
        sum.copied().unwrap_or_else(|| self.total())
    }

    /// Returns the start of a range with about `load`, at least one key; the whole range if it has no more load.
    pub(crate) fn prefix_with_load(&self, span: KeyRange, load: f64) -> KeyRange {
        let end = self.key_at_load(self.load_before(u32::from(span.first)) + load);
        let last = (end.max(u32::from(span.first) + 1) - 1).min(u32::from(span.last));
        KeyRange {
            first: span.first,
            last: last as u16,
        }
    }

    /// Returns the end of a range with about `load`, at least one key; the whole range if it has no more load.
    pub(crate) fn suffix_with_load(&self, span: KeyRange, load: f64) -> KeyRange {
        let start = self.key_at_load(self.load_before(u32::from(span.last) + 1) - load);
        let first = start.min(u32::from(span.last)).max(u32::from(span.first));
        KeyRange {
            first: first as u16,
            last: span.last,
        }
    }

    /// Returns the best pieces of a range with a load of about `amount`: the shortest run of keys with at most
    /// `OVERSHOOT_FACTOR` times as much, and the shortest run of all. A piece at an end of the range replaces the
    /// first of them if it is not much longer. Returns the whole range if no run has enough load.
    pub(crate) fn pieces(&self, span: KeyRange, amount: f64) -> Vec<KeyRange> {
        let amount = amount.min(self.load(span));
        let bounded = self.shortest_run(span, amount, amount * OVERSHOOT_FACTOR);
        let shortest = self.shortest_run(span, amount, f64::INFINITY);
        let mut pieces: Vec<KeyRange> = [bounded, shortest].into_iter().flatten().collect();
        if pieces.is_empty() {
            pieces.push(span);
        }
        let longest = pieces[0].len() * END_LENGTH_FACTOR;
        let ends = [
            self.prefix_with_load(span, amount),
            self.suffix_with_load(span, amount),
        ];
        let end = ends.into_iter().min_by_key(|e| e.len());
        if let Some(end) = end.filter(|e| e.len() <= longest) {
            pieces[0] = end;
        }
        pieces
    }

    /// Returns the shortest run of keys within a range with a load from `min_load` to `max_load`, if any.
    fn shortest_run(&self, span: KeyRange, min_load: f64, max_load: f64) -> Option<KeyRange> {
        let from = usize::from(span.first);
        let to = usize::from(span.last) + 1;
        let mut best: Option<(usize, usize)> = None;
        let mut end = from;
        for start in from..to {
            while end < to && self.sums[end] - self.sums[start] < min_load {
                end += 1;
            }
            let sum = self.sums[end.max(start)] - self.sums[start];
            if sum < min_load {
                break;
            }
            if sum <= max_load && best.is_none_or(|(a, b)| end - start < b - a) {
                best = Some((start, end));
            }
        }
        best.map(|(start, end)| KeyRange {
            first: start as u16,
            last: (end - 1) as u16,
        })
    }

    /// Returns the first key before which the keys have at least `load`, or the number of keys if there is none.
    fn key_at_load(&self, load: f64) -> u32 {
        let key = self.sums.partition_point(|s| *s < load);
        (key as u32).min(KEY_COUNT)
    }
}
