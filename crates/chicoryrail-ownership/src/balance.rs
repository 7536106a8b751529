//! Loads of servers over time, for moves off the overloaded and the persistently slow.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;

use crate::Assignment;
use crate::Candidate;
use crate::Owned;
use crate::Seen;
use crate::Shift;

/// Time constant of the means. Momentary stragglers last 200 to 800 ms and are waited out; what is
/// still there after some seconds is moved away from.
const MEMORY: Millis = Millis(2_500);
/// Time between two moves for balance, twice the time constant, so that the effect of one is seen
/// before the next. Each holds a slice's requests for some 80 ms.
const MOVE_EVERY: Millis = Millis(5_000);
/// Part of a move's effect that is seen after [`MOVE_EVERY`]: 1 - e^-2.
const EFFECT: f64 = 0.86;
/// How long a slice's load that a move has shown is believed.
const LEARNED: Millis = Millis(600_000);
/// Load of a hot key's slice, as a part of a server's fair share, while nothing is known of it. Its
/// share of the hash space is nothing, so without this all hot keys would be given to one server.
const HOT: f64 = 0.4;
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
    last: Option<(u64, ServerName, f64)>,
    learned: BTreeMap<u64, (f64, Millis)>,
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
        self.learn(now);
        true
    }

    /// Takes back that a move was planned.
    pub const fn put_off(&mut self) {
        self.moved = Millis::ZERO;
    }

    /// Remembers a move, to learn from its effect what the slice's load is.
    pub fn planned(&mut self, table: &Assignment, shift: &Shift) {
        let first = table.entries()[shift.index].slice.first;
        let rate = self.loads.get(&shift.to).map_or(0.0, |l| l.rate);
        self.last = Some((first, shift.to.clone(), rate));
    }

    fn learn(&mut self, now: Millis) {
        self.learned.retain(|_, (_, at)| now.since(*at) < LEARNED);
        if let Some((first, to, before)) = self.last.take() {
            let rate = self.loads.get(&to).map_or(0.0, |l| l.rate);
            let load = (rate - before).max(0.0) / EFFECT;
            self.learned.insert(first, (load, now));
        }
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

    /// Estimates each slice's load: what a move has shown, and for the others their owner's remaining
    /// rate, dealt by the share of the hash space; the share alone where nothing was seen.
    #[must_use]
    pub fn slices(&self, table: &Assignment) -> Vec<f64> {
        let total: f64 = self.loads.values().map(|l| l.rate).sum();
        let known = total >= QUIET;
        let owners: BTreeSet<&ServerName> = table
            .entries()
            .iter()
            .filter_map(|e| e.owner.as_ref())
            .collect();
        let fair = 1.0 / owners.len().max(self.loads.len()).max(1) as f64;
        let share = |entry: &Owned| {
            let hot = entry.slice.first == entry.slice.last;
            if hot { HOT * fair } else { entry.slice.share() }
        };
        let learned = |entry: &Owned| {
            let load = self.learned.get(&entry.slice.first).map(|l| l.0);
            load.filter(|_| known)
        };
        let mut rests: BTreeMap<&ServerName, (f64, f64)> = BTreeMap::new();
        for entry in table.entries() {
            let Some(owner) = &entry.owner else {
                continue;
            };
            let rate = self.loads.get(owner).map_or(0.0, |l| l.rate);
            let rest = rests.entry(owner).or_insert((rate, 0.0));
            match learned(entry) {
                Some(load) => rest.0 -= load,
                None => rest.1 += share(entry),
            }
        }
        let load = |entry: &Owned| {
            if let Some(load) = learned(entry) {
                return load;
            }
            let rest = entry.owner.as_ref().filter(|_| known).map(|o| rests[o]);
            match rest {
                Some((rate, shares)) => rate.max(0.0) * share(entry) / shares,
                None if known => share(entry) * total,
                None => share(entry),
            }
        };
        table.entries().iter().map(load).collect()
    }
}
