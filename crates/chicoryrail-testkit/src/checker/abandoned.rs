//! Checks that a host waits for a server that is running a request and will respond in time.

use std::collections::BTreeMap;

use crate::CallRecord;
use crate::Evidence;
use crate::Outcome;
use crate::Violation;

/// Time that a response may take from the server to its caller, in microseconds.
const RESPONSE_TRANSIT_US: u64 = 100_000;

/// Time from SIGTERM in which a host must wait for servers, in microseconds: five sixths of `grace_period_s` of the boot
/// file.
const WAIT_WHILE_STOPPING_US: u64 = 5_000_000;

/// A run that was abandoned before its end; times in microseconds since 1970.
struct AbandonedRun<'a> {
    request: &'a str,
    server: &'a str,
    start: u64,
    /// Time at which the run ended or would have ended.
    end: u64,
    /// Time at which the host abandoned it.
    time: u64,
}

pub(super) fn check(evidence: &Evidence) -> Vec<Violation> {
    let failed = evidence.records.iter().filter(|r| is_host_error(r));
    let failed: BTreeMap<&str, &CallRecord> = failed.map(|r| (r.request.as_str(), r)).collect();
    let mut found: BTreeMap<&str, Violation> = BTreeMap::new();
    for run in abandoned_runs(evidence, &failed) {
        let Some(record) = failed.get(run.request) else {
            continue;
        };
        if run.end + RESPONSE_TRANSIT_US <= record.deadline && !is_allowed(evidence, record, &run) {
            found.entry(run.request).or_insert(Violation::Abandoned {
                request: run.request.to_owned(),
                server: run.server.to_owned(),
                ran_ms: run.time.saturating_sub(run.start) / 1_000,
                left_ms: record.deadline.saturating_sub(run.time) / 1_000,
            });
        }
    }
    found.into_values().collect()
}

/// Returns `true` if the request failed and no server sent the response, if there was one.
fn is_host_error(record: &CallRecord) -> bool {
    record.outcome != Outcome::Done && record.server.is_none() && !record.hung
}

/// Returns the cancelled runs, and those that ended after their callers had got an error.
fn abandoned_runs<'a>(
    evidence: &'a Evidence,
    failed: &BTreeMap<&str, &CallRecord>,
) -> Vec<AbandonedRun<'a>> {
    let cancelled = evidence.cancelled_runs.iter().map(|r| AbandonedRun {
        request: &r.request,
        server: &r.server,
        start: r.start,
        end: r.due,
        time: r.time,
    });
    let ran = evidence.runs.iter().filter_map(|r| {
        let ended = failed.get(r.request.as_str())?.ended;
        (r.start..r.end).contains(&ended).then_some(AbandonedRun {
            request: &r.request,
            server: &r.server,
            start: r.start,
            end: r.end,
            time: ended,
        })
    });
    cancelled.chain(ran).collect()
}

/// Returns `true` if something else than the host may have broken the connection, or if the host was near the end of its
/// grace period.
fn is_allowed(evidence: &Evidence, record: &CallRecord, run: &AbandonedRun) -> bool {
    let mut severed = evidence.severed.iter();
    let mut terminations = evidence.terminations.iter();
    severed.any(|p| p.from <= run.time && p.until >= run.start)
        || terminations.any(|t| {
            t.host == record.host && (t.from + WAIT_WHILE_STOPPING_US..=t.until).contains(&run.time)
        })
}
