//! What the store holds of keys and configuration only grows.

use std::collections::HashMap;

use chicoryrail_platform::Subject;
use chicoryrail_platform::read_config;

use crate::Change;
use crate::Evidence;
use crate::Violation;
use crate::checker::assigned::KeyRecord;
use crate::checker::assigned::service;

pub(super) fn check(seen: &Evidence) -> Vec<Violation> {
    let mut last: HashMap<&str, u64> = HashMap::new();
    let mut found = configs(&seen.history);
    for change in &seen.history {
        if service(&change.key).is_none() {
            continue;
        }
        let record = KeyRecord::read(change.value.as_deref());
        let fence = record.map_or(0, |r| r.fence);
        let before = last.insert(&change.key, fence).unwrap_or(0);
        if fence < before || fence == 0 {
            found.push(Violation::StoredBack {
                key: change.key.clone(),
                version: change.version,
            });
        }
    }
    found
}

/// A configuration is replaced by a higher version only.
fn configs(history: &[Change]) -> Vec<Violation> {
    let of_config = history
        .iter()
        .filter(|c| Subject::of(&c.key) == Subject::Config);
    let version = |c: &Change| {
        let site = read_config(c.value.as_deref().unwrap_or_default().as_bytes());
        site.map_or(0, |entry| entry.site.version)
    };
    let versions: Vec<_> = of_config.map(version).collect();
    let back = versions.windows(2).filter(|pair| pair[1] <= pair[0]);
    back.map(|pair| Violation::ConfigBack {
        before: pair[0],
        after: pair[1],
    })
    .collect()
}
