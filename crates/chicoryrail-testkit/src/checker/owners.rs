//! One owner at a time.

use std::collections::BTreeMap;

use crate::Checker;
use crate::Evidence;
use crate::Pause;
use crate::Run;
use crate::Violation;

/// Time after a pause in which an unfenced server may still run what it had received before.
const AFTER_PAUSE: u64 = 1_000_000;

pub(crate) fn check(checker: &Checker, seen: &Evidence) -> Vec<Violation> {
    let mut by_key: BTreeMap<(&str, &str), Vec<&Run>> = BTreeMap::new();
    for run in &seen.runs {
        let Some(facts) = checker.servers.get(&run.server).filter(|f| f.keyed) else {
            continue;
        };
        // No router can call back what a server that checks nothing has received before it was
        // paused; such a server runs it when it goes on.
        if !facts.fenced && seen.pauses.iter().any(|p| touches(p, run)) {
            continue;
        }
        let key = (facts.service.as_str(), run.key.as_str());
        by_key.entry(key).or_default().push(run);
    }
    by_key.into_values().flat_map(check_key).collect()
}

fn touches(pause: &Pause, run: &Run) -> bool {
    pause.server == run.server
        && run.end >= pause.from
        && run.start <= pause.until.saturating_add(AFTER_PAUSE)
}

fn check_key(mut runs: Vec<&Run>) -> Vec<Violation> {
    runs.sort_by_key(|r| (r.start, r.end));
    let mut found = Vec::new();
    for (i, run) in runs.iter().enumerate() {
        let Some(before) = runs[..i].iter().rev().find(|r| r.server != run.server) else {
            continue;
        };
        let overlaps = |r: &&&Run| r.server != run.server && r.end > run.start;
        if let Some(other) = runs[..i].iter().find(overlaps) {
            found.push(Violation::OwnersOverlap {
                key: run.key.clone(),
                servers: [other.server.clone(), run.server.clone()],
                time: run.start,
            });
        }
        // Compared where the key passes from one server to another.
        if runs[i - 1].server == before.server
            && let (Some(old), Some(new)) = (fence(before), fence(run))
            && new <= old
        {
            found.push(Violation::FenceBack {
                key: run.key.clone(),
                servers: [before.server.clone(), run.server.clone()],
                fences: [old, new],
                time: run.start,
            });
        }
    }
    found
}

/// Returns the fence under which the server held the key, or else that of the request.
fn fence(run: &Run) -> Option<(u64, u64)> {
    run.fence.or(run.sent)
}
