//! Scheduling of one service's requests with one hot key, or with callers that retry at once.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use chicoryrail_core::Millis;
use chicoryrail_policy::Decision;
use chicoryrail_policy::Placement;
use chicoryrail_policy::Scheduler;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::ServerStatus;
use chicoryrail_policy::SlotRelease;
use chicoryrail_policy::SlotRequest;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SERVERS: u32 = 4;

/// Work of each request in milliseconds, in one of two slots: a server processes 25 requests per second.
const WORK_MS: u64 = 80;

/// Time until a caller's deadline, in milliseconds.
const TIMEOUT_MS: u64 = 800;

/// Outcomes of one kind of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    sent: u32,
    served: u32,
    on_time: u32,
    refused: u32,
    /// Requests refused more than 50 ms after their arrival.
    refused_late: u32,
}

/// Four servers, each the owner of a quarter of the keys, and the requests in flight at them.
struct Simulation {
    scheduler: Scheduler,
    now: u64,
    next_ticket: u64,
    /// Requests in flight: time of the end, ticket and server.
    ends: BinaryHeap<Reverse<(u64, u64, u32)>>,
    /// Key and arrival time of each request, indexed by its ticket.
    requests: Vec<(u16, u64)>,
}

impl Simulation {
    fn new() -> Self {
        let mut scheduler = Scheduler::default();
        for id in 0..SERVERS {
            scheduler.update_server(Millis(0), ServerId(id), ServerStatus::warm(2));
        }
        Self {
            scheduler,
            now: 0,
            next_ticket: 0,
            ends: BinaryHeap::new(),
            requests: Vec::new(),
        }
    }

    fn enqueue(&mut self, key: u16) {
        let request = SlotRequest {
            ticket: self.next_ticket,
            priority: 1,
            latency_target: Millis(self.now + 300),
            deadline: Millis(self.now + TIMEOUT_MS),
            work_us: WORK_MS as f64 * 1_000.0,
            key: Some(key),
            excluded: Vec::new(),
            dc_index: 0,
            large_response: false,
            tolerates_waiting: false,
            caller_deadline: Millis::ZERO,
            caller: 0,
            head: 0,
            route: 0,
            body_bytes: 0,
        };
        self.next_ticket += 1;
        self.requests.push((key, self.now));
        self.scheduler.enqueue(Millis(self.now), request);
    }

    /// Advances by a millisecond; returns the requests that ended: key, arrival time, and whether they were served.
    fn step(&mut self) -> Vec<(u16, u64, bool)> {
        let mut ended = Vec::new();
        self.now += 1;
        while let Some(Reverse((at, ticket, server))) = self.ends.peek().copied() {
            if at > self.now {
                break;
            }
            self.ends.pop();
            let end = SlotRelease {
                ticket,
                server: ServerId(server),
                elapsed_us: Some(WORK_MS as f64 * 1_000.0),
                failure: None,
                report: None,
            };
            self.scheduler.release(Millis(self.now), &end);
            let (key, arrived_at) = self.requests[ticket as usize];
            ended.push((key, arrived_at, true));
        }
        let owner = |key: u16| Placement::Owner(ServerId(u32::from(key) % SERVERS));
        for (ticket, decision) in self.scheduler.poll(Millis(self.now), owner) {
            let (key, arrived_at) = self.requests[ticket as usize];
            match decision {
                Decision::Send(server) => {
                    self.ends
                        .push(Reverse((self.now + WORK_MS, ticket, server.0)));
                }
                Decision::Refuse(_) | Decision::Return(_) => ended.push((key, arrived_at, false)),
            }
        }
        ended
    }

    fn count(&self, outcomes: &mut Outcomes, arrived_at: u64, served: bool) {
        let elapsed = self.now - arrived_at;
        if served {
            outcomes.served += 1;
            outcomes.on_time += u32::from(elapsed <= 300);
        } else {
            outcomes.refused += 1;
            outcomes.refused_late += u32::from(elapsed > 50);
        }
    }
}

/// Guards against a hot key that delays others. One key gets three times the capacity of its server; the keys of the
/// other servers get 60 % of theirs. Requests for other servers are not affected, the hot key's server is always busy,
/// and most requests that it can't serve are refused at once, so that their callers can retry elsewhere.
#[rstest]
#[case(1)]
#[case(2)]
fn a_hot_key_does_not_delay_callers_of_other_servers(#[case] seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut sim = Simulation::new();
    let (mut hot, mut others) = (Outcomes::default(), Outcomes::default());
    for _ in 0..10_000 {
        if rng.random_bool(75.0 / 1_000.0) {
            hot.sent += 1;
            sim.enqueue(0);
        }
        if rng.random_bool(45.0 / 1_000.0) {
            others.sent += 1;
            sim.enqueue(rng.random_range(1..SERVERS as u16));
        }
        for (key, arrived_at, served) in sim.step() {
            let outcomes = if key == 0 { &mut hot } else { &mut others };
            sim.count(outcomes, arrived_at, served);
        }
    }
    assert!(others.on_time * 100 > others.sent * 95, "{others:?}");
    assert!(hot.served > 235, "{hot:?}");
    assert!(hot.refused_late * 4 < hot.refused, "{hot:?}");
}

/// Guards against retries that displace requests that have a slot or can still get one in time. The servers get 1.2
/// times their capacity, and a refused caller retries within the same millisecond in three of four cases. The number of
/// served requests stays within a tenth of that without retries.
#[rstest]
#[case(1)]
#[case(2)]
fn immediate_retries_do_not_displace_other_callers(#[case] seed: u64) {
    let run = |retry_chance: f64| {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut sim = Simulation::new();
        let mut outcomes = Outcomes::default();
        for _ in 0..10_000 {
            if rng.random_bool(120.0 / 1_000.0) {
                sim.enqueue(rng.random_range(0..SERVERS as u16));
            }
            for (key, arrived_at, served) in sim.step() {
                sim.count(&mut outcomes, arrived_at, served);
                if !served && rng.random_bool(retry_chance) {
                    sim.enqueue(key);
                }
            }
        }
        outcomes
    };
    let (baseline, retrying) = (run(0.0), run(0.75));
    assert!(
        retrying.refused > baseline.refused * 2,
        "{baseline:?} {retrying:?}"
    );
    assert!(
        retrying.served * 10 >= baseline.served * 9,
        "{baseline:?} {retrying:?}"
    );
    assert!(
        retrying.on_time * 10 >= baseline.on_time * 9,
        "{baseline:?} {retrying:?}"
    );
}
