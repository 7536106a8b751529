//! Servers whose scheduler is lost or changes while they have requests.

mod support;

use chicoryrail_core::Millis;
use chicoryrail_policy::Decision;
use chicoryrail_policy::HeldRequest;
use chicoryrail_policy::LoadReport;
use chicoryrail_policy::LocalBalancer;
use chicoryrail_policy::Placement;
use chicoryrail_policy::Scheduler;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::ServerStatus;
use chicoryrail_policy::SlotRelease;
use rstest::rstest;

use crate::support::request;

const SLOTS: u32 = 6;
const SERVER: ServerId = ServerId(0);

/// Time after which a new scheduler assigns requests.
const REPORT_WAIT: Millis = Millis(150);

fn held(ticket: u64, deadline: Millis) -> HeldRequest {
    HeldRequest {
        ticket,
        deadline,
        work_us: 240_000.0,
        body_bytes: 0,
    }
}

fn status(taken_over_at: Option<Millis>) -> ServerStatus {
    ServerStatus {
        scheduled_here: taken_over_at.is_some(),
        taken_over_at,
        ..ServerStatus::warm(SLOTS)
    }
}

fn sent(scheduler: &mut Scheduler, now: Millis) -> usize {
    let decisions = scheduler.poll(now, |_| Placement::Owner(SERVER));
    let sent = decisions.iter();
    sent.filter(|(_, d)| matches!(d, Decision::Send(_))).count()
}

fn query(scheduler: &mut Scheduler, now: Millis, tickets: std::ops::Range<u64>) {
    for ticket in tickets {
        scheduler.record_query(now, std::iter::once(SERVER));
        scheduler.enqueue(now, request(ticket, now));
    }
}

/// Guards against a server that gets more requests than its slots from its former and its new scheduler together, and
/// against slots that stay occupied. Load: ten queries at once for a server where other hosts have four requests, of
/// which the report arrives twice; then two of the four end, and the deadline of the others passes.
#[test]
fn a_new_scheduler_assigns_what_is_left() {
    let mut scheduler = Scheduler::default();
    let mut now = Millis(60_000);
    scheduler.update_server(now, SERVER, status(Some(now)));
    query(&mut scheduler, now, 1..11);
    assert_eq!(sent(&mut scheduler, now), 0);
    now = now + Millis(100);
    let deadline = now + Millis(500);
    for ticket in 101..105 {
        assert!(scheduler.adopt(now, SERVER, &held(ticket, deadline)));
        assert!(!scheduler.adopt(now, SERVER, &held(ticket, deadline)));
    }
    now = now + REPORT_WAIT;
    assert_eq!(sent(&mut scheduler, now), 2);
    for ticket in 101..103 {
        let end = SlotRelease {
            ticket,
            server: SERVER,
            elapsed_us: Some(240_000.0),
            failure: None,
            report: None,
        };
        scheduler.release(now, &end);
    }
    assert_eq!(sent(&mut scheduler, now), 2);
    assert_eq!(sent(&mut scheduler, deadline + Millis(299)), 0);
    assert_eq!(sent(&mut scheduler, deadline + Millis(300)), 2);
}

/// Guards against a server that gets twice its slots while only some hosts know that its scheduler is lost: a host that is
/// queried although another one schedules by its view uses the slots one by one over a second. Load: 20 queries at once.
#[test]
fn a_host_that_does_not_know_the_loss_uses_the_slots_in_steps() {
    let mut scheduler = Scheduler::default();
    let start = Millis(60_000);
    scheduler.update_server(start, SERVER, status(None));
    query(&mut scheduler, start, 1..21);
    let mut total = 0;
    for (after, slots) in [
        (0, 0),
        (149, 0),
        (150, 1),
        (333, 1),
        (334, 2),
        (500, 3),
        (999, 5),
    ] {
        total += sent(&mut scheduler, start + Millis(after));
        assert_eq!(total, slots, "after {after} ms");
    }
    assert_eq!(total + sent(&mut scheduler, start + Millis(1_000)), 6);
}

/// Guards against requests that wait at a scheduler which has long known all requests of its servers, and at one that
/// has been asked without a break since it began. Load: a query each 500 ms or each 5 s.
#[rstest]
#[case::established(true, 5_000, 0)]
#[case::asked_all_the_time(false, 500, 0)]
#[case::asked_now_and_then(false, 5_000, 1)]
fn a_known_scheduler_assigns_at_once(
    #[case] scheduled_here: bool,
    #[case] gap: u64,
    #[case] waits: usize,
) {
    let mut scheduler = Scheduler::default();
    let start = Millis(60_000);
    scheduler.update_server(start, SERVER, status(scheduled_here.then_some(start)));
    query(&mut scheduler, start, 1..2);
    assert_eq!(sent(&mut scheduler, start + REPORT_WAIT), 1);
    let now = start + Millis(gap);
    query(&mut scheduler, now, 2..3);
    assert_eq!(sent(&mut scheduler, now), 1 - waits);
}

/// Guards against a server that all hosts without a scheduler overload together, and against a host that sends nothing
/// at all. Load: each host tries to send 20 requests to one server at once. A report that names the requests of others
/// stops a host, too.
#[rstest]
#[case::two_hosts(2, 6, 3)]
#[case::four_hosts(4, 6, 1)]
#[case::more_hosts_than_slots(84, 6, 1)]
fn hosts_without_a_scheduler_share_the_slots(
    #[case] hosts: usize,
    #[case] slots: u32,
    #[case] share: u32,
) {
    let now = Millis(60_000);
    let mut balancer = LocalBalancer::default();
    balancer.set(SERVER, slots);
    let mut sent = 0;
    for _ in 0..20 {
        if balancer.has_share(now, SERVER, hosts) {
            balancer.record_send(SERVER);
            sent += 1;
        }
    }
    assert_eq!(sent, share);
    for _ in 0..sent {
        balancer.record_end(SERVER);
    }
    assert!(balancer.has_share(now, SERVER, hosts));
    let full = LoadReport {
        running: slots,
        waiting: 0,
        slots,
        slowdown_percent: 100,
    };
    balancer.apply_report(now, SERVER, full);
    assert!(!balancer.has_share(now, SERVER, hosts));
}
