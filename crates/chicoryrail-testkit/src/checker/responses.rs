//! Checks that callers get complete responses to their own requests, in time.

use crate::CallRecord;
use crate::Evidence;
use crate::HostTime;
use crate::Outcome;
use crate::Violation;

/// Time after a router's exit within which a caller detects that its connection was closed, in microseconds.
const CLOSE_DETECTION_US: u64 = 100_000;

/// The same for a request that was sent before the exit, if its caller is late because the machine is busy.
const LATE_DETECTION_US: u64 = 1_000_000;

/// Time from SIGTERM until a host closes its callers' idle connections, in microseconds. The load balancer has removed the
/// host by then.
const IDLE_CLOSE_US: u64 = 2_500_000;

/// Longest time from sending a request that crosses the close of its connection until its caller detects that, in
/// microseconds: `loss_slack_ms` of the platform.
const CROSSING_US: u64 = 200_000;

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
        let mut stops = evidence.stops.iter();
        if stops.any(|s| is_cut_by(record, s) && !crosses_close(evidence, record, s)) {
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

/// Returns `true` if a request to the stopping host ended without a complete response during the stop or just after.
fn is_cut_by(record: &CallRecord, stop: &HostTime) -> bool {
    let detection_us = if sent(record) < stop.until {
        LATE_DETECTION_US
    } else {
        CLOSE_DETECTION_US
    };
    record.host == stop.host
        && record.outcome == Outcome::Unknown
        && (record.status == 0 || is_truncated(record))
        && record.ended >= stop.from
        && record.ended <= stop.until + detection_us
}

/// Returns the time at which the last attempt was due to be sent.
fn sent(record: &CallRecord) -> u64 {
    record.returned.unwrap_or(record.intended)
}

/// Returns `true` if the body of a successful response ended early, before the caller's deadline.
fn is_truncated(record: &CallRecord) -> bool {
    (200..300).contains(&record.status) && record.ended < record.deadline
}

/// Returns `true` if a request was sent on a connection that its host was closing, and no server ran it. In HTTP/1.1 a host
/// can't close an idle connection without this risk.
fn crosses_close(evidence: &Evidence, record: &CallRecord, stop: &HostTime) -> bool {
    let has_run = evidence.runs.iter().any(|r| r.request == record.request)
        || evidence
            .cancelled_runs
            .iter()
            .any(|r| r.request == record.request);
    let sent = sent(record);
    !has_run
        && record.status == 0
        && sent >= stop.from + IDLE_CLOSE_US
        && record.ended <= sent + CROSSING_US
}
