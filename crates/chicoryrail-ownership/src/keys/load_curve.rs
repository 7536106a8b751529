//! The load along the key space.

use crate::keys::KeyLoad;
use crate::keys::KeyRange;
use crate::keys::Window;

/// Requests beside those that were seen, spread evenly over all keys: keys that nobody asked for lately
/// are not free, and without any knowledge a cut is even.
const EVEN: f64 = 30.0;

/// Rounds in which a key that is busier than a server can bear is cut to what one bears; the shares of the
/// others change with it, less in each round.
const ROUNDS: usize = 3;

/// Keys of an end of a range that are moved in place of the shortest run within it, as a multiple of its length: a
/// run out of the middle leaves three ranges where there was one.
const END_TIMES: u32 = 2;

/// How much more load than wished a piece may have.
pub(crate) const OVERSHOOT: f64 = 1.5;

/// Keys of the whole space.
const KEYS: u32 = 65_536;

/// The load along the key space, summed up, so that the load of any range is a difference.
#[derive(Clone, Debug)]
pub(crate) struct LoadCurve {
    /// The load left of each key.
    sums: Vec<f64>,
}

impl LoadCurve {
    /// Returns the line in which no key has more load than a server bears, and the fair load for a
    /// weight of 1.
    pub(crate) fn fair(weights: &[f64], load: &KeyLoad, window: Window) -> (Self, f64) {
        let weight: f64 = weights.iter().sum();
        let mean = weight / weights.len() as f64;
        let even = EVEN / f64::from(KEYS);
        let borne = |most: f64| {
            let keys = load.keys(window);
            keys.map(move |seen| (seen + even).min(most))
        };
        let mut most = f64::INFINITY;
        for _ in 0..ROUNDS {
            most = borne(most).sum::<f64>() / weight * mean;
        }
        let mut sum = 0.0;
        let mut sums = vec![0.0];
        sums.extend(borne(most).map(|load| {
            sum += load;
            sum
        }));
        (Self { sums }, sum / weight)
    }

    pub(crate) fn total(&self) -> f64 {
        self.sums.last().copied().unwrap_or_default()
    }

    /// Returns the load of a range.
    pub(crate) fn load(&self, span: KeyRange) -> f64 {
        self.at(u32::from(span.last) + 1) - self.at(u32::from(span.first))
    }

    /// Returns the load left of a key.
    fn at(&self, key: u32) -> f64 {
        let left = self.sums.get(key as usize);
        left.copied().unwrap_or_else(|| self.total())
    }

    /// Returns the first keys of a range that have so much load together, all where it has no more.
    pub(crate) fn start_of(&self, span: KeyRange, load: f64) -> KeyRange {
        let end = self.key_at(self.at(u32::from(span.first)) + load);
        let last = (end.max(u32::from(span.first) + 1) - 1).min(u32::from(span.last));
        KeyRange {
            first: span.first,
            last: last as u16,
        }
    }

    /// Returns the last keys of a range that have so much load together, all where it has no more.
    pub(crate) fn end_of(&self, span: KeyRange, load: f64) -> KeyRange {
        let start = self.key_at(self.at(u32::from(span.last) + 1) - load);
        let first = start.min(u32::from(span.last)).max(u32::from(span.first));
        KeyRange {
            first: first as u16,
            last: span.last,
        }
    }

    /// Returns the best pieces of a range with about so much load: the shortest run that does not have much more,
    /// the shortest of all, or an end of the range that is hardly longer; the whole range where it has less.
    pub(crate) fn pieces(&self, span: KeyRange, amount: f64) -> Vec<KeyRange> {
        let amount = amount.min(self.load(span));
        let near = self.shortest(span, amount, amount * OVERSHOOT);
        let short = self.shortest(span, amount, f64::INFINITY);
        let mut pieces: Vec<KeyRange> = [near, short].into_iter().flatten().collect();
        if pieces.is_empty() {
            pieces.push(span);
        }
        let longest = pieces[0].len() * END_TIMES;
        let ends = [self.start_of(span, amount), self.end_of(span, amount)];
        let end = ends.into_iter().min_by_key(|e| e.len());
        if let Some(end) = end.filter(|e| e.len() <= longest) {
            pieces[0] = end;
        }
        pieces
    }

    /// Returns the shortest run of keys within a range with at least `load` and at most `most`, if there is one.
    fn shortest(&self, span: KeyRange, load: f64, most: f64) -> Option<KeyRange> {
        let from = usize::from(span.first);
        let to = usize::from(span.last) + 1;
        let mut best: Option<(usize, usize)> = None;
        let mut end = from;
        for start in from..to {
            while end < to && self.sums[end] - self.sums[start] < load {
                end += 1;
            }
            let sum = self.sums[end.max(start)] - self.sums[start];
            if sum < load {
                break;
            }
            if sum <= most && best.is_none_or(|(a, b)| end - start < b - a) {
                best = Some((start, end));
            }
        }
        best.map(|(start, end)| KeyRange {
            first: start as u16,
            last: (end - 1) as u16,
        })
    }

    /// Returns the first key left of which there is at least so much load.
    fn key_at(&self, load: f64) -> u32 {
        let key = self.sums.partition_point(|s| *s < load);
        (key as u32).min(KEYS)
    }
}
