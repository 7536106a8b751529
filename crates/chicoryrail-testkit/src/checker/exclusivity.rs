//! Checks that a key has one owner at a time, and that its fence grows with each change of the owner.

use std::collections::BTreeMap;

use crate::Evidence;
use crate::Run;
use crate::Violation;

pub(super) fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut by_key: BTreeMap<(&str, u16), Vec<&Run>> = BTreeMap::new();
    for run in &evidence.runs {
        if let Some(key) = run.key {
            by_key.entry((&run.service, key)).or_default().push(run);
        }
    }
    by_key.into_iter().flat_map(check_key).collect()
}

fn check_key(((_, key), mut runs): ((&str, u16), Vec<&Run>)) -> Vec<Violation> {
    runs.sort_by_key(|r| (r.start, r.end));
    let mut found = Vec::new();
    for (i, run) in runs.iter().enumerate() {
        let Some(previous) = runs[..i].iter().rev().find(|r| r.server != run.server) else {
            continue;
        };
        let overlaps = |r: &&&Run| r.server != run.server && r.end > run.start;
        if let Some(other) = runs[..i].iter().find(overlaps) {
            found.push(Violation::OwnersOverlap {
                key,
                servers: [other.server.clone(), run.server.clone()],
                time: run.start,
            });
        }
        // Only the first run after a change of the owner is compared.
        if runs[i - 1].server == previous.server
            && let (Some(old), Some(new)) = (previous.fence, run.fence)
            && new <= old
        {
            found.push(Violation::FenceBack {
                key,
                servers: [previous.server.clone(), run.server.clone()],
                fences: [old, new],
                time: run.start,
            });
        }
    }
    found
}
