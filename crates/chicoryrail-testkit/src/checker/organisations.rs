//! Checks that no request runs for a wrong organisation, with an invalid API key or beyond a quota, and that
//! no API key reaches a server.

use std::collections::BTreeMap;

use crate::CallerKind;
use crate::Evidence;
use crate::Violation;

pub(super) fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut found = unauthorised(evidence);
    let leaks = evidence.runs.iter().filter(|r| r.key_leaked);
    found.extend(leaks.map(|r| Violation::KeyLeaked {
        request: r.request.clone(),
    }));
    found.extend(over_quota(evidence));
    found
}

fn unauthorised(evidence: &Evidence) -> Vec<Violation> {
    let records = evidence.records.iter();
    let callers: BTreeMap<_, _> = records.map(|r| (r.request.as_str(), &r.caller)).collect();
    let unauthorised_runs = evidence.runs.iter().filter(|run| {
        let reported = run.organisation.as_deref();
        match callers.get(run.request.as_str()) {
            // The caller's record is missing if the load was interrupted.
            None => false,
            Some(CallerKind::Anybody) => reported.is_some(),
            Some(CallerKind::Nobody) => true,
            Some(CallerKind::Organisation(own)) => reported != Some(own.as_str()),
        }
    });
    unauthorised_runs
        .map(|run| Violation::UnauthorisedRan {
            request: run.request.clone(),
            organisation: run.organisation.clone(),
        })
        .collect()
}

fn over_quota(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for (name, quota) in &evidence.quotas {
        let own = evidence.runs.iter();
        let own = own.filter(|r| r.organisation.as_ref() == Some(name));
        let mut starts: Vec<u64> = own.map(|r| r.start).collect();
        starts.sort_unstable();
        let length = quota.length_ms * 1_000;
        let windows = starts.iter().enumerate();
        let counts = windows.map(|(i, t)| starts.partition_point(|s| *s < t + length) - i);
        let ran = counts.max().unwrap_or(0) as u64;
        if ran > quota.requests {
            found.push(Violation::OverQuota {
                organisation: name.clone(),
                ran,
                allowed: quota.requests,
            });
        }
    }
    found
}
