//! Whole and own answers, in time.

use crate::CallRecord;
use crate::Evidence;
use crate::HostTime;
use crate::Outcome;
use crate::Violation;

/// Time after a host's end in which a caller notices that its connection has ended.
const AFTER_STOP: u64 = 100_000;

pub(crate) fn check(seen: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for record in &seen.records {
        if let Some(reason) = &record.wrong {
            found.push(Violation::AnswerWrong {
                request: record.request.clone(),
                reason: reason.clone(),
            });
        }
        if record.hung && !seen.frozen.iter().any(|f| was_frozen(record, f)) {
            found.push(Violation::Hung {
                request: record.request.clone(),
            });
        }
        if seen.stops.iter().any(|s| is_cut(record, s)) {
            found.push(Violation::CutByStop {
                request: record.request.clone(),
            });
        }
    }
    found
}

/// Tells whether the router was paused while the request was there; a paused one can answer nobody.
fn was_frozen(record: &CallRecord, frozen: &HostTime) -> bool {
    record.host == frozen.host && record.ended >= frozen.from && record.intended <= frozen.until
}

/// Tells whether the connection of a request to the stopping host ended without an answer.
fn is_cut(record: &CallRecord, stop: &HostTime) -> bool {
    record.host == stop.host
        && record.outcome == Outcome::Unknown
        && record.status == 0
        && record.ended >= stop.from
        && record.ended <= stop.until + AFTER_STOP
}
