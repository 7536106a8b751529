//! Cost of a message to the scheduler with one queue in front of many servers.

use std::time::Duration;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_policy::Decision;
use chicoryrail_policy::Placement;
use chicoryrail_policy::Scheduler;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::ServerStatus;
use chicoryrail_policy::SlotRelease;
use chicoryrail_policy::SlotRequest;
use rstest::rstest;

const SERVERS: u32 = 90;

/// Number of waiting requests.
const QUEUE_LENGTH: u64 = 75;

/// Number of messages per second of a service with a thousand requests per second.
const MESSAGES: u64 = 2_000;

/// Maximum time for these messages in a build without optimisation on a busy machine; an optimised build takes a
/// fiftieth of it. If the load of all servers is computed for each request instead of once for the queue, they take 6 s
/// with optimisation and a minute without.
const TIME_LIMIT: Duration = Duration::from_secs(8);

fn any(_: u16) -> Placement {
    Placement::Any
}

fn moving(_: u16) -> Placement {
    Placement::Unassigned
}

fn owner(key: u16) -> Placement {
    Placement::Owner(ServerId(u32::from(key) % SERVERS))
}

/// Guards against a scheduler that is slower than its messages arrive: the leader would be late for every request and
/// lose its lease. Ninety servers are full and 75 requests wait, for any server, for the owners of their keys, or for
/// moving keys. Each message makes the scheduler check all of them. They can meet their latency targets, or can't and
/// tolerate waiting.
#[rstest]
#[case::for_any(any)]
#[case::for_owners(owner)]
#[case::for_moving_keys(moving)]
fn a_queue_for_ninety_full_servers_keeps_up(
    #[case] place: fn(u16) -> Placement,
    #[values(false, true)] tolerant: bool,
) {
    let mut scheduler = Scheduler::default();
    for id in 0..SERVERS {
        scheduler.update_server(Millis(0), ServerId(id), ServerStatus::warm(2));
    }
    let mut sim = Simulation {
        scheduler,
        place: any,
        tolerant,
        assigned: Vec::new(),
    };
    // All slots are taken first; then a queue builds up.
    for _ in 0..u64::from(SERVERS) * 2 + QUEUE_LENGTH {
        sim.enqueue(0);
    }
    sim.place = place;
    let started = Instant::now();
    for message in 0..MESSAGES / 2 {
        let now = message / 10;
        sim.enqueue(now);
        sim.end(now, message % u64::from(SERVERS * 2));
        sim.trim_queue();
    }
    let elapsed = started.elapsed();
    assert!(elapsed < TIME_LIMIT, "{elapsed:?}");
}

/// A scheduler, and the server that each request was sent to, indexed by its ticket.
struct Simulation {
    scheduler: Scheduler,
    place: fn(u16) -> Placement,
    /// Whether the requests are late and tolerate waiting.
    tolerant: bool,
    assigned: Vec<Option<ServerId>>,
}

impl Simulation {
    fn enqueue(&mut self, now: u64) {
        let ticket = self.assigned.len() as u64;
        self.assigned.push(None);
        let mut request = request(ticket, now);
        if self.tolerant {
            request.tolerates_waiting = true;
            request.latency_target = Millis(now);
        }
        self.scheduler.enqueue(Millis(now), request);
        self.poll(now);
    }

    fn end(&mut self, now: u64, ticket: u64) {
        if let Some(server) = self.assigned[ticket as usize] {
            self.scheduler.release(Millis(now), &end(ticket, server));
        }
        self.poll(now);
    }

    fn poll(&mut self, now: u64) {
        for (ticket, decision) in self.scheduler.poll(Millis(now), self.place) {
            if let Decision::Send(server) = decision {
                self.assigned[ticket as usize] = Some(server);
            }
        }
    }

    /// Cancels requests, so that the queue keeps its length.
    fn trim_queue(&mut self) {
        let waiting = self.assigned.iter().enumerate().skip(SERVERS as usize * 2);
        let waiting: Vec<u64> = waiting
            .filter(|(_, at)| at.is_none())
            .map(|(ticket, _)| ticket as u64)
            .collect();
        for ticket in waiting.iter().rev().skip(QUEUE_LENGTH as usize) {
            self.scheduler.cancel(*ticket);
        }
    }
}

fn request(ticket: u64, now: u64) -> SlotRequest {
    SlotRequest {
        ticket,
        priority: 1,
        latency_target: Millis(now + 60_000),
        deadline: Millis(now + 90_000),
        work_us: 100_000.0,
        key: Some((ticket % 65_536) as u16),
        excluded: Vec::new(),
        dc_index: 0,
        large_response: false,
        tolerates_waiting: false,
        caller_deadline: Millis::ZERO,
        caller: 0,
        head: 0,
        route: 0,
        body_bytes: 0,
    }
}

fn end(ticket: u64, server: ServerId) -> SlotRelease {
    SlotRelease {
        ticket,
        server,
        elapsed_us: Some(100_000.0),
        failure: None,
        report: None,
    }
}
