//! Checks that an order runs at most once, that an order reported as done ran, and that a request reported as not run
//! did not run.

use std::collections::BTreeMap;

use crate::Evidence;
use crate::Outcome;
use crate::Run;
use crate::Violation;

pub(super) fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut runs_by_request: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in &evidence.runs {
        runs_by_request.entry(&run.request).or_default().push(run);
    }
    let servers = |runs: &[&Run]| runs.iter().map(|r| r.server.clone()).collect();
    let duplicates = runs_by_request
        .iter()
        .filter(|(_, r)| r.len() > 1 && r[0].order);
    let mut found: Vec<_> = duplicates
        .map(|(request, runs)| Violation::OrderTwice {
            request: (*request).to_owned(),
            servers: servers(runs),
        })
        .collect();
    for record in &evidence.records {
        let runs = runs_by_request.get(record.request.as_str());
        match (record.outcome, runs) {
            (Outcome::Done, None) if record.kind.runs_once() => {
                found.push(Violation::OrderLost {
                    request: record.request.clone(),
                });
            }
            (Outcome::NotRun, Some(runs)) => found.push(Violation::NotRunRan {
                request: record.request.clone(),
                servers: servers(runs),
            }),
            // An indeterminate outcome contradicts neither a run nor its absence, and only an order must have run to be
            // reported done.
            _ => {}
        }
    }
    found
}
