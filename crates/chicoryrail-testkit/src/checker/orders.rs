//! Orders run at most once, and what a caller was told of them is true.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::Evidence;
use crate::Outcome;
use crate::Violation;
use crate::caller_id;

pub(crate) fn check(seen: &Evidence) -> Vec<Violation> {
    let mut orders: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    let mut requests: HashMap<&str, &str> = HashMap::new();
    for run in &seen.runs {
        if let Some(order) = &run.order {
            orders.entry(order).or_default().push(&run.server);
        }
        requests.insert(caller_id(&run.request), &run.server);
    }
    let twice = orders.iter().filter(|(_, servers)| servers.len() > 1);
    let mut found: Vec<_> = twice
        .map(|(order, servers)| Violation::OrderTwice {
            order: (*order).to_owned(),
            servers: servers.iter().map(|s| (*s).to_owned()).collect(),
        })
        .collect();
    for record in &seen.records {
        if let Some(order) = &record.order
            && record.outcome == Outcome::Done
            && !orders.contains_key(order.as_str())
        {
            found.push(Violation::OrderLost {
                order: order.clone(),
                request: record.request.clone(),
            });
        }
        if record.outcome == Outcome::NotRun
            && let Some(server) = requests.get(record.request.as_str())
        {
            found.push(Violation::NotRunRan {
                request: record.request.clone(),
                server: (*server).to_owned(),
            });
        }
    }
    found
}
