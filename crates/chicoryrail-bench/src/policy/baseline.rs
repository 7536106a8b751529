//! The usual ways to choose a server, over first-in-first-out queues with our limits.

use std::collections::VecDeque;

use chicoryrail_core::Class;
use chicoryrail_policy::Estimate;
use chicoryrail_policy::Limits;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::policy::case::Case;
use crate::policy::request::End;
use crate::policy::request::State;
use crate::policy::scheme::Scheme;
use crate::policy::world::Core;

/// Age of a load report when it is used.
const REPORT_AGE_US: u64 = 1_000_000;
/// Time between load reports.
const REPORT_STEP_US: u64 = 100_000;

/// One process that sees every request and every target.
pub(crate) struct Baseline {
    scheme: Scheme,
    slots: usize,
    limits: Limits,
    queues: Vec<VecDeque<usize>>,
    present: Vec<[Estimate; 3]>,
    next: usize,
    reports: VecDeque<(u64, Vec<usize>)>,
    rng: Pcg64Mcg,
}

impl Baseline {
    pub(crate) fn new(case: &Case, scheme: Scheme, seed: u64) -> Self {
        let limits = Limits::default();
        Self {
            scheme,
            slots: case.slots as usize,
            limits,
            queues: vec![VecDeque::new(); case.servers],
            present: vec![[Estimate::new(limits.prior_us); 3]; case.servers],
            next: 0,
            reports: VecDeque::new(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0xba5e),
        }
    }

    pub(crate) fn arrive(&mut self, core: &mut Core, request: usize) {
        self.report(core);
        let server = match core.requests[request].owner {
            Some(owner) => owner,
            None => self.choose(core),
        };
        let copy = core.copy(request, 0);
        core.copies[copy].server = server;
        if core.targets[server].flight.len() < self.slots {
            core.send(copy, server);
        } else if self.fits(core, request, server) {
            core.copies[copy].state = State::Waiting;
            self.queues[server].push_back(copy);
        } else {
            core.copies[copy].state = State::Ended;
            core.refuse(request);
        }
    }

    pub(crate) fn ended(&mut self, core: &mut Core, copy: usize, end: End) {
        let c = core.copies[copy];
        let r = &core.requests[c.request];
        let us = (core.now - c.sent) as u32;
        let idempotent = r.class != Class::Order;
        let again = !r.retried && !r.done;
        match end {
            End::Answered => {
                self.present[c.server][r.class as usize].add(us);
                core.answer(c.request);
            }
            // The usual single retry, only where it is safe, without a budget.
            End::Refused | End::Cut if again && (idempotent || end == End::Refused) => {
                core.requests[c.request].retried = true;
                self.arrive(core, c.request);
            }
            End::Refused | End::Cut => core.fail(c.request),
        }
        self.drain(core, c.server);
    }

    pub(crate) fn give_up(&mut self, core: &mut Core, request: usize) {
        for copy in core.requests[request].copies.clone() {
            let server = core.copies[copy].server;
            if !core.end(copy) {
                core.copies[copy].state = State::Ended;
            }
            self.drain(core, server);
        }
    }

    fn drain(&mut self, core: &mut Core, server: usize) {
        while core.targets[server].flight.len() < self.slots {
            let Some(copy) = self.queues[server].pop_front() else {
                return;
            };
            let request = core.copies[copy].request;
            if core.copies[copy].state != State::Waiting {
                continue;
            }
            if core.now + self.service(core, request, server) as u64
                > core.requests[request].deadline
            {
                core.copies[copy].state = State::Ended;
                core.refuse(request);
            } else {
                core.send(copy, server);
            }
        }
    }

    fn service(&self, core: &Core, request: usize, server: usize) -> f64 {
        self.present[server][core.requests[request].class as usize].us()
    }

    fn fits(&self, core: &Core, request: usize, server: usize) -> bool {
        let service = self.service(core, request, server);
        let ahead = self.queues[server].iter();
        let work: f64 = ahead
            .map(|c| self.service(core, core.copies[*c].request, server))
            .sum();
        let wait = (work + service) / self.slots as f64;
        let left = (core.requests[request].deadline - core.now) as f64;
        wait + service <= left * self.limits.patience
    }

    fn choose(&mut self, core: &Core) -> usize {
        let n = self.queues.len();
        match self.scheme {
            Scheme::Ours | Scheme::Random => self.rng.random_range(0..n),
            Scheme::RoundRobin => {
                self.next = (self.next + 1) % n;
                self.next
            }
            Scheme::LeastRequests => {
                let load = |s: usize| core.targets[s].flight.len() + self.queues[s].len();
                let least = (0..n).map(load).min().unwrap_or(0);
                let ties: Vec<usize> = (0..n).filter(|s| load(*s) == least).collect();
                ties[self.rng.random_range(0..ties.len())]
            }
            Scheme::TwoChoices => {
                let a = self.rng.random_range(0..n);
                let b = self.rng.random_range(0..n);
                match self.reports.front() {
                    Some((_, load)) if load[b] < load[a] => b,
                    _ => a,
                }
            }
        }
    }

    /// Keeps the load reports of the last second; the front one is as late as reports are.
    fn report(&mut self, core: &Core) {
        let last = self.reports.back().map(|(t, _)| *t);
        if last.is_none_or(|t| core.now >= t + REPORT_STEP_US) {
            let queues = self.queues.iter().zip(&core.targets);
            let load = queues.map(|(q, t)| q.len() + t.flight.len()).collect();
            self.reports.push_back((core.now, load));
        }
        while self
            .reports
            .get(1)
            .is_some_and(|(t, _)| t + REPORT_AGE_US <= core.now)
        {
            self.reports.pop_front();
        }
    }
}
