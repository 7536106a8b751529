//! Bytes of request bodies at servers that end if they hold too many.

use std::collections::BTreeMap;

use chicoryrail_core::Millis;
use chicoryrail_policy::Decision;
use chicoryrail_policy::EndEvidence;
use chicoryrail_policy::Failure;
use chicoryrail_policy::Placement;
use chicoryrail_policy::Scheduler;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::ServerStatus;
use chicoryrail_policy::SlotRelease;
use chicoryrail_policy::SlotRequest;
use rstest::rstest;

const SLOTS: u32 = 4;
const SERVER: ServerId = ServerId(0);
const OTHER: ServerId = ServerId(1);

fn upload(ticket: u64, now: Millis, body_bytes: u64) -> SlotRequest {
    SlotRequest {
        ticket,
        priority: 1,
        latency_target: now + Millis(1_500),
        deadline: now + Millis(10_000),
        work_us: 220_000.0,
        key: Some(7),
        excluded: Vec::new(),
        dc_index: 0,
        large_response: false,
        tolerates_waiting: true,
        caller_deadline: now + Millis(10_000),
        caller: 0,
        head: 0,
        route: 0,
        body_bytes,
    }
}

fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::default();
    for id in [SERVER, OTHER] {
        scheduler.update_server(Millis::ZERO, id, ServerStatus::warm(SLOTS));
    }
    scheduler
}

/// Offers uploads of these sizes to one server, with tickets from `first`; returns the tickets that are sent.
fn offer(
    scheduler: &mut Scheduler,
    now: Millis,
    to: ServerId,
    first: u64,
    sizes: &[u64],
) -> Vec<u64> {
    for (ticket, bytes) in (first..).zip(sizes) {
        scheduler.enqueue(now, upload(ticket, now, *bytes));
    }
    let decisions = scheduler.poll(now, |_| Placement::Owner(to)).into_iter();
    let sent = decisions.filter(|(_, d)| matches!(d, Decision::Send(_)));
    sent.map(|(ticket, _)| ticket).collect()
}

fn end(ticket: u64, server: ServerId, failure: Option<Failure>) -> SlotRelease {
    SlotRelease {
        ticket,
        server,
        elapsed_us: Some(220_000.0),
        failure,
        report: None,
    }
}

/// Guards against a limit from an end that has another cause than the bytes. Load: the server holds the given uploads when
/// its connections break one after the other; before, another server has borne an upload of the given size.
#[rstest]
#[case::several(&[300, 300, 400], 500, Some(EndEvidence { requests: 3, bytes: 1_000, limit: 750 }))]
#[case::one_request(&[1_000], 500, None)]
#[case::no_bytes(&[0, 0, 0], 0, None)]
#[case::bytes_that_another_server_bore(&[200, 300], 500, None)]
fn only_an_end_under_load_is_evidence(
    #[case] held: &[u64],
    #[case] borne: u64,
    #[case] expected: Option<EndEvidence>,
) {
    let mut scheduler = scheduler();
    let now = Millis(1_000);
    assert_eq!(offer(&mut scheduler, now, OTHER, 1, &[borne]), [1]);
    scheduler.release(now, &end(1, OTHER, None));
    let sent = offer(&mut scheduler, now, SERVER, 11, held);
    assert_eq!(sent.len(), held.len());
    // The first report of a broken connection doesn't say that the server has ended.
    let (first, rest) = sent.split_first().unwrap();
    let failure = if rest.is_empty() {
        Failure::Ended
    } else {
        Failure::Broken
    };
    scheduler.release(now, &end(*first, SERVER, Some(failure)));
    for ticket in rest {
        scheduler.release(
            now + Millis(20),
            &end(*ticket, SERVER, Some(Failure::Ended)),
        );
    }
    let now = now + Millis(20);
    assert_eq!(scheduler.record_server_end(now, SERVER), expected);
    assert_eq!(
        scheduler.record_server_end(now, SERVER),
        None,
        "the same end twice"
    );
    assert_eq!(scheduler.byte_limit(now), expected.map(|e| e.limit));
}

/// Guards against requests that a limit holds back without need, and against one that stays for good. Load: a burst of
/// uploads at a server whose service has a limit of 750 bytes, now or minutes ago.
#[rstest]
#[case::up_to_the_limit(0, &[300, 300, 300], &[11, 12])]
#[case::a_smaller_one_fits(0, &[600, 300, 150], &[11, 13])]
#[case::one_beyond_the_limit_goes_alone(0, &[2_000, 300], &[11])]
#[case::without_a_body(0, &[700, 0, 300, 0], &[11, 12, 14])]
#[case::a_tenth_more_after_a_minute(1, &[400, 425], &[11, 12])]
#[case::not_more(1, &[400, 426], &[11])]
#[case::a_third_more_after_three_minutes(3, &[500, 498], &[11, 12])]
fn servers_get_bytes_up_to_the_limit(
    #[case] minutes: u64,
    #[case] sizes: &[u64],
    #[case] sent: &[u64],
) {
    let mut scheduler = scheduler();
    scheduler.learn_byte_limit(Millis::ZERO, 750);
    let now = Millis(60_000 * minutes);
    assert_eq!(offer(&mut scheduler, now, SERVER, 11, sizes), sent);
    // A server that registers later has the limit, too.
    scheduler.update_server(now, ServerId(9), ServerStatus::warm(SLOTS));
    let waiting: Vec<u64> = (11..).take(sizes.len()).collect();
    waiting
        .iter()
        .for_each(|ticket| scheduler.withdraw(*ticket));
    assert_eq!(offer(&mut scheduler, now, ServerId(9), 11, sizes), sent);
}

/// Returns the size of an upload, 60 to 360 KB.
fn body_bytes(ticket: u64) -> u64 {
    60_000 + ticket * 7_919 % 300_000
}

/// Simulates a saturated server of four slots with memory for 700 KB that ends if it holds more, and is back after 2 s as
/// another one. 40 uploads a second of 60 to 360 KB arrive for ten minutes. Returns the responses and the ends.
fn simulate(learns: bool) -> (u32, u32) {
    let mut scheduler = Scheduler::default();
    let mut id = 0;
    let mut back_at = Millis::ZERO;
    let mut running: BTreeMap<u64, (Millis, u64)> = BTreeMap::new();
    let (mut responses, mut ends, mut next) = (0, 0, 1);
    for now in (0..600_000).step_by(25).map(Millis) {
        if now < back_at {
            continue;
        }
        let server = ServerId(id);
        scheduler.update_server(now, server, ServerStatus::warm(SLOTS));
        let over: Vec<u64> = running
            .iter()
            .filter(|(_, r)| now >= r.0)
            .map(|(t, _)| *t)
            .collect();
        for ticket in over {
            running.remove(&ticket);
            responses += 1;
            scheduler.release(now, &end(ticket, server, None));
        }
        for ticket in offer(&mut scheduler, now, server, next, &[body_bytes(next)]) {
            running.insert(ticket, (now + Millis(220), body_bytes(ticket)));
        }
        next += 1;
        let held: u64 = running.values().map(|(_, bytes)| bytes).sum();
        if held > 700_000 {
            ends += 1;
            for ticket in std::mem::take(&mut running).into_keys() {
                scheduler.release(now, &end(ticket, server, Some(Failure::Ended)));
            }
            if learns {
                scheduler.record_server_end(now, server);
            }
            scheduler.remove_server(server);
            id += 1;
            back_at = now + Millis(2_000);
        }
    }
    (responses, ends)
}

/// Guards against servers that end again and again under the same load. Load: uploads at twice the rate that a server's
/// slots process, whose bodies together exceed its memory in a third of all combinations.
#[test]
fn a_saturated_server_ends_seldom() {
    let (responses, ends) = simulate(true);
    let (responses_without, ends_without) = simulate(false);
    println!(
        "{ends} ends and {responses} responses, {ends_without} and {responses_without} without a limit"
    );
    assert!(ends * 10 <= ends_without, "{ends} of {ends_without}");
    assert!(
        responses >= responses_without * 2,
        "{responses}, {responses_without}"
    );
}
