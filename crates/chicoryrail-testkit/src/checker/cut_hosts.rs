//! Checks that callers of hosts that lost their paths to the servers are served like those of other hosts.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::CallRecord;
use crate::Evidence;
use crate::HostTime;
use crate::Outcome;
use crate::Violation;

/// Time after the start of a cut from which requests are compared, in microseconds.
const SETTLE_TIME_US: u64 = 3_000_000;

/// Number of failed requests at a host that is always allowed.
const FAILED_MAX: usize = 10;

/// One in this many of all requests may fail at the host as well.
const FAILED_DIVISOR: usize = 50;

pub(super) fn check(evidence: &Evidence) -> Vec<Violation> {
    let cuts = evidence.cuts.iter();
    cuts.filter_map(|cut| starved(evidence, cut)).collect()
}

/// Returns a violation if the host of a cut served less than two thirds as often as the hosts without a cut meanwhile.
fn starved(evidence: &Evidence, cut: &HostTime) -> Option<Violation> {
    let (from, until) = (cut.from + SETTLE_TIME_US, cut.until);
    let overlaps = |c: &&HostTime| c.from < until && c.until > from;
    let cut_hosts = evidence.cuts.iter().filter(overlaps).map(|c| c.host);
    let cut_hosts: BTreeSet<SocketAddr> = cut_hosts.collect();
    let is_compared = |r: &&CallRecord| r.intended >= from && r.ended <= until;
    let compared = || evidence.records.iter().filter(is_compared);
    let own = count(compared().filter(|r| r.host == cut.host));
    let others = count(compared().filter(|r| !cut_hosts.contains(&r.host)));
    let (failed, all) = (own[1] - own[0], own[1] + others[1]);
    let is_starved = own[0] * others[1] * 3 < others[0] * own[1] * 2;
    let is_allowed = failed <= FAILED_MAX + all / FAILED_DIVISOR;
    (is_starved && !is_allowed).then_some(Violation::CutHostStarved {
        host: cut.host,
        served: own,
        others,
    })
}

/// Returns the numbers of served and of all requests.
fn count<'a>(records: impl Iterator<Item = &'a CallRecord>) -> [usize; 2] {
    let mut counts = [0; 2];
    for record in records {
        counts[0] += usize::from(record.outcome == Outcome::Done);
        counts[1] += 1;
    }
    counts
}
