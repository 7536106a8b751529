//! What the callers of one run saw.

use chicoryrail_core::Class;

/// What the callers of one run saw, with the cost to the targets.
#[derive(Clone, Debug, Default)]
pub struct Score {
    /// Median latency of lookups in milliseconds; one that came too late counts as its deadline.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
    /// The 99th percentile of the lookups of all keys but the most wanted one.
    pub others_p99_ms: f64,
    /// Part of the requests of those keys that was refused.
    pub others_refused: f64,
    /// Requests answered in time, a second.
    pub goodput: f64,
    /// Batch requests answered in time, a second.
    pub batch_goodput: f64,
    /// Requests that came from callers.
    pub offered: u64,
    /// Part of the requests that were refused.
    pub refused: f64,
    /// Part of the requests that failed: neither answered, refused nor late.
    pub failed: f64,
    /// Median time to a refusal in milliseconds.
    pub refused_ms: f64,
    /// Part of the requests that were sent to a second target while a first one had them.
    pub extra: f64,
    /// Most requests in flight at a cold target over the one that it bears.
    pub cold_over: f64,
    /// The same, from the first sign that a gate could see.
    pub cold_over_known: f64,
    /// Requests sent to targets for each request that was sent, while targets failed.
    pub amplification: f64,
    /// Orders that ran more than once.
    pub doubled: u64,
}

/// Collects what becomes of the requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    latency: Vec<u64>,
    others: Vec<u64>,
    others_refused: u64,
    pub(crate) others_offered: u64,
    refusals: Vec<u64>,
    good: u64,
    good_batch: u64,
    pub(crate) offered: u64,
    pub(crate) failed: u64,
    pub(crate) hedged: u64,
    pub(crate) fail_first: u64,
    pub(crate) fail_sent: u64,
    pub(crate) doubled: u64,
}

impl Tally {
    /// `counts` is false for an answer after the last arrival: working off a queue then is no rate.
    pub(crate) fn answered(&mut self, class: Class, hot: bool, us: u64, counts: bool) {
        self.late(class, hot, us);
        self.good += u64::from(counts);
        self.good_batch += u64::from(counts && class == Class::Batch);
    }

    pub(crate) fn late(&mut self, class: Class, hot: bool, us: u64) {
        if class == Class::Interactive {
            self.latency.push(us);
            if !hot {
                self.others.push(us);
            }
        }
    }

    pub(crate) fn refused(&mut self, hot: bool, us: u64) {
        self.others_refused += u64::from(!hot);
        self.refusals.push(us);
    }

    pub(crate) fn score(mut self, length_us: u64, over: u32, over_known: u32) -> Score {
        self.latency.sort_unstable();
        self.others.sort_unstable();
        self.refusals.sort_unstable();
        let seconds = length_us as f64 / 1e6;
        let part = |n: u64, of: u64| n as f64 / of.max(1) as f64;
        Score {
            p50_ms: quantile(&self.latency, 0.5),
            p99_ms: quantile(&self.latency, 0.99),
            p999_ms: quantile(&self.latency, 0.999),
            others_p99_ms: quantile(&self.others, 0.99),
            others_refused: part(self.others_refused, self.others_offered),
            goodput: self.good as f64 / seconds,
            batch_goodput: self.good_batch as f64 / seconds,
            offered: self.offered,
            refused: part(self.refusals.len() as u64, self.offered),
            failed: part(self.failed, self.offered),
            refused_ms: quantile(&self.refusals, 0.5),
            extra: part(self.hedged, self.offered),
            cold_over: f64::from(over),
            cold_over_known: f64::from(over_known),
            amplification: part(self.fail_sent, self.fail_first),
            doubled: self.doubled,
        }
    }
}

fn quantile(sorted: &[u64], q: f64) -> f64 {
    let i = (sorted.len() as f64 * q) as usize;
    let us = sorted.get(i.min(sorted.len().saturating_sub(1)));
    us.copied().unwrap_or(0) as f64 / 1_000.0
}
