//! Scheduling for callers that have time to wait or to return, before and after: how many are served in time, late and
//! not at all.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use chicoryrail_core::Millis;
use chicoryrail_policy::CallerEvents;
use chicoryrail_policy::Decision;
use chicoryrail_policy::Placement;
use chicoryrail_policy::Scheduler;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::ServerStatus;
use chicoryrail_policy::SlotRelease;
use chicoryrail_policy::SlotRequest;
use chicoryrail_policy::retry_after;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SERVERS: u16 = 6;
const SLOTS: u32 = 4;
/// Time relative to a usual server, by server.
const PACES: [f64; SERVERS as usize] = [0.65, 1.0, 1.0, 1.0, 1.0, 1.5];
/// Mean service time at a usual server, in milliseconds.
const WORK_MS: f64 = 190.0;
/// Requests per second that all servers can process.
const CAPACITY: f64 = 4.0 * 1_000.0 / WORK_MS * (1.0 / 0.65 + 4.0 + 1.0 / 1.5);
const KEYS: u16 = 93;
/// First key of the server that owns the hot key.
const HOT_SERVER_KEYS: u16 = 78;
const HOT_KEY: u16 = 92;
const LATENCY_TARGET: u64 = 800;
const ROUTE_TIMEOUT: u64 = 3_000;
/// Latency target and timeout of a route that doesn't tolerate waiting.
const STRICT_TARGET: u64 = 1_200;
const STRICT_TIMEOUT: u64 = 2_400;
/// Time that a caller has in all, and the number of times that it comes back after a refusal.
const CALLER_TIME: u64 = 6_000;
const RETURNS_MAX: u32 = 2;
/// Period of the load, and the number of periods that are simulated.
const PERIOD: u64 = 13_000;
const PERIODS: u64 = 3;

/// Outcomes of the callers.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    in_time: u32,
    late: u32,
    refused: u32,
    /// Requests that were sent, with a response after their deadline.
    unanswered: u32,
    queue_max: usize,
    /// Requests of the route that doesn't tolerate waiting: served in time, and not served.
    strict: (u32, u32),
}

impl Outcomes {
    const fn unserved(&self) -> u32 {
        self.refused + self.unanswered
    }
}

/// A caller with one request.
#[derive(Clone, Copy, Debug)]
struct Caller {
    arrived_at: u64,
    key: u16,
    /// Whether its route doesn't tolerate waiting.
    strict: bool,
    /// Service time relative to the mean.
    work: f64,
    returns: u32,
    /// Deadline of the current attempt.
    deadline: u64,
}

impl Caller {
    /// Returns the latency target and the timeout of its route.
    const fn times(&self) -> (u64, u64) {
        match self.strict {
            true => (STRICT_TARGET, STRICT_TIMEOUT),
            false => (LATENCY_TARGET, ROUTE_TIMEOUT),
        }
    }
}

/// Something that happens at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A server's response to the request with this ticket, with its service time.
    Response(u64, u32, u64),
    /// A refused caller comes back.
    Return(u64),
}

struct Simulation {
    scheduler: Scheduler,
    /// Draws callers, the same ones whatever is decided.
    arrivals: Pcg64Mcg,
    rng: Pcg64Mcg,
    now: u64,
    tolerant: bool,
    keyed: bool,
    /// Fraction of the requests whose route doesn't tolerate waiting.
    strict: f64,
    next_ticket: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    callers: Vec<Caller>,
    /// Caller of each attempt, by ticket.
    attempts: BTreeMap<u64, usize>,
    outcomes: Outcomes,
}

impl Simulation {
    fn new(tolerant: bool, keyed: bool, seed: u64) -> Self {
        Self {
            scheduler: with_servers(Scheduler::default()),
            arrivals: Pcg64Mcg::seed_from_u64(seed),
            rng: Pcg64Mcg::seed_from_u64(seed + 100),
            now: 0,
            tolerant,
            keyed,
            strict: 0.0,
            next_ticket: 0,
            events: BinaryHeap::new(),
            callers: Vec::new(),
            attempts: BTreeMap::new(),
            outcomes: Outcomes::default(),
        }
    }

    fn arrive(&mut self, key: u16) {
        self.callers.push(Caller {
            arrived_at: self.now,
            key,
            strict: self.strict > 0.0 && self.arrivals.random_bool(self.strict),
            work: self.arrivals.random_range(0.2..1.8),
            returns: 0,
            deadline: 0,
        });
        self.attempt(self.callers.len() - 1);
    }

    fn attempt(&mut self, id: usize) {
        let caller = &mut self.callers[id];
        let caller_deadline = caller.arrived_at + CALLER_TIME;
        let (target, timeout) = caller.times();
        caller.deadline = caller_deadline.min(self.now + timeout);
        let request = SlotRequest {
            ticket: self.next_ticket,
            priority: 1,
            // A host learns nothing of a caller's earlier attempts.
            latency_target: Millis(self.now + target),
            deadline: Millis(caller.deadline),
            work_us: WORK_MS * 1_000.0,
            key: self.keyed.then_some(caller.key),
            excluded: Vec::new(),
            dc_index: 0,
            large_response: false,
            tolerates_waiting: self.tolerant && !caller.strict,
            caller_deadline: Millis(caller_deadline),
            // Callers of the hot key have the same address.
            caller: if caller.key == HOT_KEY {
                1
            } else {
                id as u64 + 1
            },
            head: u64::from(caller.key) + 1,
            route: 1,
            body_bytes: 0,
        };
        self.attempts.insert(self.next_ticket, id);
        self.next_ticket += 1;
        self.scheduler.enqueue(Millis(self.now), request);
    }

    /// Advances by a millisecond.
    fn step(&mut self) {
        self.now += 1;
        while let Some(Reverse((at, event))) = self.events.peek().copied() {
            if at > self.now {
                break;
            }
            self.events.pop();
            match event {
                Event::Response(ticket, server, ms) => self.respond(ticket, server, ms),
                Event::Return(id) => self.attempt(id as usize),
            }
        }
        let keyed = self.keyed;
        let owner = |key: u16| Placement::Owner(ServerId(owner(key)));
        let place = |key| if keyed { owner(key) } else { Placement::Any };
        let decisions = self.scheduler.poll(Millis(self.now), place);
        for (ticket, decision) in decisions {
            match decision {
                Decision::Send(server) => {
                    let caller = self.callers[self.attempts[&ticket]];
                    let ms = (WORK_MS * caller.work * PACES[server.0 as usize]) as u64;
                    let event = Event::Response(ticket, server.0, ms);
                    self.events.push(Reverse((self.now + ms, event)));
                }
                Decision::Refuse(after) => self.refuse(ticket, after, false),
                Decision::Return(after) => self.refuse(ticket, after, true),
            }
        }
        self.outcomes.queue_max = self.outcomes.queue_max.max(self.scheduler.queue_length());
    }

    fn respond(&mut self, ticket: u64, server: u32, ms: u64) {
        let end = SlotRelease {
            ticket,
            server: ServerId(server),
            elapsed_us: Some(ms as f64 * 1_000.0),
            failure: None,
            report: None,
        };
        self.scheduler.release(Millis(self.now), &end);
        let caller = self.callers[self.attempts[&ticket]];
        let strict = u32::from(caller.strict);
        match self.now {
            now if now > caller.deadline => {
                self.outcomes.unanswered += 1;
                self.outcomes.strict.1 += strict;
            }
            now if now > caller.arrived_at + caller.times().0 => self.outcomes.late += 1,
            _ => {
                self.outcomes.in_time += 1;
                self.outcomes.strict.0 += strict;
            }
        }
    }

    fn refuse(&mut self, ticket: u64, after: Millis, exactly: bool) {
        let id = self.attempts[&ticket];
        let caller = &mut self.callers[id];
        let caller_left = Millis(caller.arrived_at + CALLER_TIME - self.now);
        if caller.returns == RETURNS_MAX {
            self.outcomes.refused += 1;
            self.outcomes.strict.1 += u32::from(caller.strict);
            return;
        }
        caller.returns += 1;
        let left = Millis(caller.deadline).since(Millis(self.now));
        let after = match exactly {
            true => after.min(Millis(caller_left.0 / 3)),
            false => retry_after(&mut self.rng, after, left),
        };
        self.events
            .push(Reverse((self.now + after.0, Event::Return(id as u64))));
    }

    /// Plays `load`, which returns the number of requests per second of all keys and of key 0 alone at a time within
    /// the period, and then the callers that are left.
    fn play(mut self, load: fn(u64) -> (f64, f64)) -> Outcomes {
        let hot_alone = load(0).1 > 0.0;
        while self.now < PERIOD * PERIODS {
            let (all, hot) = load(self.now % PERIOD);
            if self.arrivals.random_bool(all / 1_000.0) {
                // The leader relieves the owner of a hot key of all other keys.
                let keys = if hot_alone { HOT_SERVER_KEYS } else { KEYS };
                let key = self.arrivals.random_range(0..keys);
                self.arrive(key);
            }
            if self.arrivals.random_bool(hot / 1_000.0) {
                self.arrive(HOT_KEY);
            }
            self.step();
        }
        (0..CALLER_TIME + 1_000).for_each(|_| self.step());
        self.outcomes
    }
}

fn with_servers(mut scheduler: Scheduler) -> Scheduler {
    for id in 0..u32::from(SERVERS) {
        scheduler.update_server(Millis(0), ServerId(id), ServerStatus::warm(SLOTS));
    }
    scheduler
}

/// Returns the owner of a key. Servers own keys in proportion to their capacity, as the leader plans them.
fn owner(key: u16) -> u32 {
    match key {
        0..23 => 0,
        23..33 => 5,
        33..HOT_SERVER_KEYS => 2 + u32::from(key - 33) / 15,
        _ => 1,
    }
}

/// Requests per second over all keys: above the capacity for 6 s of every 13 s.
fn peaks(at: u64) -> (f64, f64) {
    let angle = at as f64 / PERIOD as f64 * std::f64::consts::TAU;
    ((0.96 + 0.55 * angle.sin()) * CAPACITY, 0.0)
}

/// Requests per second at 0.6 of the capacity, and for 4.5 s of every 13 s one key with 2.5 times its owner's capacity.
fn hot_key(at: u64) -> (f64, f64) {
    let owner = f64::from(SLOTS) * 1_000.0 / WORK_MS;
    let hot = if at < 4_500 { 2.5 * owner } else { 0.0 };
    (0.6 * CAPACITY, hot)
}

/// Guards against callers that are refused for good in an overload that is over before their time is. Bursts (peaks) and
/// skew (one key), with fair shares and without. No fewer than before are served in time, and at least half of those that
/// ended without a response get one.
#[rstest]
#[case::peaks(peaks)]
#[case::one_key(hot_key)]
fn callers_with_time_are_served_late_instead_of_refused(
    #[case] load: fn(u64) -> (f64, f64),
    #[values(false, true)] fair: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let before = Simulation::new(false, true, seed).play(load);
    let mut simulation = Simulation::new(true, true, seed);
    if fair {
        simulation.scheduler = with_servers(Scheduler::with_fair_shares());
    }
    let after = simulation.play(load);
    println!("before {before:?}\nafter  {after:?}");
    assert!(after.in_time >= before.in_time, "{before:?} {after:?}");
    assert!(
        after.unserved() * 2 <= before.unserved(),
        "{before:?} {after:?}"
    );
}

/// Guards against a queue for any server that makes all callers wait until they are late. Bursts (peaks) and servers of
/// unequal speed. More callers than before are served in time, and at most two in a hundred of all are not served that
/// were served late before: each slot that a caller in time gets first is one that a late one does not get.
#[rstest]
fn callers_in_time_do_not_wait_behind_late_ones(#[values(1, 2, 3)] seed: u64) {
    let before = Simulation::new(false, false, seed).play(peaks);
    let after = Simulation::new(true, false, seed).play(peaks);
    println!("before {before:?}\nafter  {after:?}");
    let all = after.in_time + after.late + after.unserved();
    assert!(after.in_time > before.in_time, "{before:?} {after:?}");
    assert!(
        after.unserved() <= before.unserved() + all / 50,
        "{before:?} {after:?}"
    );
}

/// Guards against requests of routes that don't tolerate waiting that lose their slots to others that wait longer. Mixed
/// work in load peaks, half of it of such a route: no fewer of them are served in time, and no more are not served.
#[rstest]
fn callers_without_time_to_wait_lose_nothing(
    #[values(false, true)] keyed: bool,
    #[values(1, 2)] seed: u64,
) {
    let run = |tolerant| {
        let mut simulation = Simulation::new(tolerant, keyed, seed);
        simulation.strict = 0.5;
        simulation.play(peaks)
    };
    let (before, after) = (run(false), run(true));
    println!("before {before:?}\nafter  {after:?}");
    assert!(after.strict.0 >= before.strict.0, "{before:?} {after:?}");
    assert!(after.strict.1 <= before.strict.1, "{before:?} {after:?}");
}

/// An owner of keys with one slot, which is taken for a minute, so that all callers are refused.
struct FullOwner {
    scheduler: Scheduler,
    next_ticket: u64,
}

impl FullOwner {
    fn new() -> Self {
        let mut scheduler = Scheduler::default();
        scheduler.update_server(Millis(0), ServerId(0), ServerStatus::warm(1));
        let mut owner = Self {
            scheduler,
            next_ticket: 0,
        };
        let long = SlotRequest {
            work_us: 60_000_000.0,
            deadline: Millis(70_000),
            ..owner.request(0, 0, 70_000)
        };
        assert_eq!(owner.decide(0, long), Some(Decision::Send(ServerId(0))));
        owner
    }

    /// Returns a further request of a caller, with the time until which it retries.
    fn request(&mut self, now: u64, caller: u64, caller_deadline: u64) -> SlotRequest {
        self.next_ticket += 1;
        SlotRequest {
            ticket: self.next_ticket,
            priority: 1,
            latency_target: Millis(now + 800),
            deadline: Millis(caller_deadline.min(now + 3_000)),
            work_us: 190_000.0,
            key: Some(7),
            excluded: Vec::new(),
            dc_index: 0,
            large_response: false,
            tolerates_waiting: true,
            caller_deadline: Millis(caller_deadline),
            caller,
            head: 1,
            route: 1,
            body_bytes: 0,
        }
    }

    /// Enqueues a request, and returns the decision on it.
    fn decide(&mut self, now: u64, request: SlotRequest) -> Option<Decision> {
        let ticket = request.ticket;
        self.scheduler.enqueue(Millis(now), request);
        let owner = |_| Placement::Owner(ServerId(0));
        let decisions = self.scheduler.poll(Millis(now), owner);
        let decision = decisions.into_iter().find(|(t, _)| *t == ticket);
        decision.map(|(_, decision)| decision)
    }

    /// Refuses the first attempt of a caller with 6 s; returns the time of its place.
    fn book(&mut self) -> u64 {
        let first = self.request(1_000, 9, 7_000);
        match self.decide(1_000, first) {
            Some(Decision::Return(after)) => 1_000 + after.0,
            decision => panic!("{decision:?}"),
        }
    }
}

/// Guards against a caller that wastes one of its returns: one that comes too early is told the rest of the time, one
/// that comes in time or later is told a new time, and no time is longer than a third of the time that it has left.
#[rstest]
#[case::too_early(-400, CallerEvents { booked: 1, too_early: 1, ..CallerEvents::default() })]
#[case::early_enough(-100, CallerEvents { booked: 2, honoured: 1, ..CallerEvents::default() })]
#[case::in_time(500, CallerEvents { booked: 2, honoured: 1, ..CallerEvents::default() })]
#[case::late(501, CallerEvents { booked: 2, too_late: 1, ..CallerEvents::default() })]
fn a_caller_that_returns_is_recognised(#[case] offset: i64, #[case] expected: CallerEvents) {
    let mut owner = FullOwner::new();
    let place = owner.book();
    assert!((1_900..=3_000).contains(&place), "{place}");
    let now = place.saturating_add_signed(offset);
    let second = owner.request(now, 9, 7_010);
    let decision = owner.decide(now, second);
    let Some(Decision::Return(after)) = decision else {
        panic!("{decision:?}");
    };
    if expected.too_early > 0 {
        assert_eq!(now + after.0, place);
    }
    assert!(after.0 * 3 <= 7_010 - now, "{after:?}");
    assert_eq!(owner.scheduler.booked_places(), 1);
    assert_eq!(owner.scheduler.take_caller_events(), expected);
}

/// Guards against two callers behind one address that request the same: the second one is not taken for the first one
/// that returns too early.
#[rstest]
fn a_caller_with_another_deadline_is_another_caller(#[values(0, 1, 60, 400)] later: u64) {
    let mut owner = FullOwner::new();
    owner.book();
    let other = owner.request(1_000 + later, 9, 7_000 + later);
    owner.decide(1_000 + later, other);
    assert_eq!(owner.scheduler.booked_places(), 2);
    assert_eq!(owner.scheduler.take_caller_events().too_early, 0);
}

/// Guards against a return that counts twice: the reply is lost, and the host repeats its query.
#[test]
fn a_repeated_query_gets_the_same_place() {
    let mut owner = FullOwner::new();
    let first = owner.request(1_000, 9, 7_000);
    let decision = owner.decide(1_000, first.clone());
    assert!(
        matches!(decision, Some(Decision::Return(_))),
        "{decision:?}"
    );
    assert_eq!(owner.decide(1_000, first), decision);
    assert_eq!(owner.scheduler.take_caller_events().too_early, 0);
}

/// Guards against a calendar that grows without bound in a long overload.
#[test]
fn the_oldest_places_lapse() {
    let mut owner = FullOwner::new();
    for caller in 1..=5_000 {
        let request = owner.request(1_000, caller, 7_000);
        owner.decide(1_000, request);
    }
    assert_eq!(owner.scheduler.booked_places(), 4_096);
    let late = owner.request(8_000, 1, 14_000);
    owner.decide(8_000, late);
    assert_eq!(owner.scheduler.booked_places(), 1);
}

/// Guards against a caller without returns left that is refused although the load may fall: it waits, and leaves the
/// queue when it cancels. The owner gets twice its capacity, and the caller is late from the start.
#[test]
fn a_caller_without_returns_waits() {
    let mut owner = FullOwner::new();
    let end = |ticket| SlotRelease {
        ticket,
        server: ServerId(0),
        elapsed_us: Some(190_000.0),
        failure: None,
        report: None,
    };
    owner.scheduler.release(Millis(0), &end(1));
    let mut running: Option<(u64, u64)> = None;
    let mut decisions = BTreeMap::new();
    let mut attempts = Vec::new();
    for now in 10..9_010_u64 {
        if let Some((ticket, _)) = running.filter(|(_, sent)| now - sent >= 190) {
            owner.scheduler.release(Millis(now), &end(ticket));
            running = None;
        }
        let comes_back = [5_000, 6_500, 8_000].contains(&now);
        if comes_back || now % 95 == 0 {
            let (caller, until) = if comes_back {
                (9, 11_000)
            } else {
                (0, now + 900)
            };
            let mut request = owner.request(now, caller, until);
            if comes_back {
                request.latency_target = Millis(now);
                attempts.push(request.ticket);
            }
            owner.scheduler.enqueue(Millis(now), request);
        }
        let place = |_| Placement::Owner(ServerId(0));
        for (ticket, decision) in owner.scheduler.poll(Millis(now), place) {
            decisions.insert(ticket, decision);
            if matches!(decision, Decision::Send(_)) {
                running = Some((ticket, now));
            }
        }
    }
    let refused = attempts
        .iter()
        .map(|t| matches!(decisions.get(t), Some(Decision::Return(_))));
    assert_eq!(
        refused.collect::<Vec<_>>(),
        [true, true, false],
        "{decisions:?}"
    );
    let waiting = owner.scheduler.queue_length();
    owner.scheduler.withdraw(attempts[2]);
    assert_eq!(owner.scheduler.queue_length(), waiting - 1);
}
