//! Summary of a run of load.

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::CallRecord;
use crate::LoadKind;
use crate::Outcome;

/// Highest latency that the histograms record, in microseconds; higher ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Counts and latencies of a run.
///
/// Latencies are in milliseconds, from the intended start of a request to its end. They cover lookups and orders
/// that succeeded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Requests sent.
    pub requests: u64,
    /// Requests that succeeded.
    pub ok: u64,
    /// Requests refused before they ran.
    pub not_run: u64,
    /// Requests with an indeterminate outcome: they may have run.
    pub unknown: u64,
    /// Responses that were incomplete or belonged to another request.
    pub wrong: u64,
    /// Requests without a response a second after their deadline.
    pub hung: u64,
    /// Orders sent.
    pub orders_sent: u64,
    /// Median latency.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency.
    pub p999_ms: f64,
    /// Median latency of lookups.
    pub lookup_p50_ms: f64,
    /// 99th percentile of the latency of lookups.
    pub lookup_p99_ms: f64,
    /// Median latency of orders.
    pub order_p50_ms: f64,
    /// 99th percentile of the latency of orders.
    pub order_p99_ms: f64,
    /// Successful requests per second.
    pub rate: f64,
}

impl LoadSummary {
    /// Summarises the records.
    #[must_use]
    pub fn of(records: &[CallRecord]) -> Self {
        let count =
            |f: &dyn Fn(&CallRecord) -> bool| records.iter().filter(|r| f(r)).count() as u64;
        let latencies_of = |kinds: &[LoadKind]| latencies(records, kinds);
        let all = latencies_of(&[LoadKind::Lookup, LoadKind::Order, LoadKind::Upload]);
        let lookups = latencies_of(&[LoadKind::Lookup]);
        let orders = latencies_of(&[LoadKind::Order, LoadKind::Upload]);
        let first = records.iter().map(|r| r.intended).min().unwrap_or(0);
        let last = records.iter().map(|r| r.ended).max().unwrap_or(0);
        let seconds = last.saturating_sub(first).max(1) as f64 / 1e6;
        let ok = count(&|r| r.outcome == Outcome::Done);
        Self {
            requests: records.len() as u64,
            ok,
            not_run: count(&|r| r.outcome == Outcome::NotRun),
            unknown: count(&|r| r.outcome == Outcome::Unknown),
            wrong: count(&|r| r.wrong.is_some()),
            hung: count(&|r| r.hung),
            orders_sent: count(&|r| r.kind.runs_once()),
            p50_ms: quantile_ms(&all, 0.5),
            p99_ms: quantile_ms(&all, 0.99),
            p999_ms: quantile_ms(&all, 0.999),
            lookup_p50_ms: quantile_ms(&lookups, 0.5),
            lookup_p99_ms: quantile_ms(&lookups, 0.99),
            order_p50_ms: quantile_ms(&orders, 0.5),
            order_p99_ms: quantile_ms(&orders, 0.99),
            rate: ok as f64 / seconds,
        }
    }
}

fn latencies(records: &[CallRecord], kinds: &[LoadKind]) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
        .expect("constant bounds of a histogram are valid");
    for r in records {
        if r.outcome == Outcome::Done && kinds.contains(&r.kind) {
            histogram.saturating_record(r.ended.saturating_sub(r.intended));
        }
    }
    histogram
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
