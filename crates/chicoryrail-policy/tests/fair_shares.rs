//! Shares of the slots among keys, callers and routes that compete for them.

use std::collections::BTreeMap;

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
const SLOTS: u32 = 4;
const WORK_MS: f64 = 190.0;
/// Requests per second that all servers can process.
const CAPACITY: f64 = 84.0;

/// Requests of one group of callers.
#[derive(Clone, Copy, Debug)]
struct Group {
    /// Requests per second.
    rate: f64,
    /// Number of addresses that the requests come from.
    callers: u64,
    /// Number of keys.
    keys: u16,
    /// Hash of the route's name; 0 for orders.
    route: u64,
}

/// Many callers with a small part of the load.
const MANY: Group = Group {
    rate: 0.3 * CAPACITY,
    callers: 50,
    keys: 40,
    route: 1,
};

/// One address that sends more than the servers can process.
const ONE_CALLER: Group = Group {
    rate: 1.5 * CAPACITY,
    callers: 1,
    ..MANY
};

/// One key that is requested more often than the servers can process.
const ONE_KEY: Group = Group {
    rate: 1.5 * CAPACITY,
    callers: 1_000,
    keys: 1,
    route: 1,
};

/// A route that is called more often than the servers can process.
const ONE_ROUTE: Group = Group {
    rate: 1.5 * CAPACITY,
    callers: 1_000,
    keys: 40,
    route: 2,
};

/// Requests that run at most once.
const ORDERS: Group = Group {
    route: 0,
    ..ONE_ROUTE
};

const NONE: Group = Group { rate: 0.0, ..MANY };

/// Outcomes of one group.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    sent: u32,
    in_time: u32,
    applied: u64,
}

impl Outcomes {
    fn fraction_in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent)
    }
}

/// Plays two groups at the same servers for 20 s; refused callers don't come back.
fn play(groups: [Group; 2], fair: bool, seed: u64) -> [Outcomes; 2] {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut scheduler = match fair {
        true => Scheduler::with_fair_shares(),
        false => Scheduler::default(),
    };
    for id in 0..SERVERS {
        scheduler.update_server(Millis(0), ServerId(id), ServerStatus::warm(SLOTS));
    }
    let mut outcomes = [Outcomes::default(); 2];
    let mut arrivals: Vec<(usize, u64, u64)> = Vec::new();
    let mut ends: BTreeMap<(u64, u64), ServerId> = BTreeMap::new();
    for now in 0..20_000 {
        while let Some(entry) = ends.first_entry().filter(|e| e.key().0 <= now) {
            let ((_, ticket), server) = entry.remove_entry();
            let (group, arrived_at, work_ms) = arrivals[ticket as usize];
            let end = SlotRelease {
                ticket,
                server,
                elapsed_us: Some(work_ms as f64 * 1_000.0),
                failure: None,
                report: None,
            };
            scheduler.release(Millis(now), &end);
            outcomes[group].in_time += u32::from(now - arrived_at <= 800);
        }
        for (number, group) in groups.iter().enumerate() {
            if rng.random_bool(group.rate / 1_000.0) {
                let work_ms = (WORK_MS * rng.random_range(0.2..1.8)) as u64;
                let ticket = arrivals.len() as u64;
                arrivals.push((number, now, work_ms));
                outcomes[number].sent += 1;
                scheduler.enqueue(
                    Millis(now),
                    SlotRequest {
                        ticket,
                        priority: 1,
                        latency_target: Millis(now + 800),
                        deadline: Millis(now + 3_000),
                        work_us: WORK_MS * 1_000.0,
                        // The groups have different keys and callers.
                        key: Some(number as u16 * 100 + rng.random_range(0..group.keys)),
                        excluded: Vec::new(),
                        dc_index: 0,
                        large_response: false,
                        tolerates_waiting: true,
                        caller_deadline: Millis(now + 6_000),
                        caller: number as u64 * 10_000 + rng.random_range(1..=group.callers),
                        head: ticket + 1,
                        route: group.route,
                        body_bytes: 0,
                    },
                );
            }
        }
        for (ticket, decision) in scheduler.poll(Millis(now), |_| Placement::Any) {
            if let Decision::Send(server) = decision {
                ends.insert((now + arrivals[ticket as usize].2, ticket), server);
            }
        }
    }
    outcomes[0].applied = scheduler.take_caller_events().shares_applied;
    outcomes
}

/// Guards against one caller, key or route whose requests make those of others late. Saturation: it alone sends 1.5
/// times what the servers can process, the others 0.3 times. Of the others at least nine tenths of those that would be
/// served in time without it are, and in all at most a twentieth fewer than without shares.
#[rstest]
#[case::caller(ONE_CALLER)]
#[case::key(ONE_KEY)]
#[case::route(ONE_ROUTE)]
fn callers_within_their_share_are_served_in_time(#[case] heavy: Group, #[values(1, 2)] seed: u64) {
    let before = play([heavy, MANY], false, seed);
    let after = play([heavy, MANY], true, seed);
    let [_, alone] = play([NONE, MANY], false, seed);
    println!("before {before:?}\nafter  {after:?}\nalone  {alone:?}");
    assert!(
        after[1].fraction_in_time() >= alone.fraction_in_time() * 0.9,
        "{after:?} {alone:?}"
    );
    let total = |outcomes: [Outcomes; 2]| outcomes[0].in_time + outcomes[1].in_time;
    assert!(
        total(after) * 20 >= total(before) * 19,
        "{before:?} {after:?}"
    );
    assert!(after[0].applied > 0 && before[0].applied == 0);
}

/// Guards against slots that stay free for callers that want none. Saturation by one caller alone, or by many alike: as
/// many are served in time as without shares.
#[rstest]
#[case::one_caller(ONE_CALLER)]
#[case::many(ONE_ROUTE)]
fn unused_shares_are_lent(#[case] group: Group, #[values(1, 2)] seed: u64) {
    let before = play([group, NONE], false, seed);
    let after = play([group, NONE], true, seed);
    assert!(
        after[0].in_time * 100 >= before[0].in_time * 97,
        "{before:?} {after:?}"
    );
}

/// Guards against orders that are served less often than reads of the same service. Mixed work at saturation: orders are
/// the larger part, or the smaller one.
#[rstest]
#[case::more_orders(ORDERS, MANY)]
#[case::fewer_orders(Group { route: 0, ..MANY }, ONE_ROUTE)]
fn orders_are_served_no_less_than_reads(
    #[case] orders: Group,
    #[case] reads: Group,
    #[values(1, 2)] seed: u64,
) {
    let [orders, reads] = play([orders, reads], true, seed);
    assert!(
        orders.fraction_in_time() >= reads.fraction_in_time() * 0.95,
        "{orders:?} {reads:?}"
    );
}
