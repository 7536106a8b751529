//! Finds how long a host should wait for the response to a request of one route.

use chicoryrail_core::Millis;

/// Quantile of the response times above which a request counts as unanswered. One response in a thousand takes longer.
const UNANSWERED_QUANTILE: f64 = 0.999;

/// Smallest number of observations from which the quantile is taken. With fewer it would be the slowest of a handful.
const OBSERVATIONS_MIN: u32 = 200;

/// Number of observations after which a new window begins. The last full window is kept, so that the quantile follows
/// the servers' speed and still rests on the slowest four responses or more.
const WINDOW_OBSERVATIONS: u32 = 4_096;

/// Multiple of the latency target below which no request counts as unanswered.
const LATENCY_TARGET_FACTOR: u64 = 2;

/// Buckets for each doubling of the response time: a bucket's bounds differ by 6 %.
const BUCKETS_PER_OCTAVE: u64 = 16;

/// Number of buckets. Longer times, from 262 s, count in the last one.
const BUCKETS: usize = 240;

/// Response times of one route as one host observes them, within 1 KB.
#[derive(Clone, Debug, Default)]
pub struct ResponseTimes {
    current: Window,
    last: Window,
}

/// Number of responses by response time.
#[derive(Clone, Debug)]
struct Window {
    counts: [u16; BUCKETS],
    observations: u32,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            observations: 0,
        }
    }
}

impl ResponseTimes {
    /// Records the time of a complete response, in microseconds.
    pub fn record(&mut self, elapsed_us: f64) {
        if self.current.observations >= WINDOW_OBSERVATIONS {
            self.last = std::mem::take(&mut self.current);
        }
        self.current.counts[bucket((elapsed_us / 1_000.0) as u64)] += 1;
        self.current.observations += 1;
    }

    /// Returns the time without a response after which a request counts as unanswered: the 99.9th percentile of the
    /// response times, at least twice the latency target. Returns `None` with fewer than 200 observations.
    #[must_use]
    pub fn unanswered_after(&self, latency_target: Millis) -> Option<Millis> {
        let observations = self.current.observations + self.last.observations;
        if observations < OBSERVATIONS_MIN {
            return None;
        }
        let rank = (f64::from(observations) * UNANSWERED_QUANTILE).ceil() as u32;
        let mut faster = 0;
        let counts = self.current.counts.iter().zip(&self.last.counts);
        let at = counts.map(|(a, b)| u32::from(*a) + u32::from(*b));
        let at = at.take_while(|count| {
            faster += count;
            faster < rank
        });
        let quantile = upper_bound(at.count() as u64);
        Some(quantile.max(latency_target.saturating_mul(LATENCY_TARGET_FACTOR)))
    }
}

/// Returns the bucket of a time in milliseconds. Up to 15 ms each millisecond has its own.
fn bucket(ms: u64) -> usize {
    if ms < BUCKETS_PER_OCTAVE {
        return ms as usize;
    }
    let octave = u64::from(ms.ilog2()) - 4;
    let at = BUCKETS_PER_OCTAVE * octave + (ms >> octave);
    (at as usize).min(BUCKETS - 1)
}

/// Returns the time at which a bucket ends.
const fn upper_bound(bucket: u64) -> Millis {
    if bucket < BUCKETS_PER_OCTAVE {
        return Millis(bucket + 1);
    }
    let octave = bucket / BUCKETS_PER_OCTAVE - 1;
    Millis((bucket % BUCKETS_PER_OCTAVE + BUCKETS_PER_OCTAVE + 1) << octave)
}
