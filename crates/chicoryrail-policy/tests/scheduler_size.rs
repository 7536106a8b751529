//! The one queue in front of many servers: what a word costs the leader.

use std::time::Duration;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_policy::Decision;
use chicoryrail_policy::Placement;
use chicoryrail_policy::Scheduler;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::SlotRelease;
use chicoryrail_policy::SlotRequest;
use chicoryrail_policy::SlotState;
use rstest::rstest;

const SERVERS: u32 = 90;

/// Requests that wait.
const QUEUE: u64 = 75;

/// Words that a service with a thousand requests a second gets in a second.
const WORDS: u64 = 2_000;

/// Longest time for them in a build without optimisation, on a busy machine: with it they take a fiftieth.
/// Before the scheduler worked out all servers once for a whole queue they took 6 s with optimisation and a minute
/// without.
const LIMIT: Duration = Duration::from_secs(8);

fn any(_: u16) -> Placement {
    Placement::Any
}

fn moving(_: u16) -> Placement {
    Placement::Moving
}

fn owner(key: u16) -> Placement {
    Placement::Owner(ServerId(u32::from(key) % SERVERS))
}

/// Ninety servers are full and 75 requests wait: for any of them, for servers of their own, or for keys that
/// change hands. Each word of a host makes the scheduler look at all of them; a leader that needs longer for it
/// than the words take to come is late for every request and loses its lease.
#[rstest]
#[case::for_any(any)]
#[case::for_owners(owner)]
#[case::for_moving_keys(moving)]
fn a_full_desk_of_ninety_servers_keeps_up(#[case] place: fn(u16) -> Placement) {
    let mut scheduler = Scheduler::default();
    for id in 0..SERVERS {
        scheduler.set(Millis(0), ServerId(id), SlotState::open(2));
    }
    let mut play = Play {
        scheduler,
        place: any,
        at: Vec::new(),
    };
    // All slots are taken, and then a queue builds up.
    for _ in 0..u64::from(SERVERS) * 2 + QUEUE {
        play.ask(0);
    }
    play.place = place;
    let started = Instant::now();
    for word in 0..WORDS / 2 {
        let now = word / 10;
        play.ask(now);
        play.end(now, word % u64::from(SERVERS * 2));
        play.leave_some();
    }
    let took = started.elapsed();
    assert!(took < LIMIT, "{took:?}");
}

/// The scheduler, and where each request is, by its ticket.
struct Play {
    scheduler: Scheduler,
    place: fn(u16) -> Placement,
    at: Vec<Option<ServerId>>,
}

impl Play {
    fn ask(&mut self, now: u64) {
        let ticket = self.at.len() as u64;
        self.at.push(None);
        self.scheduler.ask(Millis(now), request(ticket, now));
        self.poll(now);
    }

    fn end(&mut self, now: u64, ticket: u64) {
        if let Some(server) = self.at[ticket as usize] {
            self.scheduler.ended(Millis(now), &end(ticket, server));
        }
        self.poll(now);
    }

    fn poll(&mut self, now: u64) {
        for (ticket, verdict) in self.scheduler.poll(Millis(now), self.place) {
            if let Decision::Send(server) = verdict {
                self.at[ticket as usize] = Some(server);
            }
        }
    }

    /// Keeps the queue at its length.
    fn leave_some(&mut self) {
        let waiting = self.at.iter().enumerate().skip(SERVERS as usize * 2);
        let waiting: Vec<u64> = waiting
            .filter(|(_, at)| at.is_none())
            .map(|(ticket, _)| ticket as u64)
            .collect();
        for ticket in waiting.iter().rev().skip(QUEUE as usize) {
            self.scheduler.leave(*ticket);
        }
    }
}

fn request(ticket: u64, now: u64) -> SlotRequest {
    SlotRequest {
        ticket,
        rank: 1,
        aim: Millis(now + 60_000),
        deadline: Millis(now + 90_000),
        work_us: 100_000.0,
        key: Some((ticket % 65_536) as u16),
        not: Vec::new(),
        near: 0,
        large: false,
    }
}

fn end(ticket: u64, server: ServerId) -> SlotRelease {
    SlotRelease {
        ticket,
        server,
        us: Some(100_000.0),
        failure: None,
        report: None,
    }
}
