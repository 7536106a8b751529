//! Summary of a chaos run.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::Availability;
use crate::CallRecord;
use crate::LoadSummary;
use crate::Outcome;
use crate::Violation;
use crate::chaos::FaultRecord;

/// Maximum number of violations listed in the summary; `violations.json` in the run's directory has all of them.
const MAX_LISTED: usize = 10;

/// Time after the end of a fault in which requests are still attributed to it, in microseconds.
const AFTER_FAULT_US: u64 = 1_000_000;

/// The result of a chaos run, which `testkit-chaos` prints in JSON as its last line.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the run.
    pub seed: u64,
    /// Number of violations of the guarantees.
    pub violations: u64,
    /// The first violations, at most 10.
    pub found: Vec<Violation>,
    /// Error of the first process found not running at the end of the run, with its exit status and log file; empty if
    /// all are running.
    pub crashed: Vec<String>,
    /// Requests sent.
    pub requests: u64,
    /// Requests that succeeded.
    pub ok: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Requests with an indeterminate outcome: they may have run.
    pub unknown: u64,
    /// 99th percentile of the lengths of the periods in which a key was unavailable, in milliseconds.
    pub unavailable_ms_p99: u64,
    /// Length of the longest period in which a key was unavailable, in milliseconds.
    pub unavailable_ms_max: u64,
    /// Fraction of the orders that succeeded; 1 if there are none.
    pub order_share: f64,
    /// By kind of fault: the fraction that succeeded of the orders due during such a fault or up to a second after it.
    pub orders_by_fault: BTreeMap<String, f64>,
    /// Median latency of lookups in milliseconds.
    pub lookup_p50_ms: f64,
    /// 99th percentile of the latency of lookups in milliseconds.
    pub lookup_p99_ms: f64,
    /// The injected faults, in the order of their starts.
    pub faults: Vec<String>,
    /// By kind of fault: the availability for the lookups due during such a fault or up to a second after it.
    pub by_fault: BTreeMap<String, Availability>,
    /// Directory of the logs and of the violations, faults and evidence in JSON; `None` if it was deleted.
    pub kept: Option<String>,
}

impl Summary {
    /// Summarises the records of the load and the faults.
    pub(crate) fn of(records: &[CallRecord], faults: &[FaultRecord]) -> Self {
        let load = LoadSummary::of(records);
        let all = Availability::of(records);
        let start_us = records.iter().map(|r| r.intended).min().unwrap_or(0);
        Self {
            requests: load.requests,
            ok: load.ok,
            refused: load.not_run,
            unknown: load.unknown,
            unavailable_ms_p99: all.unavailable_ms_p99,
            unavailable_ms_max: all.unavailable_ms_max,
            lookup_p50_ms: load.lookup_p50_ms,
            lookup_p99_ms: load.lookup_p99_ms,
            faults: faults.iter().map(|f| format_fault(f, start_us)).collect(),
            order_share: order_share(records),
            orders_by_fault: by_fault(records, faults, order_share),
            by_fault: by_fault(records, faults, Availability::of),
            ..Self::default()
        }
    }

    /// Sets the number of violations and lists the first of them.
    #[must_use]
    pub(crate) fn with_violations(mut self, violations: &[Violation]) -> Self {
        self.violations = violations.len() as u64;
        self.found = violations.iter().take(MAX_LISTED).cloned().collect();
        self
    }

    /// Returns `true` if there was no violation and every process was running at the end.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations == 0 && self.crashed.is_empty()
    }
}

/// Formats a fault in one line: its kind and arguments, its start and end in milliseconds since `start_us`, and
/// its note.
fn format_fault(record: &FaultRecord, start_us: u64) -> String {
    let from = record.from.saturating_sub(start_us) / 1000;
    let until = record.until.saturating_sub(start_us) / 1000;
    let fields = serde_json::to_value(&record.fault).unwrap_or_default();
    let entries = fields.as_object().into_iter().flatten();
    let args: Vec<_> = entries
        .filter(|(name, _)| *name != "kind" && *name != "for_ms")
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let mut text = format!(
        "{} {} at {from}-{until}",
        record.fault.name(),
        args.join(" ")
    );
    if !record.note.is_empty() {
        text.push_str(&format!(" ({})", record.note));
    }
    text
}

/// Evaluates, for each kind of fault, the requests that were due during faults of that kind or up to
/// [`AFTER_FAULT_US`] after.
fn by_fault<'a, T>(
    records: &'a [CallRecord],
    faults: &[FaultRecord],
    evaluate: impl Fn(Vec<&'a CallRecord>) -> T,
) -> BTreeMap<String, T> {
    let mut kinds: BTreeMap<&str, Vec<&FaultRecord>> = BTreeMap::new();
    for fault in faults {
        kinds.entry(fault.fault.name()).or_default().push(fault);
    }
    let evaluate_during = |faults: &[&FaultRecord]| {
        let is_during = |r: &&CallRecord| {
            faults
                .iter()
                .any(|f| r.intended >= f.from && r.intended <= f.until + AFTER_FAULT_US)
        };
        evaluate(records.iter().filter(is_during).collect())
    };
    let by_kind = kinds.into_iter();
    by_kind
        .map(|(kind, group)| (kind.to_owned(), evaluate_during(&group)))
        .collect()
}

/// Returns the fraction of the orders that succeeded; 1 if there are none.
fn order_share<'a>(records: impl IntoIterator<Item = &'a CallRecord>) -> f64 {
    let (mut orders, mut done) = (0_u64, 0_u64);
    for record in records {
        if record.kind.runs_once() {
            orders += 1;
            done += u64::from(record.outcome == Outcome::Done);
        }
    }
    if orders == 0 {
        1.0
    } else {
        done as f64 / orders as f64
    }
}
