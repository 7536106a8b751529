//! Merging of several logs.

use std::cmp::Ordering;

use crate::Filter;
use crate::LogLine;

/// Merges the logs of several processes and returns the lines that match the filter, sorted by time.
#[must_use]
pub fn merge<'a>(texts: impl IntoIterator<Item = &'a str>, filter: &Filter) -> Vec<LogLine> {
    let lines = texts.into_iter().flat_map(str::lines);
    let lines = lines.filter_map(LogLine::parse);
    let mut lines: Vec<_> = lines.filter(|l| filter.matches(l)).collect();
    lines.sort_by(|a, b| a.time.partial_cmp(&b.time).unwrap_or(Ordering::Equal));
    lines
}
