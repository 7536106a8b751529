//! The list of events, the fake targets and what becomes of each request.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use chicoryrail_core::Class;
use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::policy::Sign;
use crate::policy::baseline::Baseline;
use crate::policy::case::Case;
use crate::policy::event::At;
use crate::policy::event::Event;
use crate::policy::gates::Gates;
use crate::policy::request::Copy;
use crate::policy::request::End;
use crate::policy::request::Request;
use crate::policy::request::State;
use crate::policy::scheme::Scheme;
use crate::policy::score::Score;
use crate::policy::score::Tally;
use crate::policy::spell::SpellKind;
use crate::policy::target::Target;

/// Spread of service times (sigma of a log-normal): 99 in 100 are below 2.5 times the median.
const SPREAD: f64 = 0.4;
/// Time to a refused connection.
const REFUSED_US: u64 = 200;

/// Everything but the scheme.
pub(crate) struct Core {
    pub(crate) case: Case,
    pub(crate) now: u64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) targets: Vec<Target>,
    pub(crate) requests: Vec<Request>,
    pub(crate) copies: Vec<Copy>,
    tally: Tally,
    events: BinaryHeap<Reverse<At>>,
    serial: u64,
    popularity: Vec<f64>,
}

enum Router {
    Ours(Gates),
    Baseline(Baseline),
}

/// A case under way.
pub(crate) struct World {
    core: Core,
    router: Router,
}

impl World {
    pub(crate) fn new(case: &Case, scheme: Scheme, seed: u64) -> Self {
        let core = Core::new(case, seed);
        let router = match scheme {
            Scheme::Ours => Router::Ours(Gates::new(case, seed)),
            other => Router::Baseline(Baseline::new(case, other, seed)),
        };
        Self { core, router }
    }

    pub(crate) fn run(mut self) -> Score {
        while let Some(Reverse(At(t, _, event))) = self.core.events.pop() {
            self.core.now = t;
            self.step(event);
        }
        self.core.score()
    }

    fn step(&mut self, event: Event) {
        let core = &mut self.core;
        match event {
            Event::Arrive(kind) => {
                let request = core.arrive(kind);
                match &mut self.router {
                    Router::Ours(g) => g.arrive(core, request),
                    Router::Baseline(b) => b.arrive(core, request),
                }
            }
            Event::End(copy, end) => self.end(copy, end),
            Event::Restart(server) => {
                for copy in core.targets[server].flight.clone() {
                    self.end(copy, End::Cut);
                }
                self.core.turn_cold(server, true);
                if let Router::Ours(g) = &mut self.router {
                    g.set_cold(server);
                }
            }
            Event::Unseen(server) => core.turn_cold(server, false),
            Event::Deadline(request) => {
                if core.requests[request].done {
                    return;
                }
                core.late(request);
                match &mut self.router {
                    Router::Ours(g) => g.cancel_all(core, request, None),
                    Router::Baseline(b) => b.give_up(core, request),
                }
            }
            other => {
                if let Router::Ours(g) = &mut self.router {
                    g.event(core, other);
                }
            }
        }
    }

    fn end(&mut self, copy: usize, end: End) {
        if !self.core.end(copy) {
            return;
        }
        let server = self.core.copies[copy].server;
        self.core.targets[server].saw_end(self.core.now);
        match &mut self.router {
            Router::Ours(g) => g.ended(&mut self.core, copy, end),
            Router::Baseline(b) => b.ended(&mut self.core, copy, end),
        }
    }
}

impl Core {
    fn new(case: &Case, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let spells = case.spells(&mut rng);
        let targets = spells.into_iter().map(|spells| Target {
            spells,
            ..Target::default()
        });
        let mut core = Self {
            case: case.clone(),
            now: 0,
            rng,
            targets: targets.collect(),
            requests: Vec::new(),
            copies: Vec::new(),
            tally: Tally::default(),
            events: BinaryHeap::new(),
            serial: 0,
            popularity: popularity(case.keys),
        };
        for kind in 0..case.work.len() {
            core.at(0, Event::Arrive(kind));
        }
        for server in 0..case.servers {
            for spell in core.targets[server].spells.clone() {
                if let SpellKind::Cold { sign, .. } = spell.kind {
                    let event = match sign {
                        Sign::Restart => Event::Restart(server),
                        Sign::Answers => Event::Unseen(server),
                    };
                    core.at(spell.from, event);
                }
            }
        }
        core
    }

    pub(crate) fn at(&mut self, t: u64, event: Event) {
        self.serial += 1;
        self.events.push(Reverse(At(t, self.serial, event)));
    }

    pub(crate) const fn millis(&self) -> Millis {
        Millis(self.now / 1_000)
    }

    fn arrive(&mut self, kind: usize) -> usize {
        let work = self.case.work[kind];
        let slots = self.case.servers as f64 * f64::from(self.case.slots);
        let rate = work.load * slots / work.mean_us * self.case.factor(self.now);
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        let next = self.now + gap as u64 + 1;
        if next < self.case.length_us {
            self.at(next, Event::Arrive(kind));
        }
        let u = self.rng.random::<f64>();
        let key = self.popularity.partition_point(|p| *p < u) as u64;
        let hash = KeyHash::of(&key.to_string()).0;
        let keyed = !self.popularity.is_empty();
        let id = self.requests.len();
        let service = self.service(work.mean_us);
        self.requests.push(Request {
            class: work.class,
            key: if keyed { hash } else { 0 },
            hot: keyed && key == 0,
            owner: keyed.then_some((hash % self.case.servers as u64) as usize),
            home: 0,
            at: self.now,
            deadline: self.now + work.deadline_us,
            work: service,
            done: false,
            retried: false,
            copies: Vec::new(),
            tries: 0,
            runs: 0,
        });
        self.tally.offered += 1;
        self.tally.others_offered += u64::from(!keyed || key != 0);
        self.at(self.now + work.deadline_us, Event::Deadline(id));
        id
    }

    fn service(&mut self, mean: f64) -> u64 {
        let u = 1.0 - self.rng.random::<f64>();
        let v = self.rng.random::<f64>() * std::f64::consts::TAU;
        let z = (-2.0 * u.ln()).sqrt() * v.cos();
        (mean * (SPREAD * z - SPREAD * SPREAD / 2.0).exp()) as u64
    }

    /// Starts a further try of a request.
    pub(crate) fn copy(&mut self, request: usize, gate: usize) -> usize {
        let id = self.copies.len();
        self.copies.push(Copy {
            request,
            gate,
            server: 0,
            sent: 0,
            state: State::Asked,
        });
        self.requests[request].copies.push(id);
        id
    }

    /// Sends a copy to a target.
    pub(crate) fn send(&mut self, copy: usize, server: usize) {
        let now = self.now;
        let request = self.copies[copy].request;
        let both = self.lives(request, copy, State::Running);
        self.copies[copy].server = server;
        self.copies[copy].sent = now;
        self.copies[copy].state = State::Running;
        self.tally.hedged += u64::from(both);
        let r = &mut self.requests[request];
        r.tries += 1;
        let (first, work) = (r.tries == 1, r.work);
        let target = &mut self.targets[server];
        target.start(now, copy);
        let down = target.is_down(now);
        let ends = target.finish(now, work);
        if down {
            self.tally.fail_first += u64::from(first);
            self.tally.fail_sent += 1;
            if self.rng.random::<bool>() {
                self.at(now + REFUSED_US, Event::End(copy, End::Refused));
                return;
            }
        }
        let r = &mut self.requests[request];
        r.runs += 1;
        self.tally.doubled += u64::from(r.class == Class::Order && r.runs == 2);
        let end = if down { End::Cut } else { End::Answered };
        self.at(ends, Event::End(copy, end));
    }

    /// Frees a running copy's slot; `false` where it does not run.
    pub(crate) fn end(&mut self, copy: usize) -> bool {
        let c = &mut self.copies[copy];
        if c.state != State::Running {
            return false;
        }
        c.state = State::Ended;
        self.targets[c.server].end(copy);
        true
    }

    /// Tells whether another copy of the request is in the given state.
    pub(crate) fn lives(&self, request: usize, but: usize, state: State) -> bool {
        let copies = &self.requests[request].copies;
        let mut others = copies.iter().filter(|c| **c != but);
        others.any(|c| self.copies[*c].state == state)
    }

    /// Tells whether any other copy may still bring the answer.
    pub(crate) fn has_other(&self, request: usize, but: usize) -> bool {
        let copies = &self.requests[request].copies;
        let mut others = copies.iter().filter(|c| **c != but);
        others.any(|c| self.copies[*c].state != State::Ended)
    }

    pub(crate) fn answer(&mut self, request: usize) {
        let r = &mut self.requests[request];
        r.done = true;
        let counts = self.now <= self.case.length_us;
        self.tally.answered(r.class, r.hot, self.now - r.at, counts);
    }

    pub(crate) fn refuse(&mut self, request: usize) {
        let r = &mut self.requests[request];
        if !r.done {
            r.done = true;
            self.tally.refused(r.hot, self.now - r.at);
        }
    }

    pub(crate) fn fail(&mut self, request: usize) {
        let r = &mut self.requests[request];
        self.tally.failed += u64::from(!r.done);
        r.done = true;
    }

    fn late(&mut self, request: usize) {
        let r = &mut self.requests[request];
        r.done = true;
        self.tally.late(r.class, r.hot, self.now - r.at);
    }

    fn turn_cold(&mut self, server: usize, known: bool) {
        self.targets[server].instance += 1;
        self.targets[server].known = known;
    }

    fn score(self) -> Score {
        let over = self.targets.iter().map(|t| t.over).max().unwrap_or(0);
        let known = self.targets.iter().map(|t| t.over_known).max().unwrap_or(0);
        self.tally.score(self.case.length_us, over, known)
    }
}

fn popularity(keys: usize) -> Vec<f64> {
    let weights: Vec<f64> = (1..=keys).map(|k| (k as f64).powf(-1.1)).collect();
    let sum: f64 = weights.iter().sum();
    let mut total = 0.0;
    let add = |w: &f64| {
        total += w / sum;
        total
    };
    weights.iter().map(add).collect()
}
