//! Random loads, servers and faults against a queue; what must hold holds after every step.

use std::collections::HashMap;

use chicoryrail_core::Class;
use chicoryrail_core::Millis;
use chicoryrail_policy::Action;
use chicoryrail_policy::Ask;
use chicoryrail_policy::Decision;
use chicoryrail_policy::Outcome;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::ServerQueue;
use chicoryrail_policy::Ticket;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const SERVERS: u32 = 4;
const STEPS: u64 = 3_000;

/// Where the model thinks a request is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    Waiting,
    Running { server: ServerId, since: Millis },
}

struct Model {
    queue: ServerQueue,
    rng: Pcg64Mcg,
    now: Millis,
    next: u64,
    asks: HashMap<Ticket, (Ask, Place)>,
    slots: HashMap<ServerId, u32>,
    cold: HashMap<ServerId, bool>,
    sent: HashMap<Class, u32>,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut queue = ServerQueue::default();
        let mut slots = HashMap::new();
        for n in 0..SERVERS {
            queue.set_server(ServerId(n), 2 + n % 2);
            slots.insert(ServerId(n), 2 + n % 2);
        }
        Self {
            queue,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Millis(1),
            next: 0,
            asks: HashMap::new(),
            slots,
            cold: HashMap::new(),
            sent: HashMap::new(),
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..55 => self.offer(),
            55..80 => self.end(),
            80..88 => self.now = self.now + Millis(self.rng.random_range(1..30)),
            88..93 => self.leave(),
            93 if self.rng.random_bool(0.2) => self.turn_cold(),
            94..98 => self.change_servers(),
            _ => self.now = self.now + Millis(self.rng.random_range(100..3_000)),
        }
        self.poll();
        self.check();
    }

    fn offer(&mut self) {
        self.next += 1;
        let class = match self.rng.random_range(0..10) {
            0..6 => Class::Interactive,
            6..8 => Class::Order,
            _ => Class::Batch,
        };
        let most = if class == Class::Batch { 20_000 } else { 2_000 };
        let deadline = self.now + Millis(self.rng.random_range(0..most));
        let key = self.rng.random_range(0..4);
        let ask = Ask::new(Ticket(self.next), class, deadline).key(key);
        match self.queue.offer(self.now, ask) {
            Decision::Send(server) => self.sent(ask, server),
            Decision::Wait => {
                self.asks.insert(ask.ticket, (ask, Place::Waiting));
            }
            Decision::Refuse(r) => {
                assert_eq!(r.code.run(), "not run");
                assert!(r.retry >= Millis(100), "{r:?}");
            }
        }
    }

    fn sent(&mut self, ask: Ask, server: ServerId) {
        assert!(self.slots.contains_key(&server), "{server:?} is out");
        assert!(self.now <= ask.deadline, "{ask:?} is past its deadline");
        *self.sent.entry(ask.class).or_default() += 1;
        let since = self.now;
        let place = Place::Running { server, since };
        self.asks.insert(ask.ticket, (ask, place));
        let most = if self.cold.get(&server) == Some(&true) {
            1
        } else {
            self.slots[&server]
        };
        let here = |p: &Place| matches!(p, Place::Running { server: s, .. } if *s == server);
        let running = self.asks.values().filter(|(_, p)| here(p));
        let batch = running.clone().filter(|(a, _)| a.class == Class::Batch);
        assert!(
            running.clone().count() as u32 <= most,
            "{server:?} over {most}"
        );
        if ask.class == Class::Batch {
            assert!((batch.count() as u32) < most, "batch on the last slot");
        }
    }

    fn any(&mut self, runs: bool) -> Option<Ticket> {
        let fits = |p: &Place| matches!(p, Place::Running { .. }) == runs;
        let all = self.asks.iter().filter(|(_, (_, p))| fits(p));
        let mut all: Vec<Ticket> = all.map(|(t, _)| *t).collect();
        all.sort_unstable();
        if all.is_empty() {
            return None;
        }
        Some(all[self.rng.random_range(0..all.len())])
    }

    fn end(&mut self) {
        let Some(ticket) = self.any(true) else {
            return;
        };
        let (_, place) = self.asks.remove(&ticket).expect("it was just found");
        let Place::Running { server, since } = place else {
            return;
        };
        let us = (self.now.since(since).0 as u32 + 1) * 1_000;
        let outcome = match self.rng.random_range(0..20) {
            // The model knows no end of a ramp, so no answer of a cold server may bring it.
            _ if self.cold.contains_key(&server) => Outcome::Cancelled,
            0 => Outcome::Shed,
            1 => Outcome::Cancelled,
            _ => Outcome::Answered { us },
        };
        self.queue.done(self.now, server, ticket, outcome);
    }

    fn leave(&mut self) {
        let Some(ticket) = self.any(false) else {
            return;
        };
        assert!(self.queue.cancel(ticket), "it waited");
        self.asks.remove(&ticket);
    }

    fn turn_cold(&mut self) {
        let server = ServerId(self.rng.random_range(0..SERVERS));
        self.queue.set_cold(server);
        if self.slots.contains_key(&server) {
            self.cold.insert(server, true);
        }
    }

    fn change_servers(&mut self) {
        let server = ServerId(self.rng.random_range(0..SERVERS));
        match self.slots.remove(&server) {
            Some(_) => self.queue.remove_server(server),
            None => {
                self.queue.set_server(server, 3);
                self.slots.insert(server, 3);
            }
        }
    }

    fn poll(&mut self) {
        while let Some(action) = self.queue.poll(self.now) {
            match action {
                Action::Send(ticket, server) => {
                    let (ask, place) = self.asks[&ticket];
                    assert_eq!(place, Place::Waiting, "{ticket:?} was sent before");
                    self.sent(ask, server);
                }
                Action::Refuse(ticket, r) => {
                    let (_, place) = self.asks.remove(&ticket).expect("it waited");
                    assert_eq!(place, Place::Waiting, "{ticket:?} was sent and has run");
                    assert_eq!(r.code.run(), "not run");
                }
            }
        }
    }

    /// Nothing waits past its deadline, and the queue counts what the model counts.
    fn check(&mut self) {
        let waits = |p: &Place| *p == Place::Waiting;
        let waiting = self.asks.values().filter(|(_, p)| waits(p));
        assert!(waiting.clone().all(|(a, _)| self.now <= a.deadline));
        let count = waiting.count() as u32;
        assert_eq!(self.queue.load(self.now).waiting, count);
        let wake = self.queue.wake(self.now);
        assert_eq!(wake.is_some(), count > 0);
        assert!(wake.is_none_or(|t| t > self.now));
    }
}

#[test]
fn every_step_keeps_the_limits() {
    for seed in 0..40 {
        let mut model = Model::new(seed);
        for _ in 0..STEPS {
            model.step();
        }
        let idle = model.sent.len() < 3 || model.sent.values().any(|n| *n < 20);
        assert!(!idle, "seed {seed} shows little: {:?}", model.sent);
    }
}

// The load ends, and every request that is left ends too: it is sent, or refused by its deadline.
#[test]
fn nothing_is_left_behind() {
    for seed in 100..120 {
        let mut model = Model::new(seed);
        for _ in 0..STEPS {
            model.step();
        }
        for _ in 0..10_000 {
            model.end();
            model.now = model.queue.wake(model.now).unwrap_or(model.now + Millis(1));
            model.poll();
            if model.asks.is_empty() {
                break;
            }
        }
        assert!(model.asks.is_empty(), "seed {seed}: {:?}", model.asks);
    }
}
