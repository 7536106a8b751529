//! How long keys could not be reached.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::CallRecord;
use crate::LoadKind;
use crate::Outcome;

/// Share of lookups that were answered, and the times in which keys were unavailable.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Availability {
    /// Lookups sent.
    pub lookups: u64,
    /// Share of them that were answered.
    pub share: f64,
    /// Times in which a key was unavailable.
    pub gaps: u64,
    /// Length in milliseconds that 99 in 100 of the times stay within.
    pub unavailable_ms_p99: u64,
    /// Length of the longest time in milliseconds.
    pub unavailable_ms_max: u64,
}

impl Availability {
    /// Sums up the lookups among the records.
    ///
    /// A key is unavailable from the start of a lookup that got no answer to the start of the next
    /// one that did; lookups start when they were to start, whatever came before.
    #[must_use]
    pub fn of<'a>(records: impl IntoIterator<Item = &'a CallRecord>) -> Self {
        let mut by_path: BTreeMap<&str, Vec<&CallRecord>> = BTreeMap::new();
        for record in records {
            if record.kind == LoadKind::Lookup {
                by_path.entry(&record.path).or_default().push(record);
            }
        }
        let mut gaps = Vec::new();
        let (mut lookups, mut answered) = (0, 0);
        for records in by_path.values_mut() {
            records.sort_by_key(|r| r.intended);
            lookups += records.len() as u64;
            answered += records
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
                answered as f64 / lookups as f64
            },
            gaps: gaps.len() as u64,
            unavailable_ms_p99: quantile(&gaps, 0.99),
            unavailable_ms_max: gaps.last().copied().unwrap_or(0),
        }
    }
}

/// Returns the lengths of a key's unavailable times in milliseconds; one that lasts to the end
/// counts up to the last failure's end.
fn key_gaps(records: &[&CallRecord]) -> Vec<u64> {
    let mut gaps = Vec::new();
    let mut since: Option<u64> = None;
    let mut last = 0;
    for record in records {
        if record.outcome == Outcome::Done {
            if let Some(from) = since.take() {
                gaps.push(record.intended.saturating_sub(from) / 1000);
            }
        } else {
            since.get_or_insert(record.intended);
            last = record.ended;
        }
    }
    if let Some(from) = since {
        gaps.push(last.saturating_sub(from) / 1000);
    }
    gaps
}

fn quantile(sorted: &[u64], share: f64) -> u64 {
    let at = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(at.max(1) - 1).copied().unwrap_or(0)
}
