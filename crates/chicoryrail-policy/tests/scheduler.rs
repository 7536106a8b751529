//! The one queue in front of a service's servers, under load.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use chicoryrail_core::Millis;
use chicoryrail_policy::Decision;
use chicoryrail_policy::Failure;
use chicoryrail_policy::Placement;
use chicoryrail_policy::Scheduler;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::SlotRelease;
use chicoryrail_policy::SlotRequest;
use chicoryrail_policy::SlotState;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SLOTS: u32 = 2;

fn scheduler(servers: u32) -> Scheduler {
    let mut scheduler = Scheduler::default();
    for id in 0..servers {
        scheduler.set(Millis(0), ServerId(id), SlotState::open(SLOTS));
    }
    scheduler
}

fn ask(ticket: u64, now: u64, aim: u64, left: u64) -> SlotRequest {
    SlotRequest {
        ticket,
        rank: 1,
        aim: Millis(now + aim),
        deadline: Millis(now + left),
        work_us: 100_000.0,
        key: None,
        not: Vec::new(),
        near: 0,
        large: false,
    }
}

fn any(_: u16) -> Placement {
    Placement::Any
}

fn end(ticket: u64, server: ServerId, us: f64) -> SlotRelease {
    SlotRelease {
        ticket,
        server,
        us: Some(us),
        failure: None,
        report: None,
    }
}

/// What callers got in a simulated run.
#[derive(Debug, Default)]
struct Got {
    in_aim: u32,
    late: u32,
    refused: u32,
    unanswered: u32,
    /// Milliseconds in which requests waited beside an idle server.
    idle_beside: u32,
}

/// Plays `per_s` requests a second at servers of the given speeds (a higher one takes longer) for ten
/// seconds. Work is 100 ms on average, the aim 300 ms, the caller's time 800 ms.
fn play(speeds: &[f64], per_s: f64, seed: u64) -> Got {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut scheduler = scheduler(speeds.len() as u32);
    let mut got = Got::default();
    let mut ends: BinaryHeap<Reverse<(u64, u64, u32, u64)>> = BinaryHeap::new();
    let mut started = HashMap::new();
    let mut load = vec![0_u32; speeds.len()];
    let mut ticket = 0;
    for now in 0..10_000_u64 {
        while let Some(Reverse((at, t, server, us))) = ends.peek().copied() {
            if at > now {
                break;
            }
            ends.pop();
            load[server as usize] -= 1;
            scheduler.ended(Millis(now), &end(t, ServerId(server), us as f64));
            let born: u64 = started[&t];
            match now - born {
                ..=300 => got.in_aim += 1,
                301..=800 => got.late += 1,
                _ => got.unanswered += 1,
            }
        }
        if rng.random_bool(per_s / 1_000.0) {
            ticket += 1;
            started.insert(ticket, now);
            scheduler.ask(Millis(now), ask(ticket, now, 300, 800));
        }
        for (t, verdict) in scheduler.poll(Millis(now), any) {
            match verdict {
                Decision::Send(server) => {
                    load[server.0 as usize] += 1;
                    assert!(load[server.0 as usize] <= SLOTS);
                    let ms = rng.random_range(40.0..160.0) * speeds[server.0 as usize];
                    let at = now + ms as u64;
                    ends.push(Reverse((at, t, server.0, (ms * 1_000.0) as u64)));
                }
                Decision::Refuse(_) => got.refused += 1,
            }
        }
        let idle = load.iter().filter(|l| **l == 0).count();
        // With one server four times as fast as the others, up to some eight may rightly wait for it.
        got.idle_beside += u32::from(scheduler.waiting() > 8 && idle > 0);
    }
    got
}

/// Load: 60 % of what four servers of differing speed can do. Nearly all callers get their answer within the
/// aim, and nobody is refused.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn at_moderate_load_nearly_all_are_served_in_time(#[case] seed: u64) {
    let got = play(&[0.6, 1.0, 1.0, 1.4], 50.0, seed);
    let all = got.in_aim + got.late + got.refused + got.unanswered;
    assert!(f64::from(got.in_aim) > f64::from(all) * 0.97, "{got:?}");
    assert_eq!((got.refused, got.unanswered), (0, 0), "{got:?}");
}

/// Load: a fast and some slow servers, and a queue. Each request by itself would be answered sooner by
/// waiting for the fast one; did all do so, they would queue beside the idle slow ones, be refused, and
/// most of the service's capacity would stand unused.
#[rstest]
#[case(&[0.6, 1.4, 1.4, 1.4], 1)]
#[case(&[0.5, 2.0, 2.0, 2.0], 2)]
fn a_queue_does_not_wait_beside_idle_servers(#[case] speeds: &[f64], #[case] seed: u64) {
    let got = play(speeds, 70.0, seed);
    assert!(got.idle_beside < 100, "{got:?}");
}

/// Load: 1.5 and 3 times what the servers can do. What is served is about what they can do, most of it
/// within the aim; what can't be served is refused, and few of those that got a slot are answered too late
/// for their caller.
#[rstest]
#[case(120.0, 1)]
#[case(240.0, 2)]
fn under_overload_the_servers_work_for_callers_that_still_wait(
    #[case] per_s: f64,
    #[case] seed: u64,
) {
    let got = play(&[1.0, 1.0, 1.0, 1.0], per_s, seed);
    let served = got.in_aim + got.late;
    assert!(served > 700, "{got:?}");
    assert!(got.in_aim * 2 > served, "{got:?}");
    assert!(got.unanswered * 20 < served, "{got:?}");
}

/// A burst of 60 requests meets 8 slots. Those that can't be served are refused in the same moment, not
/// when their time is nearly over, and are told when to return.
#[test]
fn a_burst_is_refused_at_once_where_it_has_no_prospect() {
    let mut scheduler = scheduler(4);
    for ticket in 1..=60 {
        scheduler.ask(Millis(10), ask(ticket, 10, 300, 400));
    }
    let verdicts = scheduler.poll(Millis(10), any);
    let is_send = |v: &&(u64, Decision)| matches!(v.1, Decision::Send(_));
    assert_eq!(verdicts.iter().filter(is_send).count(), 8);
    let refused: Vec<_> = verdicts.iter().filter(|v| !is_send(v)).collect();
    assert!(refused.len() >= 20, "{}", refused.len());
    let soon = |v: &&&(u64, Decision)| v.1 == Decision::Refuse(Millis::ZERO);
    assert_eq!(refused.iter().filter(soon).count(), 0);
}

/// Requests of rank 0 and rank 2 wait for the same slots: the urgent ones go first, and one that can no
/// longer meet its aim goes after those that can.
#[test]
fn who_can_still_meet_the_aim_goes_first_by_rank() {
    let mut scheduler = scheduler(1);
    scheduler.ask(Millis(0), ask(1, 0, 300, 800));
    scheduler.ask(Millis(0), ask(2, 0, 300, 800));
    assert_eq!(scheduler.poll(Millis(0), any).len(), 2);
    let with_rank = |ticket, rank, aim| SlotRequest {
        rank,
        ..ask(ticket, 0, aim, 800)
    };
    scheduler.ask(Millis(1), with_rank(3, 2, 400));
    scheduler.ask(Millis(1), with_rank(4, 0, 500));
    scheduler.ask(Millis(1), with_rank(5, 0, 50));
    assert!(scheduler.poll(Millis(1), any).is_empty());
    let mut order = Vec::new();
    for (at, done) in [(90, 1), (100, 2), (190, 4), (200, 3)] {
        scheduler.ended(Millis(at), &end(done, ServerId(0), 90_000.0));
        order.extend(scheduler.poll(Millis(at), any).into_iter().map(|(t, _)| t));
    }
    assert_eq!(order, [4, 3, 5]);
}

/// The word of a verdict is lost and the host asks again: it gets the same server, and holds one slot.
#[test]
fn a_host_that_asks_again_gets_the_same_slot() {
    let mut scheduler = scheduler(2);
    assert_eq!(scheduler.ask(Millis(0), ask(1, 0, 300, 800)), None);
    let verdicts = scheduler.poll(Millis(0), any);
    let [(1, Decision::Send(server))] = verdicts[..] else {
        panic!("{verdicts:?}");
    };
    assert_eq!(scheduler.ask(Millis(20), ask(1, 0, 300, 780)), Some(server));
    assert_eq!((scheduler.filled().0, scheduler.waiting()), (1, 0));
}

/// A host dies with requests at a server: nobody tells their end. Their slots are free again when the
/// callers' time is over.
#[test]
fn slots_of_a_lost_host_come_back() {
    let mut scheduler = scheduler(1);
    scheduler.ask(Millis(0), ask(1, 0, 300, 800));
    scheduler.ask(Millis(0), ask(2, 0, 300, 800));
    scheduler.poll(Millis(0), any);
    scheduler.ask(Millis(700), ask(3, 700, 600, 1_500));
    assert!(scheduler.poll(Millis(700), any).is_empty());
    assert_eq!(scheduler.poll(Millis(1_101), any).len(), 1);
}

/// A key changes hands while its requests wait: they go to the new owner, and to nobody in between.
#[test]
fn requests_of_a_moving_key_wait_for_its_owner() {
    let mut scheduler = scheduler(2);
    let keyed = SlotRequest {
        key: Some(7),
        ..ask(1, 0, 300, 800)
    };
    scheduler.ask(Millis(0), keyed);
    assert!(scheduler.poll(Millis(0), |_| Placement::Moving).is_empty());
    let verdicts = scheduler.poll(Millis(40), |_| Placement::Owner(ServerId(1)));
    assert_eq!(verdicts, [(1, Decision::Send(ServerId(1)))]);
}

/// A server is cold and bears few requests a second: of a flood, the scheduler lets its part through, and none in
/// the first second after it took over, as it does not know what others sent.
#[test]
fn a_cold_server_gets_its_part() {
    let mut scheduler = Scheduler::default();
    let cold = SlotState {
        cold_until: Millis(10_000),
        cold_bound: 12.95,
        ..SlotState::open(50)
    };
    scheduler.set(Millis(0), ServerId(0), cold);
    let mut sent = Vec::new();
    for now in 0..4_000 {
        scheduler.ask(Millis(now), ask(now + 1, now, 300, 800));
        for (ticket, verdict) in scheduler.poll(Millis(now), any) {
            if verdict == Decision::Send(ServerId(0)) {
                sent.push(now);
                scheduler.ended(Millis(now), &end(ticket, ServerId(0), 1_000.0));
            }
        }
    }
    assert!(sent.iter().all(|t| *t >= 1_000));
    for t in &sent {
        let window = sent.iter().filter(|s| (*t..*t + 1_000).contains(*s));
        assert!(window.count() <= 8);
    }
    assert!(sent.len() >= 14, "{}", sent.len());
}

/// A server fails half of what it gets. It gets little while the others have room.
#[test]
fn a_failing_server_is_spared() {
    let mut scheduler = scheduler(3);
    let mut count = [0; 3];
    for now in 0..300_u64 {
        let now = now * 20;
        scheduler.ask(Millis(now), ask(now + 1, now, 300, 800));
        for (ticket, verdict) in scheduler.poll(Millis(now), any) {
            if let Decision::Send(server) = verdict {
                count[server.0 as usize] += 1;
                let bad = server.0 == 0 && count[0] % 2 == 0;
                let end = SlotRelease {
                    failure: bad.then_some(Failure::Error),
                    ..end(ticket, server, 100_000.0)
                };
                scheduler.ended(Millis(now + 10), &end);
            }
        }
    }
    assert!(count[0] < 60, "{count:?}");
}

/// Servers of two data centres are alike and have room: a request stays in its own. When that one is full,
/// it goes to the other at once.
#[test]
fn a_request_stays_in_its_data_centre_while_there_is_room() {
    let mut scheduler = Scheduler::default();
    for id in 0..4 {
        let near = id % 2;
        scheduler.set(
            Millis(0),
            ServerId(id),
            SlotState {
                near,
                ..SlotState::open(SLOTS)
            },
        );
    }
    let mut count = [0; 2];
    for ticket in 1..=6 {
        let near = SlotRequest {
            near: 1,
            large: false,
            ..ask(ticket, 0, 300, 800)
        };
        scheduler.ask(Millis(0), near);
        for (_, verdict) in scheduler.poll(Millis(0), any) {
            if let Decision::Send(server) = verdict {
                count[server.0 as usize % 2] += 1;
            }
        }
    }
    assert_eq!(count, [2, 4]);
}
