//! How long keys were unavailable.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::CallRecord;
use crate::LoadKind;
use crate::Outcome;

/// Fraction of the lookups that succeeded, and the periods in which keys were unavailable.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Availability {
    /// Lookups sent.
    pub lookups: u64,
    /// Fraction of the lookups that succeeded; 1 if there are none.
    pub share: f64,
    /// Number of periods in which a key was unavailable.
    pub gaps: u64,
    /// 99th percentile of the lengths of these periods, in milliseconds.
    pub unavailable_ms_p99: u64,
    /// Length of the longest period, in milliseconds.
    pub unavailable_ms_max: u64,
}

impl Availability {
    /// Summarises the lookups among the records.
    ///
    /// A key is unavailable from the start of a lookup that fails to the start of the next lookup that
    /// succeeds. The start of a lookup is its intended start, whatever delayed it.
    #[must_use]
    pub fn of<'a>(records: impl IntoIterator<Item = &'a CallRecord>) -> Self {
        let mut by_path: BTreeMap<&str, Vec<&CallRecord>> = BTreeMap::new();
        for record in records {
            if record.kind == LoadKind::Lookup {
                by_path.entry(&record.path).or_default().push(record);
            }
        }
        let mut gaps = Vec::new();
        let (mut lookups, mut succeeded) = (0, 0);
        for records in by_path.values_mut() {
            records.sort_by_key(|r| r.intended);
            lookups += records.len() as u64;
            succeeded += records
                .iter()
                .filter(|r| r.outcome == Outcome::Done)
                .count() as u64;
            gaps.extend(key_gaps(records));
        }
        gaps.sort_unstable();
        Self {
            lookups,
            share: if lookups == 0 {
                1.0
            } else {
                succeeded as f64 / lookups as f64
            },
            gaps: gaps.len() as u64,
            unavailable_ms_p99: quantile(&gaps, 0.99),
            unavailable_ms_max: gaps.last().copied().unwrap_or(0),
        }
    }
}

/// Returns the lengths of a key's unavailable periods in milliseconds; a period without a later success ends
/// with the last failed lookup.
fn key_gaps(records: &[&CallRecord]) -> Vec<u64> {
    let mut gaps = Vec::new();
    let mut gap_start: Option<u64> = None;
    let mut failure_end = 0;
    for record in records {
        if record.outcome == Outcome::Done {
            if let Some(from) = gap_start.take() {
                gaps.push(record.intended.saturating_sub(from) / 1000);
            }
        } else {
            gap_start.get_or_insert(record.intended);
            failure_end = record.ended;
        }
    }
    if let Some(from) = gap_start {
        gaps.push(failure_end.saturating_sub(from) / 1000);
    }
    gaps
}

fn quantile(sorted: &[u64], level: f64) -> u64 {
    let position = (sorted.len() as f64 * level).ceil() as usize;
    sorted.get(position.max(1) - 1).copied().unwrap_or(0)
}
