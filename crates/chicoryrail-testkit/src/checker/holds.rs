//! Checks that no two servers hold the same keys, with requests or without.

use std::collections::BTreeMap;

use crate::Evidence;
use crate::HoldChange;
use crate::HoldKind;
use crate::Violation;
use crate::checker::held_range::HeldRange;
use crate::checker::server_holds::ServerHolds;

/// Time for which two servers may hold a key, in microseconds.
const ALLOWED_OVERLAP_US: u64 = 500_000;

/// A change of what a server holds.
enum Event<'a> {
    Change(&'a HoldChange),
    ProcessEnd,
}

/// Keys that two servers held at the same time.
struct Overlap<'a> {
    /// The common keys and time, at the server that held them first.
    common: HeldRange<'a>,
    /// The other server.
    other: &'a str,
}

pub(super) fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut changes: BTreeMap<&str, BTreeMap<&str, Vec<&HoldChange>>> = BTreeMap::new();
    for change in &evidence.holds {
        let servers = changes.entry(&change.service).or_default();
        servers.entry(&change.server).or_default().push(change);
    }
    let services = changes.into_values();
    services
        .flat_map(|servers| check_service(evidence, &servers))
        .collect()
}

fn check_service(
    evidence: &Evidence,
    servers: &BTreeMap<&str, Vec<&HoldChange>>,
) -> Vec<Violation> {
    let mut held: Vec<_> = servers
        .iter()
        .flat_map(|(server, changes)| held_by(evidence, server, changes))
        .collect();
    held.sort_by_key(|h| h.from);
    let mut by_pair: BTreeMap<[&str; 2], Vec<Overlap<'_>>> = BTreeMap::new();
    let mut open: Vec<HeldRange<'_>> = Vec::new();
    for new in held {
        open.retain(|h| h.until > new.from);
        for earlier in open.iter().filter(|h| h.server != new.server) {
            let Some(common) = earlier.overlap(new) else {
                continue;
            };
            if common.length() > ALLOWED_OVERLAP_US {
                let mut pair = [earlier.server, new.server];
                pair.sort_unstable();
                let other = new.server;
                by_pair
                    .entry(pair)
                    .or_default()
                    .push(Overlap { common, other });
            }
        }
        open.push(new);
    }
    let by_pair = by_pair.into_values();
    by_pair
        .flat_map(|overlaps| join_overlaps(servers, &overlaps))
        .collect()
}

/// Returns what a server held, up to the time until which the ledgers are complete.
fn held_by<'a>(
    evidence: &'a Evidence,
    server: &'a str,
    changes: &[&'a HoldChange],
) -> Vec<HeldRange<'a>> {
    let starts = evidence.starts.iter().filter(|s| s.server == server);
    let ended = evidence.ended.iter().filter(|e| e.server == server);
    let mut events: Vec<_> = starts
        .map(|s| (s.time, Event::ProcessEnd))
        .chain(changes.iter().map(|c| (c.time, Event::Change(c))))
        .chain(ended.map(|e| (e.time, Event::ProcessEnd)))
        .collect();
    // Events of the same time keep this order: a process takes no grant before its start or after its end.
    events.sort_by_key(|(time, _)| *time);
    let mut holds = ServerHolds::new(server);
    for (time, event) in events {
        match event {
            Event::Change(change) => holds.apply(change),
            Event::ProcessEnd => holds.end_process(time),
        }
    }
    let complete_until = evidence.complete_until.unwrap_or(u64::MAX);
    let held = holds.finish().into_iter().map(|h| HeldRange {
        until: h.until.min(complete_until),
        ..h
    });
    held.filter(|h| h.from < h.until).collect()
}

/// Reports the overlaps of two servers, ordered by their starts, one for each contiguous time.
fn join_overlaps(
    servers: &BTreeMap<&str, Vec<&HoldChange>>,
    overlaps: &[Overlap<'_>],
) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut rest = overlaps;
    while let Some(start) = rest.first() {
        let mut until = start.common.until;
        let joined = rest
            .iter()
            .take_while(|o| {
                let is_joined = o.common.from <= until;
                until = until.max(o.common.until);
                is_joined
            })
            .count();
        let (group, others) = rest.split_at(joined);
        rest = others;
        let HeldRange {
            server,
            first,
            from,
            ..
        } = start.common;
        let fence = |name: &str| fence_at(&servers[name], first, from);
        found.push(Violation::HeldTwice {
            keys: join_ranges(group),
            servers: [server.to_owned(), start.other.to_owned()],
            fences: [fence(server), fence(start.other)],
            time: from,
            overlap_ms: group.iter().map(|o| o.common.length()).max().unwrap_or(0) / 1000,
        });
    }
    found
}

/// Returns the fencing token under which a server held a key at a time.
fn fence_at(changes: &[&HoldChange], key: u16, time: u64) -> u64 {
    let grants = changes.iter().filter(|c| {
        c.kind == HoldKind::Granted && c.time <= time && (c.first..=c.last).contains(&key)
    });
    grants.max_by_key(|c| c.time).map_or(0, |c| c.fence)
}

fn join_ranges(overlaps: &[Overlap<'_>]) -> Vec<[u16; 2]> {
    let mut ranges: Vec<_> = overlaps
        .iter()
        .map(|o| [o.common.first, o.common.last])
        .collect();
    ranges.sort_unstable();
    let mut joined: Vec<[u16; 2]> = Vec::new();
    for [first, last] in ranges {
        match joined.last_mut() {
            Some(range) if u32::from(first) <= u32::from(range[1]) + 1 => {
                range[1] = range[1].max(last);
            }
            _ => joined.push([first, last]),
        }
    }
    joined
}
