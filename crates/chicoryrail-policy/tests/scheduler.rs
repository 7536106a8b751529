//! Scheduling of one service's requests under load.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use chicoryrail_core::Millis;
use chicoryrail_policy::Decision;
use chicoryrail_policy::Failure;
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

const SLOTS: u32 = 2;

fn scheduler(servers: u32) -> Scheduler {
    let mut scheduler = Scheduler::default();
    for id in 0..servers {
        scheduler.update_server(Millis(0), ServerId(id), ServerStatus::warm(SLOTS));
    }
    scheduler
}

fn request(ticket: u64, now: u64, latency_ms: u64, time_ms: u64) -> SlotRequest {
    SlotRequest {
        ticket,
        priority: 1,
        latency_target: Millis(now + latency_ms),
        deadline: Millis(now + time_ms),
        work_us: 100_000.0,
        key: None,
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

fn any(_: u16) -> Placement {
    Placement::Any
}

fn end(ticket: u64, server: ServerId, us: f64) -> SlotRelease {
    SlotRelease {
        ticket,
        server,
        elapsed_us: Some(us),
        failure: None,
        report: None,
    }
}

/// Outcomes of the requests of a simulation.
#[derive(Debug, Default)]
struct Outcomes {
    on_time: u32,
    late: u32,
    refused: u32,
    /// Responses after the deadline.
    unanswered: u32,
    /// Milliseconds in which requests waited although a server was idle.
    idle_ms: u32,
}

/// Simulates `per_s` requests per second for ten seconds at servers of the given slowness (a higher one takes longer).
/// The mean work is 100 ms, the latency target 300 ms, and the deadline 800 ms.
fn simulate(slowness: &[f64], per_s: f64, seed: u64) -> Outcomes {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut scheduler = scheduler(slowness.len() as u32);
    let mut outcomes = Outcomes::default();
    let mut ends: BinaryHeap<Reverse<(u64, u64, u32, u64)>> = BinaryHeap::new();
    let mut started = HashMap::new();
    let mut load = vec![0_u32; slowness.len()];
    let mut ticket = 0;
    for now in 0..10_000_u64 {
        while let Some(Reverse((at, t, server, us))) = ends.peek().copied() {
            if at > now {
                break;
            }
            ends.pop();
            load[server as usize] -= 1;
            scheduler.release(Millis(now), &end(t, ServerId(server), us as f64));
            let arrived_at: u64 = started[&t];
            match now - arrived_at {
                ..=300 => outcomes.on_time += 1,
                301..=800 => outcomes.late += 1,
                _ => outcomes.unanswered += 1,
            }
        }
        if rng.random_bool(per_s / 1_000.0) {
            ticket += 1;
            started.insert(ticket, now);
            scheduler.enqueue(Millis(now), request(ticket, now, 300, 800));
        }
        for (t, decision) in scheduler.poll(Millis(now), any) {
            match decision {
                Decision::Send(server) => {
                    load[server.0 as usize] += 1;
                    assert!(load[server.0 as usize] <= SLOTS);
                    let ms = rng.random_range(40.0..160.0) * slowness[server.0 as usize];
                    let at = now + ms as u64;
                    ends.push(Reverse((at, t, server.0, (ms * 1_000.0) as u64)));
                }
                Decision::Refuse(_) | Decision::Return(_) => outcomes.refused += 1,
            }
        }
        let idle = load.iter().filter(|l| **l == 0).count();
        // With one server four times as fast as the others, up to about eight requests may be right to wait.
        outcomes.idle_ms += u32::from(scheduler.queue_length() > 8 && idle > 0);
    }
    outcomes
}

/// Guards against late responses at 60 % of the capacity of four servers of different slowness: nearly all requests
/// meet the latency target and none is refused.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn nearly_all_requests_meet_the_latency_target_at_moderate_load(#[case] seed: u64) {
    let outcomes = simulate(&[0.6, 1.0, 1.0, 1.4], 50.0, seed);
    let total = outcomes.on_time + outcomes.late + outcomes.refused + outcomes.unanswered;
    assert!(
        f64::from(outcomes.on_time) > f64::from(total) * 0.97,
        "{outcomes:?}"
    );
    assert_eq!(
        (outcomes.refused, outcomes.unanswered),
        (0, 0),
        "{outcomes:?}"
    );
}

/// Guards against a queue in front of idle servers. With one fast and some slow servers, each single request would
/// finish earlier by waiting for the fast one. If all did so, they would queue while the slow servers are idle, be
/// refused, and leave most of the capacity unused.
#[rstest]
#[case(&[0.6, 1.4, 1.4, 1.4], 1)]
#[case(&[0.5, 2.0, 2.0, 2.0], 2)]
fn a_queue_uses_idle_servers(#[case] slowness: &[f64], #[case] seed: u64) {
    let outcomes = simulate(slowness, 70.0, seed);
    assert!(outcomes.idle_ms < 100, "{outcomes:?}");
}

/// Guards against wasted work at 1.5 and 3 times the capacity: the servers work at about their capacity, most responses
/// meet the latency target, the other requests are refused, and few requests with a slot get their response after the
/// deadline.
#[rstest]
#[case(120.0, 1)]
#[case(240.0, 2)]
fn overloaded_servers_work_for_callers_that_still_wait(#[case] per_s: f64, #[case] seed: u64) {
    let outcomes = simulate(&[1.0, 1.0, 1.0, 1.0], per_s, seed);
    let served = outcomes.on_time + outcomes.late;
    assert!(served > 700, "{outcomes:?}");
    assert!(outcomes.on_time * 2 > served, "{outcomes:?}");
    assert!(outcomes.unanswered * 20 < served, "{outcomes:?}");
}

/// Guards against late refusals: a burst of 60 requests arrives at 8 slots. Those that can't be served are refused at
/// once, not at the end of their time, and with a time after which to retry.
#[test]
fn requests_of_a_burst_that_cannot_be_served_are_refused_at_once() {
    let mut scheduler = scheduler(4);
    for ticket in 1..=60 {
        scheduler.enqueue(Millis(10), request(ticket, 10, 300, 400));
    }
    let decisions = scheduler.poll(Millis(10), any);
    let is_send = |v: &&(u64, Decision)| matches!(v.1, Decision::Send(_));
    assert_eq!(decisions.iter().filter(is_send).count(), 8);
    let refused: Vec<_> = decisions.iter().filter(|v| !is_send(v)).collect();
    assert!(refused.len() >= 20, "{}", refused.len());
    let without_delay = |v: &&&(u64, Decision)| v.1 == Decision::Refuse(Millis::ZERO);
    assert_eq!(refused.iter().filter(without_delay).count(), 0);
}

/// Guards against a wrong queue order: priorities 0 and 2 wait for the same slots. The urgent request goes first, and
/// one that can no longer meet its latency target goes last.
#[test]
fn requests_that_meet_their_latency_target_go_first_by_priority() {
    let mut scheduler = scheduler(1);
    scheduler.enqueue(Millis(0), request(1, 0, 300, 800));
    scheduler.enqueue(Millis(0), request(2, 0, 300, 800));
    assert_eq!(scheduler.poll(Millis(0), any).len(), 2);
    let with_priority = |ticket, priority, latency_ms| SlotRequest {
        priority,
        ..request(ticket, 0, latency_ms, 800)
    };
    scheduler.enqueue(Millis(1), with_priority(3, 2, 400));
    scheduler.enqueue(Millis(1), with_priority(4, 0, 500));
    scheduler.enqueue(Millis(1), with_priority(5, 0, 50));
    assert!(scheduler.poll(Millis(1), any).is_empty());
    let mut order = Vec::new();
    for (at, done) in [(90, 1), (100, 2), (190, 4), (200, 3)] {
        scheduler.release(Millis(at), &end(done, ServerId(0), 90_000.0));
        order.extend(scheduler.poll(Millis(at), any).into_iter().map(|(t, _)| t));
    }
    assert_eq!(order, [4, 3, 5]);
}

/// Guards against a slot that is assigned twice: the reply is lost and the host repeats its query.
#[test]
fn a_repeated_query_gets_the_same_slot() {
    let mut scheduler = scheduler(2);
    assert_eq!(scheduler.enqueue(Millis(0), request(1, 0, 300, 800)), None);
    let decisions = scheduler.poll(Millis(0), any);
    let [(1, Decision::Send(server))] = decisions[..] else {
        panic!("{decisions:?}");
    };
    assert_eq!(
        scheduler.enqueue(Millis(20), request(1, 0, 300, 780)),
        Some(server)
    );
    assert_eq!((scheduler.occupancy().0, scheduler.queue_length()), (1, 0));
}

/// Guards against a request that waits for longer than its host, which was told to stop, has left: the repeated query says
/// so, and the request is refused at once.
#[rstest]
#[case::enough_time(500, None)]
#[case::too_little_time(50, Some(2))]
#[case::more_time_changes_nothing(2_000, None)]
fn a_repeated_query_shortens_the_time_of_a_request(
    #[case] left: u64,
    #[case] refused: Option<u64>,
) {
    let mut scheduler = scheduler(1);
    let waiting = |now, time| SlotRequest {
        tolerates_waiting: true,
        caller_deadline: Millis(1_000),
        ..request(2, now, 300, time)
    };
    for ticket in [10, 11] {
        scheduler.enqueue(Millis(0), request(ticket, 0, 300, 800));
    }
    scheduler.enqueue(Millis(0), waiting(0, 800));
    assert_eq!(scheduler.poll(Millis(0), any).len(), 2);
    assert_eq!(scheduler.enqueue(Millis(10), waiting(10, left)), None);
    let decisions = scheduler.poll(Millis(11), any);
    let decided: Vec<u64> = decisions.iter().map(|(ticket, _)| *ticket).collect();
    assert_eq!(decided, Vec::from_iter(refused), "{decisions:?}");
    assert!(
        !decisions
            .iter()
            .any(|(_, d)| matches!(d, Decision::Send(_)))
    );
}

/// Guards against lost slots: a host dies with requests at a server, so no report of their end arrives. Their slots are
/// free again after the callers' deadlines.
#[test]
fn slots_of_a_lost_host_are_freed() {
    let mut scheduler = scheduler(1);
    scheduler.enqueue(Millis(0), request(1, 0, 300, 800));
    scheduler.enqueue(Millis(0), request(2, 0, 300, 800));
    scheduler.poll(Millis(0), any);
    scheduler.enqueue(Millis(700), request(3, 700, 600, 1_500));
    assert!(scheduler.poll(Millis(700), any).is_empty());
    assert_eq!(scheduler.poll(Millis(1_101), any).len(), 1);
}

/// Guards against requests sent to a wrong server while their key moves: they wait for the new owner.
#[test]
fn requests_of_a_moving_key_wait_for_its_owner() {
    let mut scheduler = scheduler(2);
    let keyed = SlotRequest {
        key: Some(7),
        ..request(1, 0, 300, 800)
    };
    scheduler.enqueue(Millis(0), keyed);
    assert!(
        scheduler
            .poll(Millis(0), |_| Placement::Unassigned)
            .is_empty()
    );
    let decisions = scheduler.poll(Millis(40), |_| Placement::Owner(ServerId(1)));
    assert_eq!(decisions, [(1, Decision::Send(ServerId(1)))]);
}

/// Guards against overload during warm-up: of a thousand requests per second, the server gets the fraction of its
/// warm-up rate that the scheduler may use, and nothing in the first second, as the sends of other hosts are unknown.
#[test]
fn a_server_gets_its_warm_up_rate() {
    let mut scheduler = Scheduler::default();
    let warming_up = ServerStatus {
        warmup_until: Millis(10_000),
        warmup_rate_max: 12.95,
        ..ServerStatus::warm(50)
    };
    scheduler.update_server(Millis(0), ServerId(0), warming_up);
    let mut sent = Vec::new();
    for now in 0..4_000 {
        scheduler.enqueue(Millis(now), request(now + 1, now, 300, 800));
        for (ticket, decision) in scheduler.poll(Millis(now), any) {
            if decision == Decision::Send(ServerId(0)) {
                sent.push(now);
                scheduler.release(Millis(now), &end(ticket, ServerId(0), 1_000.0));
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

/// Guards against overload when a data centre restarts under full traffic and groups of hosts that can't see each other
/// schedule the same servers, two hosts in each group. At any alignment of the hosts' sends, no window of a second exceeds
/// the warm-up rate.
#[rstest]
#[case(1, 12.95)]
#[case(2, 17.45)]
#[case(10, 12.95)]
#[case(11, 12.95)]
#[case(8, 12.95)]
#[case(3, 12.95)]
#[case(4, 30.0)]
#[case(24, 17.45)]
#[case(84, 17.45)]
fn a_server_gets_at_most_its_warm_up_rate(#[case] groups: usize, #[case] bound: f64) {
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let warming_up = ServerStatus {
            warmup_until: Millis(10_000),
            warmup_rate_max: bound / groups as f64,
            ..ServerStatus::warm(50)
        };
        let mut schedulers = vec![Scheduler::default(); 2 * groups];
        for scheduler in &mut schedulers {
            scheduler.update_server(Millis(0), ServerId(0), warming_up);
        }
        let mut arrived = Vec::new();
        for now in 0..4_000 {
            for scheduler in &mut schedulers {
                if !rng.random_bool(0.2) {
                    continue;
                }
                scheduler.enqueue(Millis(now), request(now + 1, now, 300, 800));
                for (ticket, decision) in scheduler.poll(Millis(now), any) {
                    if decision == Decision::Send(ServerId(0)) {
                        arrived.push(now + rng.random_range(0..60));
                        scheduler.release(Millis(now), &end(ticket, ServerId(0), 1_000.0));
                    }
                }
            }
        }
        arrived.sort_unstable();
        let most = arrived.iter().map(|t| {
            let window = arrived.iter().filter(|a| *t <= **a && **a < *t + 1_000);
            window.count()
        });
        let most = most.max().unwrap_or(0);
        assert!(most as f64 <= bound, "{most} with seed {seed}");
        assert_eq!(most > 0, bound / groups as f64 >= 2.0);
    }
}

/// Guards against requests that wait to the end of their time for a server that may get none before it is warm.
#[test]
fn a_request_does_not_wait_for_a_server_withheld_until_it_is_warm() {
    let mut scheduler = Scheduler::default();
    let warming_up = ServerStatus {
        warmup_until: Millis(3_000),
        warmup_rate_max: 0.0,
        ..ServerStatus::warm(50)
    };
    scheduler.update_server(Millis(0), ServerId(0), warming_up);
    scheduler.enqueue(Millis(100), request(1, 100, 300, 800));
    let decisions = scheduler.poll(Millis(100), any);
    assert!(
        matches!(decisions[..], [(1, Decision::Refuse(_))]),
        "{decisions:?}"
    );
    scheduler.enqueue(Millis(3_000), request(2, 3_000, 300, 800));
    let decisions = scheduler.poll(Millis(3_000), any);
    assert_eq!(decisions, [(2, Decision::Send(ServerId(0)))]);
}

/// Guards against a host that schedules again assigning at once, while another host's last requests arrive.
#[test]
fn a_scheduler_that_returns_waits_for_the_requests_of_the_other() {
    let mut scheduler = Scheduler::default();
    let status = |since| ServerStatus {
        warmup_until: Millis(10_000),
        warmup_rate_max: 12.0,
        scheduled_since: since,
        ..ServerStatus::warm(50)
    };
    scheduler.update_server(Millis(0), ServerId(0), status(Millis(0)));
    // Another host scheduled in between, when no request of this one asked for the server.
    scheduler.update_server(Millis(5_000), ServerId(0), status(Millis(4_900)));
    scheduler.enqueue(Millis(5_000), request(1, 5_000, 300, 3_000));
    assert!(scheduler.poll(Millis(5_000), any).is_empty());
    let decisions = scheduler.poll(Millis(6_100), any);
    assert_eq!(decisions, [(1, Decision::Send(ServerId(0)))]);
}

/// Guards against a server that fails half of its requests and still gets its full share while others have capacity.
#[test]
fn a_failing_server_gets_few_requests() {
    let mut scheduler = scheduler(3);
    let mut count = [0; 3];
    for now in 0..300_u64 {
        let now = now * 20;
        scheduler.enqueue(Millis(now), request(now + 1, now, 300, 800));
        for (ticket, decision) in scheduler.poll(Millis(now), any) {
            if let Decision::Send(server) = decision {
                count[server.0 as usize] += 1;
                let fails = server.0 == 0 && count[0] % 2 == 0;
                let end = SlotRelease {
                    failure: fails.then_some(Failure::Error),
                    ..end(ticket, server, 100_000.0)
                };
                scheduler.release(Millis(now + 10), &end);
            }
        }
    }
    assert!(count[0] < 60, "{count:?}");
}

/// Guards against traffic between data centres: with equal servers, a request stays in its data centre while it has
/// free slots, and goes to the other one at once when it is full.
#[test]
fn a_request_stays_in_its_data_centre_while_slots_are_free() {
    let mut scheduler = Scheduler::default();
    for id in 0..4 {
        let dc_index = id % 2;
        scheduler.update_server(
            Millis(0),
            ServerId(id),
            ServerStatus {
                dc_index,
                ..ServerStatus::warm(SLOTS)
            },
        );
    }
    let mut count = [0; 2];
    for ticket in 1..=6 {
        let request_in_dc_1 = SlotRequest {
            dc_index: 1,
            large_response: false,
            tolerates_waiting: false,
            caller_deadline: Millis::ZERO,
            caller: 0,
            head: 0,
            route: 0,
            body_bytes: 0,
            ..request(ticket, 0, 300, 800)
        };
        scheduler.enqueue(Millis(0), request_in_dc_1);
        for (_, decision) in scheduler.poll(Millis(0), any) {
            if let Decision::Send(server) = decision {
                count[server.0 as usize % 2] += 1;
            }
        }
    }
    assert_eq!(count, [2, 4]);
}

/// Guards against slots that stay taken until the deadline of requests whose hosts waited too long for the decision: few
/// of them block a server that is idle.
#[test]
fn a_request_that_left_after_its_decision_holds_no_slot() {
    let mut scheduler = scheduler(1);
    for ticket in 1..=u64::from(SLOTS) {
        scheduler.enqueue(Millis(0), request(ticket, 0, 300, 1_500));
    }
    assert_eq!(scheduler.poll(Millis(0), any).len(), SLOTS as usize);
    for ticket in 1..=u64::from(SLOTS) {
        scheduler.withdraw(ticket);
    }
    scheduler.enqueue(Millis(60), request(9, 60, 300, 1_500));
    let decisions = scheduler.poll(Millis(60), any);
    assert_eq!(decisions, [(9, Decision::Send(ServerId(0)))]);
}
