//! Checks that a server takes a key only with a fence above all with which other servers took it before.

use std::collections::BTreeMap;
use std::collections::HashSet;

use crate::Evidence;
use crate::HoldChange;
use crate::HoldKind;
use crate::Violation;

/// Number of keys of a service.
const KEYS: usize = 1 << 16;

pub(super) fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut by_service: BTreeMap<&str, Vec<&HoldChange>> = BTreeMap::new();
    let granted = |c: &&HoldChange| c.kind == HoldKind::Granted;
    for grant in evidence.holds.iter().filter(granted) {
        by_service.entry(&grant.service).or_default().push(grant);
    }
    by_service.into_values().flat_map(check_service).collect()
}

/// Reports each grant once, with its first key in question. A process that takes a key again with the same fence renews
/// its lease.
fn check_service(mut grants: Vec<&HoldChange>) -> Vec<Violation> {
    grants.sort_by_key(|g| g.time);
    let mut found = Vec::new();
    let mut seen = HashSet::new();
    let mut takes: Vec<Vec<&HoldChange>> = vec![Vec::new(); KEYS];
    for new in grants {
        if !seen.insert((&new.server, new.born, new.first, new.last, new.fence)) {
            continue;
        }
        let mut is_reported = false;
        for key in new.first..=new.last {
            let takes = &mut takes[usize::from(key)];
            let is_renewal = |old: &&HoldChange| {
                (&old.server, old.born, old.fence) == (&new.server, new.born, new.fence)
            };
            if takes.iter().any(is_renewal) {
                continue;
            }
            let others = takes.iter().filter(|old| old.server != new.server);
            if let Some(old) = others.max_by_key(|old| old.fence)
                && new.fence <= old.fence
                && !is_reported
            {
                is_reported = true;
                found.push(Violation::FenceBack {
                    key,
                    servers: [old.server.clone(), new.server.clone()],
                    fences: [old.fence, new.fence],
                    time: new.time,
                });
            }
            takes.push(new);
        }
    }
    found
}
