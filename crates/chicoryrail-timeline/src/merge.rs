//! Lines of several processes in one order.

use std::cmp::Ordering;

use crate::Filter;
use crate::LogLine;

/// Merges the lines of several processes into one order of time and leaves those that the filter takes.
#[must_use]
pub fn merge<'a>(texts: impl IntoIterator<Item = &'a str>, filter: &Filter) -> Vec<LogLine> {
    let lines = texts.into_iter().flat_map(str::lines);
    let lines = lines.filter_map(LogLine::parse);
    let mut lines: Vec<_> = lines.filter(|l| filter.takes(l)).collect();
    lines.sort_by(|a, b| a.time.partial_cmp(&b.time).unwrap_or(Ordering::Equal));
    lines
}
