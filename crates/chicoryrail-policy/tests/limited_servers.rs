//! Scheduling of servers that advertise a limit of requests per second.

use chicoryrail_core::Millis;
use chicoryrail_policy::Decision;
use chicoryrail_policy::Placement;
use chicoryrail_policy::Scheduler;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::ServerStatus;
use chicoryrail_policy::SlotRelease;
use chicoryrail_policy::SlotRequest;

/// Requests per second that an overloaded server advertises.
const LIMIT_PER_S: f64 = 3.0;

/// Sends twelve requests per second for keys of server 0, which advertises a limit, for `seconds`. Returns the times of
/// the requests sent to it, and how long after their arrival the others were refused.
fn overload_limited(scheduler: &mut Scheduler, start: u64, seconds: u64) -> (Vec<u64>, Vec<u64>) {
    let owner = |_| Placement::Owner(ServerId(0));
    let mut sent = Vec::new();
    let mut refused = Vec::new();
    for now in start..start + seconds * 1_000 {
        if now.is_multiple_of(83) {
            scheduler.enqueue(Millis(now), request(now, Some(7)));
        }
        for (ticket, decision) in scheduler.poll(Millis(now), owner) {
            match decision {
                Decision::Send(server) => {
                    sent.push(now);
                    scheduler.release(Millis(now), &end(ticket, server, 20_000.0));
                }
                Decision::Refuse(_) | Decision::Return(_) => refused.push(now - ticket),
            }
        }
    }
    (sent, refused)
}

fn limited(scheduled_here: bool) -> ServerStatus {
    ServerStatus {
        rate_limit: Some(LIMIT_PER_S),
        scheduled_here,
        ..ServerStatus::warm(2)
    }
}

fn scheduler(servers: u32) -> Scheduler {
    let mut scheduler = Scheduler::default();
    for id in 0..servers {
        scheduler.update_server(Millis(0), ServerId(id), ServerStatus::warm(2));
    }
    scheduler
}

fn request(now: u64, key: Option<u16>) -> SlotRequest {
    SlotRequest {
        ticket: now,
        priority: 1,
        latency_target: Millis(now + 300),
        deadline: Millis(now + 800),
        work_us: 100_000.0,
        key,
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

fn end(ticket: u64, server: ServerId, us: f64) -> SlotRelease {
    SlotRelease {
        ticket,
        server,
        elapsed_us: Some(us),
        failure: None,
        report: None,
    }
}

/// Returns the maximum number of sends in any four seconds.
fn most_in_four_seconds(sent: &[u64]) -> usize {
    let within = |at: &u64| {
        sent.iter()
            .filter(|s| (*at..*at + 4_000).contains(s))
            .count()
    };
    sent.iter().map(within).max().unwrap_or_default()
}

/// Guards against sending an overloaded server more than it advertises, until it fails.
#[test]
fn a_limited_server_gets_its_advertised_rate() {
    let mut scheduler = scheduler(2);
    scheduler.update_server(Millis(0), ServerId(0), limited(true));
    let (sent, _) = overload_limited(&mut scheduler, 0, 20);
    let most = most_in_four_seconds(&sent);
    assert!(most <= 4 * LIMIT_PER_S as usize + 1, "{most}");
    assert!(
        sent.len() >= 20 * LIMIT_PER_S as usize - 2,
        "{}",
        sent.len()
    );
}

/// Guards against callers over the limit that wait for most of their time and have none left to retry.
#[test]
fn callers_over_a_servers_limit_have_time_left_to_retry() {
    let mut scheduler = scheduler(2);
    scheduler.update_server(Millis(0), ServerId(0), limited(true));
    let (_, refused) = overload_limited(&mut scheduler, 0, 20);
    let latest = refused.iter().max().copied().unwrap_or_default();
    assert!(!refused.is_empty() && latest <= 400, "{latest} of 800 ms");
}

/// Guards against extra bursts: two hosts schedule a limited server in turn, and each would allow a burst of its own.
#[test]
fn a_new_scheduler_gives_a_limited_server_no_burst() {
    let mut schedulers = [scheduler(1), scheduler(1)];
    let mut sent = Vec::new();
    for turn in 0..10 {
        let now = turn * 1_000;
        let [a, b] = &mut schedulers;
        let (active, other) = if turn % 2 == 0 { (a, b) } else { (b, a) };
        active.update_server(Millis(now), ServerId(0), limited(true));
        other.update_server(Millis(now), ServerId(0), limited(false));
        sent.extend(overload_limited(active, now, 1).0);
    }
    let most = most_in_four_seconds(&sent);
    assert!(most <= 4 * LIMIT_PER_S as usize + 1, "{most}");
}

/// Guards against a server with a limit of zero that gets no request, and so has no response in which to raise the
/// limit.
#[test]
fn a_server_with_a_limit_of_zero_is_probed() {
    let mut scheduler = scheduler(1);
    let blocked = ServerStatus {
        rate_limit: Some(0.0),
        ..ServerStatus::warm(2)
    };
    scheduler.update_server(Millis(0), ServerId(0), blocked);
    let (sent, _) = overload_limited(&mut scheduler, 0, 30);
    assert!((2..=8).contains(&sent.len()), "{}", sent.len());
}

/// Guards against requests for any server that wait for a limited one while others have free slots.
#[test]
fn other_servers_serve_requests_over_a_servers_limit() {
    let mut scheduler = scheduler(3);
    scheduler.update_server(Millis(0), ServerId(0), limited(true));
    let mut refused = 0;
    for now in 0..5_000_u64 {
        if now.is_multiple_of(20) {
            scheduler.enqueue(Millis(now), request(now, None));
        }
        for (ticket, decision) in scheduler.poll(Millis(now), |_| Placement::Any) {
            match decision {
                Decision::Send(server) => {
                    scheduler.release(Millis(now), &end(ticket, server, 9e4));
                }
                Decision::Refuse(_) | Decision::Return(_) => refused += 1,
            }
        }
    }
    assert_eq!(refused, 0);
}
