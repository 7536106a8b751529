//! Nothing runs in another organisation's name, without a key, or beyond a limit.

use std::collections::BTreeMap;

use crate::CallerKind;
use crate::Evidence;
use crate::Violation;

pub(super) fn check(seen: &Evidence) -> Vec<Violation> {
    let mut found = unauthorised(seen);
    let leaked = seen.runs.iter().filter(|r| r.key_leaked);
    found.extend(leaked.map(|r| Violation::KeyLeaked {
        request: r.request.clone(),
    }));
    found.extend(over_quota(seen));
    found
}

fn unauthorised(seen: &Evidence) -> Vec<Violation> {
    let records = seen.records.iter();
    let callers: BTreeMap<_, _> = records.map(|r| (r.request.as_str(), &r.caller)).collect();
    let wrong = seen.runs.iter().filter(|run| {
        let named = run.organisation.as_deref();
        match callers.get(run.request.as_str()) {
            // The caller's record is missing where the load was cut off.
            None => false,
            Some(CallerKind::Anybody) => named.is_some(),
            Some(CallerKind::Nobody) => true,
            Some(CallerKind::Organisation(own)) => named != Some(own.as_str()),
        }
    });
    wrong
        .map(|run| Violation::UnauthorisedRan {
            request: run.request.clone(),
            organisation: run.organisation.clone(),
        })
        .collect()
}

fn over_quota(seen: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for (name, quota) in &seen.quotas {
        let own = seen.runs.iter();
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
