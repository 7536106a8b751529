//! What the store holds of ownership and configuration only grows.

use std::collections::HashMap;

use serde_json::Value;

use crate::Change;
use crate::Evidence;
use crate::Violation;

/// Rank of a record among the writes of its key, and the part of it that the rank stands for.
#[derive(Clone, Debug, PartialEq)]
struct Rank {
    number: (u64, u64),
    /// Two writes of the same rank must agree in this.
    content: Value,
}

pub(crate) fn check(seen: &Evidence) -> Vec<Violation> {
    let mut last: HashMap<&str, Rank> = HashMap::new();
    let mut config = 0;
    let mut found = Vec::new();
    for change in &seen.history {
        if change.key == "config/head" {
            let after = version(change);
            if after != config + 1 {
                found.push(Violation::ConfigBack {
                    before: config,
                    after,
                });
            }
            config = after;
            continue;
        }
        let rank = if change.key.starts_with("shard/") {
            shard(change)
        } else if change.key.starts_with("assign/") {
            assignment(change)
        } else {
            continue;
        };
        let grown = rank.as_ref().is_some_and(|new| {
            last.get(change.key.as_str())
                .is_none_or(|old| old.number < new.number || old == new)
        });
        if !grown {
            found.push(Violation::StoredBack {
                key: change.key.clone(),
                version: change.version,
            });
        }
        if let Some(rank) = rank {
            last.insert(&change.key, rank);
        }
    }
    found
}

fn value(change: &Change) -> Option<Value> {
    serde_json::from_str(change.value.as_deref()?).ok()
}

fn version(change: &Change) -> u64 {
    value(change)
        .and_then(|v| v["version"].as_u64())
        .unwrap_or(0)
}

/// One epoch has one holder.
fn shard(change: &Change) -> Option<Rank> {
    let value = value(change)?;
    Some(Rank {
        number: (value["epoch"].as_u64()?, 0),
        content: value["holder"].clone(),
    })
}

/// One epoch has one writer, whose writes the store orders; the fence is that of the table in force
/// when it writes, so two writes in a row may carry the same one.
fn assignment(change: &Change) -> Option<Rank> {
    let value = value(change)?;
    let fence = &value["fence"];
    Some(Rank {
        number: (fence["epoch"].as_u64()?, fence["version"].as_u64()?),
        content: Value::Null,
    })
}
