//! An assignment is stored before it is acted on.

use std::collections::HashMap;

use chicoryrail_core::KeyHash;
use serde::Deserialize;

use crate::Checker;
use crate::Evidence;
use crate::Violation;

/// The parts of `assign/{shard}` that name owners.
#[derive(Deserialize)]
struct Assigned {
    servers: Vec<String>,
    starts: Vec<u64>,
    owners: Vec<usize>,
}

impl Assigned {
    fn owner(&self, key: KeyHash) -> Option<&str> {
        let at = self
            .starts
            .partition_point(|s| *s <= key.0)
            .checked_sub(1)?;
        let owner = *self.owners.get(at)?;
        self.servers.get(owner).map(String::as_str)
    }
}

pub(crate) fn check(checker: &Checker, seen: &Evidence) -> Vec<Violation> {
    let mut stored: HashMap<&str, Vec<(u64, Assigned)>> = HashMap::new();
    for change in &seen.history {
        let Some(service) = service(&change.key) else {
            continue;
        };
        let value = change.value.as_deref().unwrap_or_default();
        if let Ok(assigned) = serde_json::from_str(value) {
            stored
                .entry(service)
                .or_default()
                .push((change.time, assigned));
        }
    }
    let mut found = Vec::new();
    for run in &seen.runs {
        let Some(facts) = checker.servers.get(&run.server).filter(|f| f.keyed) else {
            continue;
        };
        let key = KeyHash::of(&run.key);
        let given = stored.get(facts.service.as_str()).is_some_and(|records| {
            records
                .iter()
                .any(|(time, a)| *time <= run.start && a.owner(key) == Some(&run.server))
        });
        if !given {
            found.push(Violation::OwnerNotStored {
                key: run.key.clone(),
                server: run.server.clone(),
                time: run.start,
            });
        }
    }
    found
}

/// Returns the service of a key `assign/svc.{service}.{part}`.
fn service(key: &str) -> Option<&str> {
    let shard = key.strip_prefix("assign/svc.")?;
    shard.rsplit_once('.').map(|(service, _)| service)
}
