//! Checks that a server runs requests for a key only after a stored record has assigned it the key.

use std::collections::HashMap;

use chicoryrail_platform::OWN_PREFIX;
use serde::Deserialize;

use crate::Evidence;
use crate::Violation;

/// Prefix of the store keys of key records, below the router's own prefix.
const KEY_RECORD_PREFIX: &str = "keys/";

/// The fields of a key record that the checks use.
#[derive(Deserialize)]
pub(super) struct KeyRecord {
    pub(super) fence: u64,
    spans: Vec<OwnedRange>,
}

#[derive(Deserialize)]
struct OwnedRange {
    span: KeyRange,
    owner: Owner,
}

#[derive(Deserialize)]
struct KeyRange {
    first: u16,
    last: u16,
}

#[derive(Deserialize)]
struct Owner {
    name: String,
}

impl KeyRecord {
    pub(super) fn parse(value: Option<&str>) -> Option<Self> {
        serde_json::from_str(value?).ok()
    }

    fn owner(&self, key: u16) -> Option<&str> {
        let contains_key = |o: &&OwnedRange| (o.span.first..=o.span.last).contains(&key);
        let range = self.spans.iter().find(contains_key)?;
        Some(&range.owner.name)
    }
}

/// Returns the service of a key record by its store key; `None` for other store keys.
pub(super) fn service_of(key: &str) -> Option<&str> {
    key.strip_prefix(OWN_PREFIX)?
        .strip_prefix(KEY_RECORD_PREFIX)
}

pub(super) fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut stored: HashMap<&str, Vec<(u64, KeyRecord)>> = HashMap::new();
    for change in &evidence.history {
        let record = KeyRecord::parse(change.value.as_deref());
        if let (Some(service), Some(record)) = (service_of(&change.key), record) {
            stored
                .entry(service)
                .or_default()
                .push((change.time, record));
        }
    }
    let mut found = Vec::new();
    for run in &evidence.runs {
        let Some(key) = run.key else {
            continue;
        };
        let is_stored = stored.get(run.service.as_str()).is_some_and(|records| {
            records
                .iter()
                .any(|(time, r)| *time <= run.start && r.owner(key) == Some(&run.server))
        });
        if !is_stored {
            found.push(Violation::OwnerNotStored {
                key,
                server: run.server.clone(),
                time: run.start,
            });
        }
    }
    found
}
