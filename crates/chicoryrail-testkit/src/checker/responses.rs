//! Checks that callers get complete responses to their own requests, in time.

use crate::CallRecord;
use crate::Evidence;
use crate::HostTime;
use crate::Outcome;
use crate::Violation;

/// Time after a router's exit within which a caller detects that its connection was closed, in microseconds.
const CLOSE_DETECTION_US: u64 = 100_000;

pub(crate) fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for record in &evidence.records {
        if let Some(reason) = &record.wrong {
            found.push(Violation::AnswerWrong {
                request: record.request.clone(),
                reason: reason.clone(),
            });
        }
        if record.hung && !evidence.frozen.iter().any(|f| was_paused(record, f)) {
            found.push(Violation::Hung {
                request: record.request.clone(),
            });
        }
        if evidence.stops.iter().any(|s| is_cut_by(record, s)) {
            found.push(Violation::CutByStop {
                request: record.request.clone(),
            });
        }
    }
    found
}

/// Returns `true` if the router was paused while the request was pending; a paused router cannot respond.
fn was_paused(record: &CallRecord, pause: &HostTime) -> bool {
    record.host == pause.host && record.ended >= pause.from && record.intended <= pause.until
}

/// Returns `true` if a request to the stopping host ended without a response during the stop or just after.
fn is_cut_by(record: &CallRecord, stop: &HostTime) -> bool {
    record.host == stop.host
        && record.outcome == Outcome::Unknown
        && record.status == 0
        && record.ended >= stop.from
        && record.ended <= stop.until + CLOSE_DETECTION_US
}
