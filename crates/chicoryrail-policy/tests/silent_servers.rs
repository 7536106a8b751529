//! Scheduling for servers that never respond to requests that they can't queue.

mod support;

use std::collections::BTreeMap;

use chicoryrail_core::Millis;
use chicoryrail_policy::Decision;
use chicoryrail_policy::Failure;
use chicoryrail_policy::Placement;
use chicoryrail_policy::Scheduler;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::ServerStatus;
use chicoryrail_policy::SlotRelease;
use rstest::rstest;

use crate::support::request;

const SLOTS: u32 = 6;
const SERVER: ServerId = ServerId(0);

/// Time after which a host abandons a request that its server has not responded to.
const UNANSWERED_AFTER: u64 = 1_200;

fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::default();
    scheduler.update_server(Millis::ZERO, SERVER, ServerStatus::warm(SLOTS));
    scheduler
}

/// Enqueues requests for the key of the one server; returns the tickets of those that are sent.
fn offer(scheduler: &mut Scheduler, now: Millis, tickets: std::ops::Range<u64>) -> Vec<u64> {
    for ticket in tickets {
        scheduler.enqueue(now, request(ticket, now));
    }
    let decisions = scheduler.poll(now, |_| Placement::Owner(SERVER));
    let sent = decisions.into_iter();
    sent.filter(|(_, d)| matches!(d, Decision::Send(_)))
        .map(|(ticket, _)| ticket)
        .collect()
}

fn end(ticket: u64, failure: Option<Failure>) -> SlotRelease {
    SlotRelease {
        ticket,
        server: SERVER,
        elapsed_us: Some(240_000.0),
        failure,
        report: None,
    }
}

/// Guards against a server that gets as many requests again as it fell silent under, and against a limit that stays, or
/// that other ends impose. Load: a burst of ten requests for one key, of which the server's six slots are given six; the
/// request that was the given number of requests at the server ends in the given way.
#[rstest]
#[case::the_last_of_six(6, Some(Failure::Unanswered), 5, 6)]
#[case::the_third(3, Some(Failure::Unanswered), 2, 12)]
#[case::alone(1, Some(Failure::Unanswered), 1, 5)]
#[case::short_of_time(6, Some(Failure::Silent), 6, 0)]
#[case::broken(6, Some(Failure::Broken), 6, 0)]
#[case::complete(6, None, 6, 0)]
fn a_silent_server_gets_fewer_requests_until_it_responds(
    #[case] nth: u64,
    #[case] failure: Option<Failure>,
    #[case] limit: u32,
    #[case] responses: u64,
) {
    let mut scheduler = scheduler();
    let sent = offer(&mut scheduler, Millis::ZERO, 1..11);
    assert_eq!(sent, [1, 2, 3, 4, 5, 6]);
    let now = Millis(UNANSWERED_AFTER);
    scheduler.release(now, &end(nth, failure));
    assert_eq!(scheduler.usable_slots(SERVER), Some(limit));
    (1..11).for_each(|ticket| scheduler.withdraw(ticket));
    // Each further response but the last leaves the limit below the slots.
    for ticket in 101..=100 + responses {
        assert!(scheduler.usable_slots(SERVER) < Some(SLOTS), "{ticket}");
        assert_eq!(offer(&mut scheduler, now, ticket..ticket + 1), [ticket]);
        scheduler.release(now, &end(ticket, None));
    }
    assert_eq!(scheduler.usable_slots(SERVER), Some(SLOTS));
}

/// Guards against a lowered limit of one server that takes the capacity of others. Load: three servers, one of which
/// falls silent under its sixth request, and 18 requests at once for any server.
#[test]
fn other_servers_keep_their_slots() {
    let mut scheduler = scheduler();
    for id in 1..3 {
        scheduler.update_server(Millis::ZERO, ServerId(id), ServerStatus::warm(SLOTS));
    }
    assert_eq!(offer(&mut scheduler, Millis::ZERO, 1..7).len(), 6);
    scheduler.release(Millis(1), &end(6, Some(Failure::Unanswered)));
    (1..6).for_each(|ticket| scheduler.withdraw(ticket));
    let now = Millis(2);
    for ticket in 10..40 {
        scheduler.enqueue(now, request(ticket, now));
    }
    let mut sent = BTreeMap::new();
    for (_, decision) in scheduler.poll(now, |_| Placement::Any) {
        if let Decision::Send(server) = decision {
            *sent.entry(server).or_insert(0) += 1;
        }
    }
    assert_eq!(
        sent,
        BTreeMap::from([(SERVER, 5), (ServerId(1), 6), (ServerId(2), 6)])
    );
}

/// Simulates a server of six slots that processes `capacity` requests at once, each for 240 ms, and never responds to
/// others. 200 requests a second arrive. Returns the number of responses and of silences.
fn saturate(capacity: usize, seconds: u64, silence: Failure) -> (u32, u32) {
    let mut scheduler = scheduler();
    let (mut running, mut silent) = (Vec::new(), Vec::new());
    let (mut responses, mut silences, mut next) = (0, 0, 1);
    for now in (0..seconds * 1_000).step_by(10).map(Millis) {
        running.retain(|(ticket, ends)| {
            let is_over = now >= *ends;
            if is_over {
                responses += 1;
                scheduler.release(now, &end(*ticket, None));
            }
            !is_over
        });
        silent.retain(|(ticket, ends)| {
            let is_over = now >= *ends;
            if is_over {
                silences += 1;
                scheduler.release(now, &end(*ticket, Some(silence)));
            }
            !is_over
        });
        for ticket in offer(&mut scheduler, now, next..next + 2) {
            if running.len() < capacity {
                running.push((ticket, now + Millis(240)));
            } else {
                silent.push((ticket, now + Millis(UNANSWERED_AFTER)));
            }
        }
        next += 2;
    }
    (responses, silences)
}

/// Guards against a saturated server that processes fewer requests than its six slots and falls silent under each further
/// one. Load: 200 requests a second for one key, for 30 s. The server could respond to 375 or 125 of them. Without the
/// limit, each of its other slots loses a request every 1.2 s.
#[rstest]
#[case::three_of_six(3, 375)]
#[case::one_of_six(1, 125)]
fn a_saturated_server_loses_few_requests(#[case] capacity: usize, #[case] possible: u32) {
    let (responses, silences) = saturate(capacity, 30, Failure::Unanswered);
    let (_, unlimited) = saturate(capacity, 30, Failure::Silent);
    println!(
        "{responses} of {possible} responses, {silences} silences, {unlimited} without the limit"
    );
    assert!(
        responses * 100 >= possible * 95,
        "{responses} of {possible}"
    );
    assert!(silences * 3 <= unlimited, "{silences} of {unlimited}");
}
