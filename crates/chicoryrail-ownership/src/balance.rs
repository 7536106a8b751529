//! Loads of servers over time, for moves off the overloaded and the persistently slow.

use std::collections::BTreeMap;

use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;

use crate::Assignment;
use crate::Candidate;
use crate::Seen;

/// Time constant of the means. Momentary stragglers last 200 to 800 ms and are waited out; what is
/// still there after some seconds is moved away from.
const MEMORY: Millis = Millis(5_000);
/// Time between two moves for balance. Each holds a slice's requests for some 80 ms; one in two
/// seconds is a churn of at most 1,800 slices an hour and settles a new hot key within a minute.
const MOVE_EVERY: Millis = Millis(2_000);
/// Least share of its weight that a slow server keeps, so that it is still observed.
const LEAST: f64 = 0.25;
/// Latency over the median of the section from which a server counts as slow.
const SLOW: f64 = 2.0;
/// Requests a second below which the loads are noise.
const QUIET: f64 = 10.0;

#[derive(Clone, Debug, Default)]
struct Load {
    rate: f64,
    latency: f64,
    since: Millis,
    at: Millis,
}

/// What gates have seen of a section's servers, as means over seconds.
#[derive(Clone, Debug, Default)]
pub struct Balance {
    loads: BTreeMap<ServerName, Load>,
    moved: Millis,
}

impl Balance {
    /// Takes in what a server's gate has seen since its last report.
    pub fn seen(&mut self, now: Millis, server: &ServerName, seen: Seen) {
        let load = self.loads.entry(server.clone()).or_insert_with(|| Load {
            since: now,
            at: now,
            ..Load::default()
        });
        let passed = now.since(load.at).0 as f64;
        if passed <= 0.0 {
            return;
        }
        load.at = now;
        let part = 1.0 - (-passed / MEMORY.0 as f64).exp();
        let rate = f64::from(seen.sent) * 1_000.0 / passed;
        load.rate += (rate - load.rate) * part;
        if seen.latency > 0 {
            let latency = f64::from(seen.latency);
            load.latency += (latency - load.latency) * part;
        }
    }

    /// Forgets servers that the section has no more.
    pub fn retain(&mut self, keep: impl Fn(&ServerName) -> bool) {
        self.loads.retain(|name, _| keep(name));
    }

    /// Tells whether a move for balance may be planned now, and marks it as planned.
    pub fn may_move(&mut self, now: Millis) -> bool {
        let total: f64 = self.loads.values().map(|l| l.rate).sum();
        let young = self.loads.values().any(|l| now.since(l.since) < MEMORY);
        if total < QUIET || young || now.since(self.moved) < MOVE_EVERY {
            return false;
        }
        self.moved = now;
        true
    }

    /// Lowers the weight of servers that are slow over seconds.
    pub fn weigh(&self, servers: &mut [Candidate]) {
        let mut all: Vec<f64> = servers
            .iter()
            .filter_map(|s| self.loads.get(&s.name))
            .map(|l| l.latency)
            .filter(|l| *l > 0.0)
            .collect();
        all.sort_by(f64::total_cmp);
        let Some(median) = all.get(all.len() / 2).copied() else {
            return;
        };
        for server in servers {
            let latency = self.loads.get(&server.name).map_or(0.0, |l| l.latency);
            if latency > median * SLOW {
                server.weight *= (median / latency).max(LEAST);
            }
        }
    }

    /// Estimates each slice's load: its owner's rate, dealt by the share of the hash space; the
    /// share alone where nothing was seen.
    #[must_use]
    pub fn slices(&self, table: &Assignment) -> Vec<f64> {
        let mut shares: BTreeMap<&ServerName, f64> = BTreeMap::new();
        for entry in table.entries() {
            if let Some(owner) = &entry.owner {
                *shares.entry(owner).or_default() += entry.slice.share();
            }
        }
        let total: f64 = self.loads.values().map(|l| l.rate).sum();
        let known = total >= QUIET;
        let load = |entry: &crate::Owned| {
            let share = entry.slice.share();
            let seen = entry.owner.as_ref().filter(|_| known);
            let Some((owner, load)) = seen.and_then(|o| Some((o, self.loads.get(o)?))) else {
                return if known { share * total } else { share };
            };
            load.rate * share / shares[owner].max(f64::MIN_POSITIVE)
        };
        table.entries().iter().map(load).collect()
    }
}
