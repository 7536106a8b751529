//! Checks that, in the store, the fence of a key record never decreases and the version of the configuration strictly
//! increases.

use std::collections::HashMap;

use chicoryrail_platform::Subject;
use chicoryrail_platform::read_config;

use crate::Change;
use crate::Evidence;
use crate::Violation;
use crate::checker::stored_owners::KeyRecord;
use crate::checker::stored_owners::service_of;

pub(super) fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut fences: HashMap<&str, u64> = HashMap::new();
    let mut found = check_configs(&evidence.history);
    for change in &evidence.history {
        if service_of(&change.key).is_none() {
            continue;
        }
        let record = KeyRecord::parse(change.value.as_deref());
        // 0 stands for a record that was deleted or can't be parsed.
        let fence = record.map_or(0, |r| r.fence);
        let previous = fences.insert(&change.key, fence).unwrap_or(0);
        if fence < previous || fence == 0 {
            found.push(Violation::StoredBack {
                key: change.key.clone(),
                version: change.version,
            });
        }
    }
    found
}

/// Checks that each configuration has a higher version than the one it replaces.
fn check_configs(history: &[Change]) -> Vec<Violation> {
    let config_changes = history
        .iter()
        .filter(|c| Subject::of(&c.key) == Subject::Config);
    // 0 stands for a configuration that was deleted or can't be read.
    let version = |c: &Change| {
        let entry = read_config(c.value.as_deref().unwrap_or_default().as_bytes());
        entry.map_or(0, |entry| entry.site.version)
    };
    let versions: Vec<_> = config_changes.map(version).collect();
    let regressions = versions.windows(2).filter(|pair| pair[1] <= pair[0]);
    regressions
        .map(|pair| Violation::ConfigBack {
            before: pair[0],
            after: pair[1],
        })
        .collect()
}
