//! Long random runs of a section: servers freeze, restart, are taken out and come back, calls are
//! late or lost, clocks differ, the store is down at times, the holder sleeps and its deputy acts.
//!
//! A caller must never be served by two servers for one key: no slice has two owners by the servers'
//! own clocks, and no two runs of one slice on different servers overlap.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryrail_core::Bundle;
use chicoryrail_core::Epoch;
use chicoryrail_core::Fence;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::Service;
use chicoryrail_core::Slice;
use chicoryrail_ownership::Act;
use chicoryrail_ownership::Answer;
use chicoryrail_ownership::AssignRecord;
use chicoryrail_ownership::Routes;
use chicoryrail_ownership::Section;
use chicoryrail_ownership::Session;
use chicoryrail_ownership::Timing;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const TIMING: Timing = Timing::STANDARD;
const SERVERS: usize = 4;
const DEADLINE: u64 = 200;
/// Runs of each kind; more were tried when this was written.
const SEEDS: u64 = 60;

/// A server with a clock of its own.
#[derive(Default)]
struct Target {
    offset: u64,
    /// Speed of its clock in thousandths.
    speed: u64,
    instance: u64,
    fence: Fence,
    until: u64,
    slices: Vec<Slice>,
    frozen: u64,
}

impl Target {
    fn clock(&self, now: u64) -> u64 {
        self.offset + now * self.speed / 1_000
    }

    fn owns(&self, now: u64, slice: Slice) -> bool {
        let held = self
            .slices
            .iter()
            .any(|s| s.first <= slice.first && slice.last <= s.last);
        held && self.clock(now) < self.until
    }

    fn answer(&self, now: u64) -> Answer {
        Answer {
            now: Millis(self.clock(now)),
            instance: self.instance,
            fence: self.fence,
            slices: self.slices.clone(),
        }
    }
}

enum Event {
    /// A call reaches a server; the deputy's calls carry `true`.
    Call(Act, bool),
    /// An answer reaches the holder or the deputy; `None` when the call timed out.
    Answer(ServerName, Option<Answer>, bool),
    Released(Vec<Slice>),
    Stored(Option<AssignRecord>),
    Copy(Fence, Routes, Vec<ServerName>),
    CopyReply(Fence, u64),
    /// Routes reach a gate that asked at the second value.
    Routes(usize, u64, Fence, Routes),
}

/// What the deputy has.
#[derive(Default)]
struct Deputy {
    fence: Fence,
    routes: Routes,
    renew: Vec<ServerName>,
    sessions: BTreeMap<ServerName, Session>,
    heard: u64,
    acted: Option<u64>,
}

#[derive(Default)]
struct Gate {
    fence: Fence,
    routes: Routes,
    until: u64,
    asks: u64,
}

struct World {
    rng: Pcg64Mcg,
    now: u64,
    service: Service,
    section: Section,
    targets: BTreeMap<ServerName, Target>,
    events: Vec<(u64, Event)>,
    deputy: Deputy,
    gates: [Gate; 2],
    copied: u64,
    asleep: u64,
    store_down: u64,
    /// Runs of slices on servers, with their ends.
    runs: Vec<(Slice, ServerName, u64, usize)>,
    moved: usize,
    ran: usize,
}

impl World {
    fn new(seed: u64, fenced: bool) -> Self {
        let mut text = format!(
            "team = \"t\"\n[[data_centre]]\nname = \"a\"\n[[service]]\nname = \"kits\"\n\
             path = \"/v1/kits/\"\nkind = \"keyed\"\nclass = \"interactive\"\nslices = 8\n\
             fenced = {fenced}\ndeadline_ms = {DEADLINE}\n"
        );
        for i in 0..SERVERS {
            text += &format!(
                "[[service.server]]\nname = \"s{i}\"\ndata_centre = \"a\"\naddr = \"127.0.0.1:{}\"\n",
                9_000 + i
            );
        }
        let service = Bundle::parse(&text).unwrap().services.remove(0);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut target = || Target {
            offset: rng.random_range(1..100_000),
            speed: rng.random_range(990..=1_010),
            instance: rng.random(),
            ..Target::default()
        };
        let names = service.servers.iter().map(|s| s.name.clone());
        let targets = names.map(|n| (n, target())).collect();
        let mut section = Section::new(Millis(0), Epoch(1), service.clone(), 0, None, TIMING);
        section.set_deputy(true);
        Self {
            rng,
            now: 0,
            service,
            section,
            targets,
            events: Vec::new(),
            deputy: Deputy::default(),
            gates: Default::default(),
            copied: 0,
            asleep: 0,
            store_down: 0,
            runs: Vec::new(),
            moved: 0,
            ran: 0,
        }
    }

    /// Delivers an event after a random time; a part of them never arrives.
    fn send(&mut self, event: Event) -> bool {
        if self.rng.random_ratio(1, 50) {
            return false;
        }
        let slow = self.rng.random_ratio(1, 20);
        let most = if slow { 150 } else { 10 };
        let at = self.now + self.rng.random_range(1..=most);
        self.events.push((at, event));
        true
    }

    fn step(&mut self) {
        self.now += 5;
        self.break_things();
        let now = self.now;
        let mut due = Vec::new();
        let asleep = now < self.asleep;
        self.events.retain_mut(|(at, event)| {
            // What reaches a sleeping holder waits for it.
            let waits = asleep
                && matches!(
                    event,
                    Event::Answer(_, _, false)
                        | Event::Released(_)
                        | Event::Stored(_)
                        | Event::CopyReply(..)
                );
            if *at > now || waits {
                return true;
            }
            due.push(std::mem::replace(event, Event::Stored(None)));
            false
        });
        for event in due {
            self.handle(event);
        }
        if !asleep {
            self.hold();
        }
        self.stand_in();
        self.ask_routes();
        self.run_requests();
        self.check();
    }

    fn break_things(&mut self) {
        let now = self.now;
        let pick = self.rng.random_range(0..SERVERS);
        let name = self.service.servers[pick].name.clone();
        match self.rng.random_range(0..2_000) {
            0 => self.targets.get_mut(&name).unwrap().frozen = now + 2_500,
            1 => {
                let target = self.targets.get_mut(&name).unwrap();
                (target.instance, target.until) = (target.instance.wrapping_add(1), 0);
                (target.fence, target.slices) = (Fence::default(), Vec::new());
            }
            2 => {
                let out = BTreeSet::from([name]);
                self.section.configure(Millis(now), &self.service, out);
            }
            3..=5 => self
                .section
                .configure(Millis(now), &self.service, BTreeSet::new()),
            6 if now > self.asleep + 5_000 => self.asleep = now + self.rng.random_range(100..3_000),
            7 => self.store_down = now + 1_000,
            _ => {}
        }
    }

    fn hold(&mut self) {
        let now = Millis(self.now);
        let gates = [
            (HostName::new("g0"), "a".into()),
            (HostName::new("g1"), "a".into()),
        ];
        for act in self.section.tick(now, self.now >= self.store_down, &gates) {
            match act {
                Act::Store => {
                    let record = self.section.pending("x");
                    let down = self.now < self.store_down;
                    let at = self.now + self.rng.random_range(2..20);
                    let result = (!down).then_some(record);
                    self.moved += usize::from(!down);
                    self.events.push((at, Event::Stored(result)));
                }
                act => self.call(act, false),
            }
        }
        if self.now >= self.copied + 20 {
            self.copied = self.now;
            let routes = self.section.routes().clone();
            let renew = self.section.renewable(now);
            self.send(Event::Copy(self.section.fence(), routes, renew));
        }
    }

    /// Sends a call; where nothing comes back the caller's time limit ends it.
    fn call(&mut self, act: Act, deputy: bool) {
        let server = match &act {
            Act::Session { server, .. } | Act::Grant { server, .. } | Act::Load { server, .. } => {
                Some(server.clone())
            }
            _ => None,
        };
        if let Some(server) = server {
            self.events
                .push((self.now + 200, Event::Answer(server, None, deputy)));
        }
        self.send(Event::Call(act, deputy));
    }

    fn handle(&mut self, event: Event) {
        let now = Millis(self.now);
        match event {
            Event::Call(act, deputy) => self.serve(act, deputy),
            Event::Answer(server, answer, false) => match answer {
                Some(answer) => self.section.answered(now, &server, answer),
                None => self.section.silent(&server),
            },
            Event::Answer(server, answer, true) => {
                if let Some(session) = self.deputy.sessions.get_mut(&server) {
                    match answer {
                        Some(answer) => {
                            session.answered(now, answer);
                        }
                        None => session.silent(),
                    }
                }
            }
            Event::Released(slices) => self.section.released(now, &slices),
            Event::Stored(record) => self.section.stored(record.as_ref()),
            Event::Copy(fence, routes, renew) => {
                self.deputy.heard = self.now;
                if fence >= self.deputy.fence {
                    (self.deputy.fence, self.deputy.routes) = (fence, routes);
                    self.deputy.renew = renew;
                }
                let quiet = self.deputy.acted.map_or(u64::MAX, |at| self.now - at);
                self.send(Event::CopyReply(self.deputy.fence, quiet));
            }
            Event::CopyReply(known, quiet) => self.section.deputy_known(now, known, Millis(quiet)),
            Event::Routes(g, asked, fence, routes) => {
                let gate = &mut self.gates[g];
                if fence > gate.fence {
                    (gate.fence, gate.routes) = (fence, routes);
                }
                if fence == gate.fence {
                    let valid = TIMING.own(TIMING.route).0;
                    gate.until = gate.until.max(asked + valid);
                }
            }
        }
    }

    fn serve(&mut self, act: Act, deputy: bool) {
        let now = self.now;
        let (Act::Session { server, fence, .. }
        | Act::Grant { server, fence, .. }
        | Act::Release { server, fence, .. }) = &act
        else {
            return;
        };
        let target = self.targets.get_mut(server).unwrap();
        if now < target.frozen {
            let at = target.frozen;
            self.events.push((at, Event::Call(act, deputy)));
            return;
        }
        if *fence < target.fence {
            return;
        }
        target.fence = *fence;
        let until = |asof: Millis| asof.0 + TIMING.session.0;
        match &act {
            Act::Session { asof, .. } => {
                target.until = target.until.max(asof.map_or(0, until));
            }
            Act::Grant { asof, slices, .. } => {
                target.until = target.until.max(until(*asof));
                target.slices.clone_from(slices);
            }
            Act::Release { slices, .. } => {
                target.slices.retain(|s| !slices.contains(s));
                let slices = slices.clone();
                self.send(Event::Released(slices));
                return;
            }
            _ => return,
        }
        let (server, answer) = (server.clone(), target.answer(now));
        self.send(Event::Answer(server, Some(answer), deputy));
    }

    /// The deputy renews what the last copy names while no copy comes.
    fn stand_in(&mut self) {
        let now = Millis(self.now);
        if self.now < self.deputy.heard + TIMING.deputy.0 {
            return;
        }
        for server in self.service.servers.clone() {
            if !self.deputy.renew.contains(&server.name) {
                continue;
            }
            let entry = self.deputy.sessions.entry(server.name.clone());
            let session = entry.or_insert_with(|| Session::new(&server, now));
            if !session.is_due(now) {
                continue;
            }
            session.set_floor(self.deputy.fence);
            let sound = session.holds_within(&self.deputy.routes.owned_by(&server.name));
            let asof = session.asked(now, sound, &TIMING);
            self.deputy.acted = Some(self.now);
            let act = Act::Session {
                server: server.name.clone(),
                addr: server.addr,
                fence: self.deputy.fence,
                asof,
            };
            self.call(act, true);
        }
    }

    fn ask_routes(&mut self) {
        for g in 0..2 {
            if self.now < self.gates[g].asks {
                continue;
            }
            self.gates[g].asks = self.now + 50;
            let host = HostName::new(&format!("g{g}"));
            // Acknowledged only with nothing in flight that the table forbids.
            let gate = &self.gates[g];
            let blocked = self.runs.iter().any(|(slice, server, _, by)| {
                *by == g && Self::owner(&gate.routes, *slice) != Some(server)
            });
            let known = gate.fence;
            if self.now >= self.asleep {
                let routes = self.section.gates_mut();
                if !blocked {
                    routes.acknowledged(&host, 1, known);
                }
                routes.renewed(Millis(self.now), &host, 1, &TIMING);
                let (fence, routes) = (self.section.fence(), self.section.routes().clone());
                self.send(Event::Routes(g, self.now, fence, routes));
            } else if self.now >= self.deputy.heard + TIMING.deputy.0 {
                self.deputy.acted = Some(self.now);
                let (fence, routes) = (self.deputy.fence, self.deputy.routes.clone());
                self.send(Event::Routes(g, self.now, fence, routes));
            }
        }
    }

    /// Returns the server that the routes let a request of the slice go to.
    fn owner(routes: &Routes, slice: Slice) -> Option<&ServerName> {
        let entry = routes.slices.iter().find(|e| e.slice == slice)?;
        (!entry.moving).then(|| &routes.servers[entry.owner as usize].name)
    }

    fn run_requests(&mut self) {
        let now = self.now;
        self.runs.retain(|r| r.2 > now);
        for g in 0..2 {
            let gate = &self.gates[g];
            if now >= gate.until || gate.routes.slices.is_empty() {
                continue;
            }
            let pick = self.rng.random_range(0..gate.routes.slices.len());
            let slice = gate.routes.slices[pick].slice;
            let Some(server) = Self::owner(&gate.routes, slice).cloned() else {
                continue;
            };
            // A fenced server runs only what it owns, an unfenced one whatever comes.
            let target = &self.targets[&server];
            if now < target.frozen || self.service.fenced && !target.owns(now, slice) {
                continue;
            }
            let length = if self.service.fenced { 5 } else { DEADLINE };
            let end = now + self.rng.random_range(1..=length);
            self.runs.push((slice, server, end, g));
            self.ran += 1;
        }
    }

    fn check(&self) {
        for entry in self.section.table().entries() {
            let owners = self
                .targets
                .values()
                .filter(|t| t.owns(self.now, entry.slice));
            assert!(
                owners.count() <= 1,
                "two owners of {} at {}",
                entry.slice,
                self.now
            );
        }
        for (i, a) in self.runs.iter().enumerate() {
            let clash = self.runs[..i].iter().find(|b| a.0 == b.0 && a.1 != b.1);
            assert!(clash.is_none(), "{a:?} beside {clash:?} at {}", self.now);
        }
    }
}

#[rstest]
#[case::fenced(true)]
#[case::unfenced(false)]
fn no_key_is_served_by_two_servers(#[case] fenced: bool) {
    let (mut moved, mut ran) = (0, 0);
    for seed in 0..SEEDS {
        let mut world = World::new(seed, fenced);
        for _ in 0..12_000 {
            world.step();
        }
        moved += world.moved;
        ran += world.ran;
    }
    println!("{SEEDS} runs of 60 s: {moved} tables stored, {ran} requests run");
    assert!(
        moved > 5 * SEEDS as usize && ran > 5_000 * SEEDS as usize,
        "the runs do nothing"
    );
}
