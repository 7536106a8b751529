//! Checks that servers run requests with the bodies that their callers sent.

use std::collections::BTreeMap;

use crate::Evidence;
use crate::Violation;

pub(super) fn check(evidence: &Evidence) -> Vec<Violation> {
    let records = evidence.records.iter();
    let sent: BTreeMap<_, _> = records.map(|r| (r.request.as_str(), r.body)).collect();
    let changed = evidence.runs.iter().filter_map(|run| {
        let sent = (*sent.get(run.request.as_str())?)?;
        let ran = run.body?;
        (ran != sent).then(|| Violation::BodyChanged {
            request: run.request.clone(),
            server: run.server.clone(),
            sent: sent.bytes,
            ran: ran.bytes,
        })
    });
    changed.collect()
}
