//! The queue in front of the servers that one gate holds.

use chicoryrail_core::Class;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_policy::Action;
use chicoryrail_policy::Ask;
use chicoryrail_policy::Decision;
use chicoryrail_policy::Limits;
use chicoryrail_policy::Outcome;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::ServerQueue;
use chicoryrail_policy::Ticket;
use chicoryrail_policy::Verdict;
use rstest::rstest;

const A: ServerId = ServerId(0);
const B: ServerId = ServerId(1);
const C: ServerId = ServerId(2);
const MS: u32 = 1_000;

fn queue(servers: &[(ServerId, u32)]) -> ServerQueue {
    let limits = Limits {
        prior_us: 4 * MS,
        ..Limits::default()
    };
    let mut queue = ServerQueue::new(limits);
    for (id, slots) in servers {
        queue.set_server(*id, *slots);
    }
    queue
}

const fn lookup(n: u64, deadline: u64) -> Ask {
    Ask::new(Ticket(n), Class::Interactive, Millis(deadline))
}

const fn batch(n: u64, deadline: u64) -> Ask {
    Ask::new(Ticket(n), Class::Batch, Millis(deadline))
}

const fn quick() -> Outcome {
    Outcome::Answered { us: 4 * MS }
}

fn refusal(decision: Decision) -> (ResultCode, Millis) {
    match decision {
        Decision::Refuse(r) => (r.code, r.retry),
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn free_slot_is_taken_at_once() {
    let mut q = queue(&[(A, 2)]);
    assert_eq!(q.offer(Millis(1), lookup(1, 1_000)), Decision::Send(A));
    assert_eq!(q.offer(Millis(1), lookup(2, 1_000)), Decision::Send(A));
    assert_eq!(q.offer(Millis(1), lookup(3, 1_000)), Decision::Wait);
    assert_eq!(q.in_flight(A), 2);
}

#[test]
fn emptier_server_goes_first() {
    let mut q = queue(&[(A, 2), (B, 2)]);
    let sent = [1, 2, 3].map(|n| q.offer(Millis(1), lookup(n, 1_000)));
    let want = [A, B, A].map(Decision::Send);
    assert_eq!(sent, want);
}

#[test]
fn earliest_deadline_goes_first() {
    let mut q = queue(&[(A, 1)]);
    for (n, deadline) in [(1, 900), (2, 900), (3, 500), (4, 700)] {
        let _ = q.offer(Millis(1), lookup(n, deadline));
    }
    let mut order = Vec::new();
    let mut running = Ticket(1);
    for now in [5, 9, 13] {
        q.done(Millis(now), A, running, quick());
        if let Some(Action::Send(ticket, _)) = q.poll(Millis(now)) {
            order.push(ticket);
            running = ticket;
        }
    }
    assert_eq!(order, [Ticket(3), Ticket(4), Ticket(2)]);
}

#[rstest]
#[case::no_server(&[], 1_000, ResultCode::NoServer)]
#[case::past(&[(A, 2)], 10, ResultCode::DeadlinePassed)]
#[case::too_close(&[(A, 2)], 13, ResultCode::DeadlinePassed)]
fn hopeless_request_is_refused_at_once(
    #[case] servers: &[(ServerId, u32)],
    #[case] deadline: u64,
    #[case] code: ResultCode,
) {
    let mut q = queue(servers);
    let (found, retry) = refusal(q.offer(Millis(10), lookup(1, deadline)));
    assert_eq!(found, code);
    assert!(retry >= Millis(100), "{retry}");
}

// The length of the queue follows from the service time and the deadline: 4 ms each at one slot and
// 100 ms to go leave room for about a dozen.
#[rstest]
#[case::short(100, 12)]
#[case::long(1_000, 124)]
fn queue_is_as_long_as_the_deadline_allows(#[case] deadline: u64, #[case] most: u64) {
    let mut q = queue(&[(A, 1)]);
    let mut waiting = 0;
    for n in 0..1_000 {
        match q.offer(Millis(0), lookup(n, deadline)) {
            Decision::Wait => waiting += 1,
            Decision::Send(_) => {}
            Decision::Refuse(r) => {
                assert_eq!(r.code, ResultCode::Overloaded);
                break;
            }
        }
    }
    assert_eq!(waiting, most);
}

// What waits and can't finish any more is answered at that moment, not at its deadline, and the one
// with the least time left first.
#[test]
fn doomed_request_is_refused_as_soon_as_it_is_doomed() {
    let mut q = queue(&[(A, 1)]);
    let _ = q.offer(Millis(0), lookup(1, 1_000));
    let _ = q.offer(Millis(0), lookup(2, 200));
    let _ = q.offer(Millis(0), lookup(3, 100));
    assert_eq!(q.wake(Millis(0)), Some(Millis(97)));
    assert_eq!(q.poll(Millis(96)), None);
    let doomed = q.poll(Millis(97));
    assert!(
        matches!(doomed, Some(Action::Refuse(Ticket(3), r)) if r.code == ResultCode::Overloaded),
        "{doomed:?}"
    );
    assert_eq!(q.poll(Millis(97)), None);
}

// A server answers so slowly for a while that no request could finish in time; each is refused. It
// then is quick again, but only an answer can show that: some request has to be let through.
#[test]
fn slow_spell_does_not_refuse_for_good() {
    let mut q = queue(&[(A, 1)]);
    for n in 0..40 {
        let now = Millis(n * 3_000);
        let _ = q.offer(now, lookup(n, u64::MAX));
        let slow = Outcome::Answered { us: 3_000 * MS };
        q.done(now + Millis(3_000), A, Ticket(n), slow);
    }
    let start = 120_000;
    let decide = |q: &mut ServerQueue, ms: u64| q.offer(Millis(ms), lookup(ms, ms + 1_000));
    let refused = decide(&mut q, start);
    assert_eq!(refusal(refused).0, ResultCode::DeadlinePassed);
    let sent = (start..start + 5_000).find(|ms| decide(&mut q, *ms) == Decision::Send(A));
    assert!(sent.is_some(), "refused for five seconds");
}

// Refused callers of one burst must not come back as one burst.
#[test]
fn advice_to_return_is_spread() {
    let mut q = queue(&[]);
    let mut seen: Vec<Millis> = (0..100)
        .map(|n| refusal(q.offer(Millis(0), lookup(n, 1_000))).1)
        .collect();
    seen.sort_unstable();
    seen.dedup();
    assert!(seen.len() > 40, "{seen:?}");
    assert!(seen.iter().all(|r| (100..=200).contains(&r.0)), "{seen:?}");
}

// Overload goes on for seconds. The queue is short by then, but coming back as soon as it has drained
// would meet the same: callers are told a second or two.
#[test]
fn advice_is_longer_where_the_queue_stands() {
    let mut q = queue(&[(A, 1)]);
    let _ = longest_queues(&mut q, |ms| u64::from(ms.is_multiple_of(2)), 3);
    let decisions = (0..100).map(|n| q.offer(Millis(3_000), lookup(9_000 + n, 4_000)));
    let mut advice: Vec<Millis> = decisions
        .filter(|d| matches!(d, Decision::Refuse(_)))
        .map(|d| refusal(d).1)
        .collect();
    advice.sort_unstable();
    assert!(advice.len() > 80, "{advice:?}");
    let (first, last) = (advice[0], advice[advice.len() - 1]);
    assert!(
        first >= Millis(1_000) && last <= Millis(2_000),
        "{advice:?}"
    );
}

#[rstest]
#[case::two_slots(2, 1)]
#[case::three_slots(3, 2)]
fn batch_leaves_the_last_slot(#[case] slots: u32, #[case] most: usize) {
    let mut q = queue(&[(A, slots)]);
    let sent = (0..u64::from(slots))
        .map(|n| q.offer(Millis(0), batch(n, 10_000)))
        .filter(|d| matches!(d, Decision::Send(_)))
        .count();
    assert_eq!(sent, most);
    assert_eq!(q.offer(Millis(0), lookup(9, 1_000)), Decision::Send(A));
}

// A server has a single slot. Batch would never get it beside lookups, nor without them; its
// guaranteed share is what it gets.
#[test]
fn batch_on_a_single_slot_lives_from_its_share() {
    let mut q = queue(&[(A, 1)]);
    assert_eq!(q.offer(Millis(0), batch(1, 10_000)), Decision::Wait);
    assert_eq!(q.poll(Millis(900)), None);
    assert_eq!(q.poll(Millis(1_000)), Some(Action::Send(Ticket(1), A)));
}

#[test]
fn cancelled_request_has_not_run() {
    let mut q = queue(&[(A, 1)]);
    let _ = q.offer(Millis(0), lookup(1, 1_000));
    let _ = q.offer(Millis(0), lookup(2, 1_000));
    assert_eq!((q.cancel(Ticket(1)), q.cancel(Ticket(2))), (false, true));
    q.done(Millis(4), A, Ticket(1), quick());
    assert_eq!(q.poll(Millis(4)), None);
}

// A server restarts. Its connections break, and the next process is cold: it gets one request at a
// time until a row of quick answers.
#[rstest]
#[case::table(|q: &mut ServerQueue| q.set_cold(A))]
#[case::instance(|q: &mut ServerQueue| { q.set_instance(A, 7); q.set_instance(A, 8); })]
#[case::broken(|q: &mut ServerQueue| {
    let _ = q.offer(Millis(0), lookup(1, 1_000));
    q.done(Millis(0), A, Ticket(1), Outcome::Failed);
    let _ = q.offer(Millis(20), lookup(2, 1_000));
    q.done(Millis(24), A, Ticket(2), quick());
})]
fn cold_server_ramps_from_one(#[case] turn_cold: fn(&mut ServerQueue)) {
    let mut q = queue(&[(A, 4)]);
    turn_cold(&mut q);
    let mut levels = Vec::new();
    for round in 0..30 {
        let now = Millis(100 + round * 10);
        let mut sent = Vec::new();
        for n in 0..8 {
            let ticket = Ticket(100 + round * 10 + n);
            let ask = Ask::new(ticket, Class::Interactive, now + Millis(1_000));
            match q.offer(now, ask) {
                Decision::Send(_) => sent.push(ticket),
                _ => {
                    q.cancel(ticket);
                }
            }
        }
        levels.push(sent.len());
        for ticket in sent {
            q.done(now + Millis(4), A, ticket, quick());
        }
    }
    levels.dedup();
    assert_eq!(levels, [1, 2, 4]);
}

// A server on its ramp leaves the queue, since its route ran out for a moment, and joins again. It is
// still cold; and if it restarted meanwhile, its first answer still shows that.
#[rstest]
#[case::on_its_ramp(true, 7, 1)]
#[case::restarted(false, 8, 1)]
#[case::as_before(false, 7, 2)]
fn server_that_joins_again_is_remembered(
    #[case] cold: bool,
    #[case] instance: u64,
    #[case] slots: usize,
) {
    let mut q = queue(&[(A, 2)]);
    q.set_instance(A, 7);
    if cold {
        q.set_cold(A);
    }
    q.remove_server(A);
    q.set_server(A, 2);
    assert_eq!(q.offer(Millis(0), lookup(1, 1_000)), Decision::Send(A));
    q.done(Millis(4), A, Ticket(1), quick());
    q.set_instance(A, instance);
    let sent = [2, 3].map(|n| q.offer(Millis(5), lookup(n, 1_000)));
    let sent = sent.iter().filter(|d| matches!(d, Decision::Send(_)));
    assert_eq!(sent.count(), slots);
}

// One of three servers holds a request far longer than usual. Nothing more is sent there but a
// single lookup now and then to see whether it is quick again; an order never is that probe.
#[test]
fn late_server_is_left_alone_but_for_probes() {
    let mut q = queue(&[(A, 2), (B, 2), (C, 2)]);
    assert_eq!(q.offer(Millis(0), lookup(1, 9_000)), Decision::Send(A));
    let now = Millis(20);
    let sent: Vec<_> = (2..7).map(|n| q.offer(now, lookup(n, 9_000))).collect();
    let want = [B, C, B, C].map(Decision::Send);
    assert_eq!((&sent[..4], sent[4]), (&want[..], Decision::Wait));

    q.done(Millis(40), A, Ticket(1), Outcome::Answered { us: 40 * MS });
    q.done(Millis(40), B, Ticket(2), quick());
    assert_eq!(q.poll(Millis(40)), Some(Action::Send(Ticket(6), A)));
    let order = Ask::new(Ticket(7), Class::Order, Millis(9_000));
    assert_eq!(q.offer(Millis(40), order), Decision::Send(B));
}

#[test]
fn slowness_for_seconds_is_persistent() {
    let mut q = queue(&[(A, 2)]);
    let mut seen = Vec::new();
    for n in 0..40 {
        let now = Millis(n * 100);
        let _ = q.offer(now, lookup(n, 99_000));
        let us = if n < 5 { 4 * MS } else { 50 * MS };
        q.done(now + Millis(50), A, Ticket(n), Outcome::Answered { us });
        seen.push(q.verdict(now + Millis(50), A).expect("a known server"));
    }
    seen.dedup();
    assert_eq!(
        seen,
        [Verdict::Sound, Verdict::Momentary, Verdict::Persistent]
    );
}

// A keyed service's server has nobody to stand in for it: slow or not, its keys' requests go to it.
#[test]
fn single_owner_is_used_even_when_slow() {
    let mut q = queue(&[(A, 2)]);
    let _ = q.offer(Millis(0), lookup(1, 9_000));
    assert_eq!(q.offer(Millis(100), lookup(2, 9_000)), Decision::Send(A));
}

// One key fills the queue of its owner. Another key's request goes before what the first key has
// piled up.
#[test]
fn key_with_nothing_waiting_overtakes_a_hot_one() {
    let mut q = queue(&[(A, 1)]);
    for n in 0..60 {
        let _ = q.offer(Millis(n), lookup(n, 1_000 + n).key(1));
    }
    let _ = q.offer(Millis(60), lookup(99, 1_060).key(2));
    let mut running = Ticket(0);
    for turn in 0..60_u64 {
        let now = Millis(61 + turn * 4);
        q.done(now, A, running, quick());
        match q.poll(now) {
            Some(Action::Send(Ticket(99), _)) => {
                assert!(turn < 16, "after {turn} requests of the hot key");
                return;
            }
            Some(Action::Send(ticket, _)) => running = ticket,
            other => panic!("{other:?}"),
        }
    }
    panic!("never sent");
}

#[test]
fn hedge_takes_only_a_free_slot_of_a_sound_server() {
    let mut q = queue(&[(A, 1), (B, 1)]);
    assert_eq!(q.offer_now(Millis(0), lookup(1, 1_000)), Some(A));
    assert_eq!(q.offer_now(Millis(0), lookup(2, 1_000)), Some(B));
    assert_eq!(q.offer_now(Millis(0), lookup(3, 1_000)), None);
    q.done(Millis(90), B, Ticket(2), Outcome::Answered { us: 90 * MS });
    assert_eq!(q.offer_now(Millis(91), lookup(4, 1_000)), None);
}

#[test]
fn removed_server_gets_no_new_work_and_keeps_its_old() {
    let mut q = queue(&[(A, 2), (B, 2)]);
    let _ = q.offer(Millis(0), lookup(1, 1_000));
    q.remove_server(A);
    let sent = [2, 3, 4].map(|n| q.offer(Millis(0), lookup(n, 1_000)));
    assert_eq!(sent, [Decision::Send(B), Decision::Send(B), Decision::Wait]);
    assert_eq!(q.in_flight(A), 1);
    q.done(Millis(4), A, Ticket(1), quick());
    assert_eq!(q.poll(Millis(4)), None);
    assert_eq!(q.verdict(Millis(4), A), None);
}

/// Offers `each` lookups every millisecond to a server that does one in 4 ms, and returns the most
/// that waited in each second.
fn longest_queues(q: &mut ServerQueue, each: impl Fn(u64) -> u64, seconds: u64) -> Vec<u32> {
    let mut running: Option<(Ticket, u64)> = None;
    let mut next = 0;
    let mut longest = vec![0; seconds as usize];
    for ms in 0..seconds * 1_000 {
        let now = Millis(ms);
        if let Some((ticket, end)) = running
            && ms >= end
        {
            q.done(now, A, ticket, quick());
            running = None;
        }
        while let Some(action) = q.poll(now) {
            if let Action::Send(ticket, _) = action {
                running = Some((ticket, ms + 4));
            }
        }
        for _ in 0..each(ms) {
            next += 1;
            if let Decision::Send(_) = q.offer(now, lookup(next, ms + 1_000)) {
                running = Some((Ticket(next), ms + 4));
            }
        }
        let second = &mut longest[(ms / 1_000) as usize];
        *second = q.load(now).waiting.max(*second);
    }
    longest
}

// Twice what the server can do, for seconds. The queue absorbs the first second as if it were a
// burst; then it stands and is kept short, so that what is done has waited 50 ms and not 500.
#[test]
fn standing_queue_is_kept_short() {
    let mut q = queue(&[(A, 1)]);
    let longest = longest_queues(&mut q, |ms| u64::from(ms.is_multiple_of(2)), 4);
    assert!(longest[0] > 100, "{longest:?}");
    assert!(longest[3] < 20, "{longest:?}");
}

// The overload ends for a moment, the short queue runs empty, and the overload is back.
#[test]
fn queue_that_ran_empty_for_a_moment_still_stands() {
    let mut q = queue(&[(A, 1)]);
    let gap = |ms: u64| (3_000..3_200).contains(&ms);
    let each = |ms: u64| u64::from(ms.is_multiple_of(2) && !gap(ms));
    let longest = longest_queues(&mut q, each, 5);
    assert!(longest[4] < 20, "{longest:?}");
}

// Bursts of half a second, seconds apart: each finds the whole queue.
#[test]
fn bursts_apart_are_absorbed_each_time() {
    let mut q = queue(&[(A, 1)]);
    let each = |ms: u64| u64::from(ms % 4_000 < 400 && ms.is_multiple_of(2));
    let longest = longest_queues(&mut q, each, 9);
    let bursts = [longest[0], longest[4], longest[8]];
    assert!(bursts.iter().all(|n| (90..=110).contains(n)), "{longest:?}");
}
