//! The checker finds a planted violation of each kind, and none in a clean run.

use std::ops::Range;

use chicoryrail_testkit::Availability;
use chicoryrail_testkit::CallRecord;
use chicoryrail_testkit::CallerKind;
use chicoryrail_testkit::Change;
use chicoryrail_testkit::Evidence;
use chicoryrail_testkit::HostTime;
use chicoryrail_testkit::LimitOverrun;
use chicoryrail_testkit::LoadKind;
use chicoryrail_testkit::OutPeriod;
use chicoryrail_testkit::Outcome;
use chicoryrail_testkit::Overrun;
use chicoryrail_testkit::QuotaWindow;
use chicoryrail_testkit::Run;
use chicoryrail_testkit::Violation;
use rstest::rstest;

/// The key that moves.
const KEY: u16 = 150;

/// A run of the key, in milliseconds, under a fence.
fn run(server: &str, request: &str, start: u64, end: u64, fence: u64) -> Run {
    Run {
        server: server.to_owned(),
        service: "kits".to_owned(),
        key: Some(KEY),
        request: request.to_owned(),
        order: false,
        organisation: None,
        key_leaked: false,
        fence: Some(fence),
        start: start * 1000,
        end: end * 1000,
    }
}

fn order(request: &str, start: u64) -> Run {
    Run {
        service: "placement".to_owned(),
        key: None,
        order: true,
        fence: None,
        ..run("placement-1", request, start, start + 1, 1)
    }
}

fn record(request: &str, outcome: Outcome) -> CallRecord {
    CallRecord {
        request: request.to_owned(),
        kind: LoadKind::Lookup,
        path: "/v1/kits/k".to_owned(),
        host: "127.0.0.1:7000".parse().unwrap(),
        intended: 0,
        ended: 1_000,
        outcome,
        status: 200,
        server: None,
        wrong: None,
        hung: false,
        caller: CallerKind::Anybody,
    }
}

fn order_record(request: &str, outcome: Outcome) -> CallRecord {
    CallRecord {
        kind: LoadKind::Order,
        ..record(request, outcome)
    }
}

fn change(key: &str, version: u64, value: &str) -> Change {
    Change {
        key: key.to_owned(),
        version,
        value: Some(value.to_owned()),
        time: 0,
    }
}

/// A key record that gives all keys to a server.
fn keys(fence: u64, server: &str) -> Change {
    let value = format!(
        r#"{{"fence":{fence},"attempt":1,"loose":[],"spans":[
        {{"span":{{"first":0,"last":65535}},"owner":{{"name":"{server}","born":7}}}}]}}"#
    );
    change("chicoryrail/keys/kits", fence, &value)
}

fn config(version: u64) -> Change {
    let value = format!(
        r#"{{"version":"r{version}","services":[],"virtual_hosts":[],"limits":{{"max_header_bytes":1,
        "max_body_bytes":1,"header_timeout_ms":1,"idle_timeout_ms":1}}}}"#
    );
    change("op/config", version, &value)
}

/// A run in which a key moves once, an order runs, another one's outcome stays unknown, and a
/// refusal is true.
fn clean() -> Evidence {
    Evidence {
        records: vec![
            record("r1", Outcome::Done),
            record("r2", Outcome::Done),
            record("r3", Outcome::NotRun),
            order_record("r4", Outcome::Done),
            order_record("r5", Outcome::Unknown),
        ],
        runs: vec![
            run("kits-1", "r1", 10, 12, 1),
            run("kits-2", "r2", 20, 22, 2),
            order("r4", 30),
        ],
        history: vec![config(1), keys(1, "kits-1"), keys(2, "kits-2"), config(2)],
        ..Evidence::default()
    }
}

fn check(seen: &Evidence) -> Vec<Violation> {
    Violation::find(seen)
}

#[test]
fn a_clean_run_has_no_violation() {
    assert_eq!(check(&clean()), []);
}

#[test]
fn a_second_owner_at_the_same_time_is_found() {
    let mut seen = clean();
    seen.runs[1].start = 11_999;
    let expected = Violation::OwnersOverlap {
        key: KEY,
        servers: ["kits-1".to_owned(), "kits-2".to_owned()],
        time: 11_999,
    };
    assert_eq!(check(&seen), [expected]);
}

#[rstest]
#[case::same_fence(1)]
#[case::older_fence(0)]
fn a_new_owner_without_a_higher_fence_is_found(#[case] fence: u64) {
    let mut seen = clean();
    seen.runs[1].fence = Some(fence);
    let expected = Violation::FenceBack {
        key: KEY,
        servers: ["kits-1".to_owned(), "kits-2".to_owned()],
        fences: [1, fence],
        time: 20_000,
    };
    assert_eq!(check(&seen), [expected]);
}

#[test]
fn an_owner_that_the_store_does_not_name_is_found() {
    let mut seen = clean();
    seen.history.remove(2);
    let expected = Violation::OwnerNotStored {
        key: KEY,
        server: "kits-2".to_owned(),
        time: 20_000,
    };
    assert_eq!(check(&seen), [expected]);
    // Stored after the run is as good as not stored.
    let mut seen = clean();
    seen.history[2].time = 20_001;
    assert_eq!(check(&seen).len(), 1);
}

#[test]
fn an_order_that_ran_twice_is_found() {
    let mut seen = clean();
    seen.runs.push(order("r5", 40));
    assert_eq!(check(&seen), []);
    seen.runs.push(order("r5", 50));
    let expected = Violation::OrderTwice {
        request: "r5".to_owned(),
        servers: vec!["placement-1".to_owned(); 2],
    };
    assert_eq!(check(&seen), [expected]);
}

/// A lookup may run at two servers.
#[test]
fn a_lookup_that_ran_twice_is_none() {
    let mut seen = clean();
    seen.runs.push(run("kits-2", "r2", 30, 31, 2));
    assert_eq!(check(&seen), []);
}

#[test]
fn an_order_told_done_that_never_ran_is_found() {
    let mut seen = clean();
    seen.runs.retain(|r| !r.order);
    let request = "r4".to_owned();
    assert_eq!(check(&seen), [Violation::OrderLost { request }]);
}

#[rstest]
#[case::lookup(run("kits-2", "r3", 30, 31, 2))]
#[case::order(order("r3", 40))]
fn a_false_not_run_is_found(#[case] ran: Run) {
    let mut seen = clean();
    let servers = vec![ran.server.clone()];
    seen.runs.push(ran);
    let request = "r3".to_owned();
    assert_eq!(check(&seen), [Violation::NotRunRan { request, servers }]);
}

#[test]
fn a_wrong_answer_is_found() {
    let mut seen = clean();
    seen.records[0].wrong = Some("answer of request r2".to_owned());
    let expected = Violation::AnswerWrong {
        request: "r1".to_owned(),
        reason: "answer of request r2".to_owned(),
    };
    assert_eq!(check(&seen), [expected]);
}

/// A caller is kept waiting past its deadline. Where its router was paused nobody could answer, so
/// only one that ran has broken its promise.
#[rstest]
#[case::router_runs(None, 1)]
#[case::router_was_paused(Some(500..900), 0)]
#[case::router_was_paused_later(Some(1_001..2_000), 1)]
fn a_caller_kept_waiting_is_found(#[case] frozen: Option<Range<u64>>, #[case] expected: usize) {
    let mut seen = clean();
    seen.records[4].hung = true;
    seen.frozen.extend(frozen.map(|f| HostTime {
        host: seen.records[4].host,
        from: f.start,
        until: f.end,
    }));
    let request = "r5".to_owned();
    assert_eq!(check(&seen), vec![Violation::Hung { request }; expected]);
}

/// A router is told to stop; a caller's connection to it ends without an answer. The same outcome with
/// an answer, or at another time, is not the stop's doing.
#[rstest]
#[case::cut(0, 5_000, 1)]
#[case::answered(502, 5_000, 0)]
#[case::before(0, 900, 0)]
fn a_request_cut_by_a_planned_stop_is_found(
    #[case] status: u16,
    #[case] ended: u64,
    #[case] expected: usize,
) {
    let mut seen = clean();
    seen.records[4].status = status;
    seen.records[4].ended = ended;
    seen.stops.push(HostTime {
        host: seen.records[4].host,
        from: 1_000,
        until: 6_000,
    });
    let request = "r5".to_owned();
    assert_eq!(
        check(&seen),
        vec![Violation::CutByStop { request }; expected]
    );
}

#[rstest]
#[case::fence_back(keys(1, "kits-1"))]
#[case::not_readable(change("chicoryrail/keys/kits", 9, "?"))]
#[case::deleted(Change { value: None, ..change("chicoryrail/keys/kits", 9, "") })]
fn a_stored_record_that_goes_back_is_found(#[case] planted: Change) {
    let mut seen = clean();
    let expected = Violation::StoredBack {
        key: planted.key.clone(),
        version: planted.version,
    };
    seen.history.push(planted);
    assert_eq!(check(&seen), [expected]);
}

#[rstest]
#[case::back(1)]
#[case::again(2)]
fn a_configuration_that_is_not_higher_is_found(#[case] after: u64) {
    let mut seen = clean();
    seen.history.push(config(after));
    assert_eq!(check(&seen), [Violation::ConfigBack { before: 2, after }]);
}

#[rstest]
#[case::within_the_limit(4_000, 0)]
#[case::past_the_limit(4_002, 1)]
#[case::back_in_service(9_000, 0)]
fn work_on_a_server_that_is_out_is_found(#[case] start: u64, #[case] expected: usize) {
    let mut seen = clean();
    seen.outs.push(OutPeriod {
        servers: vec!["kits-2".to_owned()],
        from: 4_000_000,
        until: 9_000_000,
    });
    seen.runs.push(run("kits-2", "r7", start, start + 1, 2));
    let found = check(&seen);
    let out = |v: &&Violation| matches!(v, Violation::WorkWhileOut { .. });
    assert_eq!(found.iter().filter(out).count(), expected, "{found:?}");
    assert_eq!(found.len(), expected);
}

#[rstest]
#[case::at_once(1_900, 0)]
#[case::late(2_100, 1)]
fn an_overrun_cold_server_is_found(#[case] cold_ms: u64, #[case] expected: usize) {
    let mut seen = clean();
    seen.overruns.push(Overrun {
        server: "kits-1".to_owned(),
        time: 0,
        cold_ms,
        arrived: 13,
        bears: 12,
    });
    let planted = Violation::ColdOverrun {
        server: "kits-1".to_owned(),
        cold_ms,
        arrived: 13,
        bears: 12,
    };
    assert_eq!(check(&seen), vec![planted; expected]);
}

#[test]
fn an_overrun_limited_server_is_found() {
    let mut seen = clean();
    seen.limit_overruns.push(LimitOverrun {
        server: "kits-1".to_owned(),
        time: 0,
        limited_ms: 7_000,
        arrived: 24,
        allowed: 23,
    });
    let planted = Violation::LimitOverrun {
        server: "kits-1".to_owned(),
        limited_ms: 7_000,
        arrived: 24,
        allowed: 23,
    };
    assert_eq!(check(&seen), [planted]);
}

/// A key is asked for every 100 ms; the lookups of 200 and 300 ms fail, and the one of 400 ms is
/// answered. So it was unavailable for 200 ms.
#[test]
fn availability_counts_from_the_failed_start_to_the_next_answered_one() {
    let outcomes = [
        Outcome::Done,
        Outcome::Done,
        Outcome::Unknown,
        Outcome::NotRun,
        Outcome::Done,
    ];
    let lookup = |(i, outcome): (usize, &Outcome)| CallRecord {
        intended: i as u64 * 100_000,
        ended: i as u64 * 100_000 + 90_000,
        ..record("r", *outcome)
    };
    let records: Vec<_> = outcomes.iter().enumerate().map(lookup).collect();
    let expected = Availability {
        lookups: 5,
        share: 0.6,
        gaps: 1,
        unavailable_ms_p99: 200,
        unavailable_ms_max: 200,
    };
    assert_eq!(Availability::of(&records), expected);
}

fn called(request: &str, caller: CallerKind) -> Evidence {
    let mut seen = clean();
    let own = seen.records.iter_mut().find(|r| r.request == request);
    own.unwrap().caller = caller;
    seen
}

#[test]
fn a_request_in_the_right_name_is_found_clean() {
    let mut seen = called("r1", CallerKind::Organisation("school".to_owned()));
    seen.runs[0].organisation = Some("school".to_owned());
    assert_eq!(Violation::find(&seen), []);
}

#[rstest]
#[case::no_key(CallerKind::Nobody, None)]
#[case::another(CallerKind::Organisation("school".to_owned()), Some("shop"))]
#[case::unnamed(CallerKind::Organisation("school".to_owned()), None)]
#[case::named(CallerKind::Anybody, Some("school"))]
fn a_request_in_the_wrong_name_is_found(#[case] caller: CallerKind, #[case] named: Option<&str>) {
    let mut seen = called("r1", caller);
    seen.runs[0].organisation = named.map(str::to_owned);
    let expected = Violation::UnauthorisedRan {
        request: "r1".to_owned(),
        organisation: named.map(str::to_owned),
    };
    assert_eq!(Violation::find(&seen), [expected]);
}

#[test]
fn a_leaked_key_is_found() {
    let mut seen = clean();
    seen.runs[0].key_leaked = true;
    let expected = Violation::KeyLeaked {
        request: "r1".to_owned(),
    };
    assert_eq!(Violation::find(&seen), [expected]);
}

#[test]
fn more_requests_than_the_limit_in_a_window_are_found() {
    let mut seen = called("r1", CallerKind::Organisation("school".to_owned()));
    let second = seen.records.iter_mut().find(|r| r.request == "r2");
    second.unwrap().caller = CallerKind::Organisation("school".to_owned());
    for run in &mut seen.runs[..2] {
        run.organisation = Some("school".to_owned());
    }
    let window = |length_ms| QuotaWindow {
        length_ms,
        requests: 1,
    };
    seen.quotas.insert("school".to_owned(), window(5));
    assert_eq!(Violation::find(&seen), []);
    seen.quotas.insert("school".to_owned(), window(50));
    let expected = Violation::OverQuota {
        organisation: "school".to_owned(),
        ran: 2,
        allowed: 1,
    };
    assert_eq!(Violation::find(&seen), [expected]);
}
