//! Checks that each host heeds what servers asked of it in their responses.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::CallRecord;
use crate::Evidence;
use crate::Notice;
use crate::NoticeKind;
use crate::Violation;

/// Time after a response with a drain notice in which requests of the same host may still reach the server, in
/// microseconds: `drain_timeout_ms` of the boot file.
const DRAIN_TIMEOUT_US: u64 = 2_000_000;

/// Time after a server asked a host for nothing in which requests that the host had already sent may arrive, in
/// microseconds.
const TRANSIT_TIME_US: u64 = 500_000;

/// Number of requests of a host that may arrive in the rest of the time for which a server wants nothing from it.
const ARRIVALS_MAX: usize = 2;

/// One incarnation of a server and a host that sends to it.
type Pair<'a> = (&'a str, u64, SocketAddr);

pub(super) fn check(evidence: &Evidence) -> Vec<Violation> {
    let records = evidence.records.iter();
    let records: BTreeMap<&str, &CallRecord> = records.map(|r| (r.request.as_str(), r)).collect();
    let mut found = sent_after_drain(evidence, &records);
    found.extend(sent_in_backoff(evidence, &records));
    found
}

/// Finds hosts that sent requests to a server although it had asked them for nothing; reports each host and
/// incarnation of a server once.
fn sent_in_backoff(evidence: &Evidence, records: &BTreeMap<&str, &CallRecord>) -> Vec<Violation> {
    let host = |request: &str| records.get(request).map(|r| r.host);
    let mut arrivals: BTreeMap<Pair, Vec<u64>> = BTreeMap::new();
    for arrival in &evidence.arrivals {
        if let Some(host) = host(&arrival.request) {
            let pair = (arrival.server.as_str(), arrival.born, host);
            arrivals.entry(pair).or_default().push(arrival.time);
        }
    }
    let mut found: BTreeMap<Pair, Violation> = BTreeMap::new();
    for notice in &evidence.notices {
        let NoticeKind::Backoff { for_ms } = notice.kind else {
            continue;
        };
        let Some(host) = host(&notice.request) else {
            continue;
        };
        let pair = (notice.server.as_str(), notice.born, host);
        let until = notice.time + for_ms * 1_000;
        let is_within = |at: &&u64| **at > notice.time + TRANSIT_TIME_US && **at < until;
        let times = arrivals.get(&pair).map_or(&[][..], Vec::as_slice);
        let arrived = times.iter().filter(is_within).count();
        if arrived > ARRIVALS_MAX && !was_interrupted(evidence, host, notice.time, until) {
            found
                .entry(pair)
                .or_insert_with(|| Violation::SentInBackoff {
                    server: notice.server.clone(),
                    host,
                    asked_ms: for_ms,
                    arrived,
                });
        }
    }
    found.into_values().collect()
}

/// Finds requests that were sent too late after their host had passed on a response with a drain notice.
fn sent_after_drain(evidence: &Evidence, records: &BTreeMap<&str, &CallRecord>) -> Vec<Violation> {
    let notices = evidence.notices.iter();
    let drains: Vec<(Pair, &Notice, &CallRecord)> = notices
        .filter(|n| n.kind == NoticeKind::Draining)
        .filter_map(|n| {
            let record = *records.get(n.request.as_str())?;
            Some(((n.server.as_str(), n.born, record.host), n, record))
        })
        .collect();
    let mut first_passed_on: BTreeMap<Pair, u64> = BTreeMap::new();
    // A response that names its server was passed on: the refusals of a router name none.
    for (pair, _, record) in drains.iter().filter(|(_, _, r)| r.server.is_some()) {
        let first = first_passed_on.entry(*pair).or_insert(record.ended);
        *first = record.ended.min(*first);
    }
    let mut found = Vec::new();
    for (pair, notice, record) in &drains {
        let Some(heard) = first_passed_on.get(pair) else {
            continue;
        };
        if record.intended > heard + DRAIN_TIMEOUT_US
            && !was_interrupted(evidence, pair.2, *heard, notice.time)
        {
            found.push(Violation::SentAfterDrain {
                server: notice.server.clone(),
                request: notice.request.clone(),
                after_ms: (record.intended - heard) / 1_000,
            });
        }
    }
    found
}

/// Returns `true` if a host was killed, stopped or paused at any time from `from` to `until`.
fn was_interrupted(evidence: &Evidence, host: SocketAddr, from: u64, until: u64) -> bool {
    let mut periods = evidence.interruptions.iter().filter(|p| p.host == host);
    periods.any(|p| p.from <= until && p.until >= from)
}
