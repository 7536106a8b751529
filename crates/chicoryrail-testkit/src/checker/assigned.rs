//! Who is to hold a key is stored before the server is told.

use std::collections::HashMap;

use chicoryrail_platform::OWN_PREFIX;
use serde::Deserialize;

use crate::Evidence;
use crate::Violation;

/// Start of the keys of key records, below the product's own prefix.
const KEYS: &str = "keys/";

/// The parts of a key record that are judged.
#[derive(Deserialize)]
pub(super) struct KeyRecord {
    pub(super) fence: u64,
    spans: Vec<Owned>,
}

#[derive(Deserialize)]
struct Owned {
    span: Span,
    owner: Owner,
}

#[derive(Deserialize)]
struct Span {
    first: u16,
    last: u16,
}

#[derive(Deserialize)]
struct Owner {
    name: String,
}

impl KeyRecord {
    pub(super) fn read(value: Option<&str>) -> Option<Self> {
        serde_json::from_str(value?).ok()
    }

    fn owner(&self, key: u16) -> Option<&str> {
        let holds = |o: &&Owned| (o.span.first..=o.span.last).contains(&key);
        let owned = self.spans.iter().find(holds)?;
        Some(&owned.owner.name)
    }
}

/// Returns the service of a key record's key.
pub(super) fn service(key: &str) -> Option<&str> {
    key.strip_prefix(OWN_PREFIX)?.strip_prefix(KEYS)
}

pub(super) fn check(seen: &Evidence) -> Vec<Violation> {
    let mut stored: HashMap<&str, Vec<(u64, KeyRecord)>> = HashMap::new();
    for change in &seen.history {
        let record = KeyRecord::read(change.value.as_deref());
        if let (Some(service), Some(record)) = (service(&change.key), record) {
            stored
                .entry(service)
                .or_default()
                .push((change.time, record));
        }
    }
    let mut found = Vec::new();
    for run in &seen.runs {
        let Some(key) = run.key else {
            continue;
        };
        let given = stored.get(run.service.as_str()).is_some_and(|records| {
            records
                .iter()
                .any(|(time, r)| *time <= run.start && r.owner(key) == Some(&run.server))
        });
        if !given {
            found.push(Violation::OwnerNotStored {
                key,
                server: run.server.clone(),
                time: run.start,
            });
        }
    }
    found
}
