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

/// One incarnation of a server and a host that sends to it.
type Pair<'a> = (&'a str, u64, SocketAddr);

pub(super) fn check(evidence: &Evidence) -> Vec<Violation> {
    let records = evidence.records.iter();
    let records: BTreeMap<&str, &CallRecord> = records.map(|r| (r.request.as_str(), r)).collect();
    sent_after_drain(evidence, &records)
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
