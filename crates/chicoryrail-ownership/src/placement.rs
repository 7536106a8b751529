//! Which server a slice goes to.

use std::collections::BTreeMap;

use chicoryrail_core::DcName;
use chicoryrail_core::ServerName;
use chicoryrail_core::Service;
use chicoryrail_core::Slice;

use crate::Assignment;

/// Imbalance (load over fair share) that is left alone. Below it a move costs more (held requests,
/// cold caches at the new owner) than the balance gains.
const TOLERATED: f64 = 1.2;

/// Load of a server, as a part of its fair share, below which it is filled: one that has joined or
/// come back.
const EMPTY: f64 = 0.5;

/// A server that may own slices.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the server.
    pub name: ServerName,
    /// Its data centre.
    pub dc: DcName,
    /// Its share of work relative to the others.
    pub weight: f64,
}

/// A slice that should change its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shift {
    /// Index of the slice.
    pub index: usize,
    /// Its next owner.
    pub to: ServerName,
}

/// Plans owners: orphans first, then few moves off the most loaded server.
#[derive(Debug)]
pub struct Placement<'a> {
    servers: &'a [Candidate],
    ranges: Vec<(Slice, DcName)>,
    loads: Vec<f64>,
}

impl<'a> Placement<'a> {
    /// Prepares the plan; `loads` gives each slice's load relative to the others and is the share
    /// of the hash space where nothing is known.
    #[must_use]
    pub fn new(servers: &'a [Candidate], service: &Service, loads: Vec<f64>) -> Self {
        let ranges = service.key_ranges.iter();
        Self {
            servers,
            ranges: ranges
                .filter_map(|r| Some((r.slice()?, r.data_centre.clone())))
                .collect(),
            loads,
        }
    }

    /// Returns at most `budget` moves.
    ///
    /// A slice whose owner stays eligible moves only for balance, so the churn of a server's leaving
    /// is its own slices and nothing else.
    #[must_use]
    pub fn plan(&self, table: &Assignment, budget: usize) -> Vec<Shift> {
        let mut shifts = Vec::new();
        if self.servers.is_empty() {
            return shifts;
        }
        let (mut load, orphans) = self.count(table);
        self.place(table, orphans, &mut load, budget, &mut shifts);
        while shifts.len() < budget {
            let Some(shift) = self.relieve(table, &load, &shifts) else {
                break;
            };
            let from = table.owner(shift.index).expect("only owned slices relieve");
            *load.entry(from.clone()).or_default() -= self.loads[shift.index];
            *load.entry(shift.to.clone()).or_default() += self.loads[shift.index];
            shifts.push(shift);
        }
        shifts
    }

    /// Returns an owner for each of the given slices, the heaviest first.
    #[must_use]
    pub fn orphans(&self, table: &Assignment, indexes: &[usize]) -> Vec<Shift> {
        let mut shifts = Vec::new();
        let (mut load, _) = self.count(table);
        self.place(table, indexes.to_vec(), &mut load, usize::MAX, &mut shifts);
        shifts
    }

    fn place(
        &self,
        table: &Assignment,
        mut indexes: Vec<usize>,
        load: &mut BTreeMap<ServerName, f64>,
        budget: usize,
        shifts: &mut Vec<Shift>,
    ) {
        indexes.sort_by(|a, b| self.loads[*b].total_cmp(&self.loads[*a]));
        for index in indexes.into_iter().take(budget) {
            let slice = table.entries()[index].slice;
            let Some(to) = self.least(load, slice, self.loads[index]) else {
                continue;
            };
            *load.entry(to.clone()).or_default() += self.loads[index];
            shifts.push(Shift { index, to });
        }
    }

    fn count(&self, table: &Assignment) -> (BTreeMap<ServerName, f64>, Vec<usize>) {
        let mut load: BTreeMap<ServerName, f64> =
            self.servers.iter().map(|s| (s.name.clone(), 0.0)).collect();
        let mut orphans = Vec::new();
        for (i, entry) in table.entries().iter().enumerate() {
            match entry.owner.as_ref().and_then(|o| load.get_mut(o)) {
                Some(sum) => *sum += self.loads[i],
                None => orphans.push(i),
            }
        }
        (load, orphans)
    }

    fn preferred(&self, slice: Slice) -> Option<&DcName> {
        let within = |r: &&(Slice, DcName)| r.0.first <= slice.first && slice.last <= r.0.last;
        let dc = self.ranges.iter().find(within).map(|r| &r.1)?;
        self.servers.iter().any(|s| s.dc == *dc).then_some(dc)
    }

    fn least(
        &self,
        load: &BTreeMap<ServerName, f64>,
        slice: Slice,
        more: f64,
    ) -> Option<ServerName> {
        let dc = self.preferred(slice);
        let near = self
            .servers
            .iter()
            .filter(|s| dc.is_none_or(|d| s.dc == *d));
        let after = |s: &Candidate| (load.get(&s.name).copied().unwrap_or(0.0) + more) / s.weight;
        near.min_by(|a, b| after(a).total_cmp(&after(b)))
            .map(|s| s.name.clone())
    }

    fn relieve(
        &self,
        table: &Assignment,
        load: &BTreeMap<ServerName, f64>,
        taken: &[Shift],
    ) -> Option<Shift> {
        let total: f64 = load.values().sum();
        let weights: f64 = self.servers.iter().map(|s| s.weight).sum();
        let fair = total / weights;
        let per = |s: &Candidate| load.get(&s.name).copied().unwrap_or(0.0) / s.weight;
        let worst = self
            .servers
            .iter()
            .max_by(|a, b| per(a).total_cmp(&per(b)))?;
        let high = per(worst);
        let low = self.servers.iter().map(per).fold(f64::INFINITY, f64::min);
        if high <= fair * TOLERATED && low >= fair * EMPTY {
            return None;
        }
        let mut best: Option<(f64, Shift)> = None;
        for (index, entry) in table.entries().iter().enumerate() {
            let own = entry.owner.as_ref() == Some(&worst.name);
            if !own || taken.iter().any(|t| t.index == index) {
                continue;
            }
            let Some(to) = self.least(load, entry.slice, self.loads[index]) else {
                continue;
            };
            let Some(target) = self.servers.iter().find(|s| s.name == to) else {
                continue;
            };
            // The new owner must stay below the old one, or slices would go to and fro.
            let there = per(target) + self.loads[index] / target.weight;
            let here = high - self.loads[index] / worst.weight;
            let gain = high - here;
            if to != worst.name && there < here && best.as_ref().is_none_or(|b| gain > b.0) {
                best = Some((gain, Shift { index, to }));
            }
        }
        best.map(|b| b.1)
    }
}
