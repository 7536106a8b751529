//! The checker finds a planted violation of each kind, and none in a clean run.

use std::ops::Range;

use chicoryrail_core::Bundle;
use chicoryrail_testkit::Availability;
use chicoryrail_testkit::CallRecord;
use chicoryrail_testkit::Change;
use chicoryrail_testkit::Checker;
use chicoryrail_testkit::Evidence;
use chicoryrail_testkit::GateTime;
use chicoryrail_testkit::LoadKind;
use chicoryrail_testkit::OutPeriod;
use chicoryrail_testkit::Outcome;
use chicoryrail_testkit::Overrun;
use chicoryrail_testkit::Pause;
use chicoryrail_testkit::Run;
use chicoryrail_testkit::Violation;
use rstest::rstest;

const BUNDLE: &str = r#"
team = "updraft"
[[data_centre]]
name = "a"
[[service]]
name = "kits"
path = "/v1/kits/"
kind = "keyed"
class = "interactive"
fenced = true
[[service.server]]
name = "kits-1"
data_centre = "a"
addr = "127.0.0.1:7001"
[[service.server]]
name = "kits-2"
data_centre = "a"
addr = "127.0.0.1:7002"
[[service]]
name = "status"
path = "/v1/status/"
kind = "keyed"
class = "interactive"
[[service.server]]
name = "status-1"
data_centre = "a"
addr = "127.0.0.1:7003"
[[service.server]]
name = "status-2"
data_centre = "a"
addr = "127.0.0.1:7004"
[[service]]
name = "placement"
path = "/v1/placement/"
kind = "free"
class = "order"
[[service.server]]
name = "placement-1"
data_centre = "a"
addr = "127.0.0.1:7005"
"#;

/// A run of a key, in milliseconds, under fence `(1, version)`.
fn run(server: &str, request: &str, start: u64, end: u64, version: u64) -> Run {
    Run {
        server: server.to_owned(),
        key: "k".to_owned(),
        request: format!("{request}.1a"),
        order: None,
        fence: server.starts_with("kits").then_some((1, version)),
        sent: Some((1, version)),
        start: start * 1000,
        end: end * 1000,
    }
}

fn order(id: &str, request: &str, start: u64) -> Run {
    Run {
        order: Some(id.to_owned()),
        fence: None,
        ..run("placement-1", request, start, start + 1, 1)
    }
}

fn record(request: &str, outcome: Outcome) -> CallRecord {
    CallRecord {
        request: request.to_owned(),
        kind: LoadKind::Lookup,
        path: "/v1/kits/k".to_owned(),
        order: None,
        duplicate: false,
        gate: "127.0.0.1:7000".parse().unwrap(),
        intended: 0,
        ended: 1_000,
        outcome,
        status: 200,
        code: 0,
        server: None,
        wrong: None,
        hung: false,
    }
}

fn order_record(id: &str, request: &str, outcome: Outcome) -> CallRecord {
    CallRecord {
        kind: LoadKind::Order,
        order: Some(id.to_owned()),
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

/// An assignment that gives all keys to the server of that index.
fn assign(service: &str, version: u64, owner: u32) -> Change {
    let value = format!(
        r#"{{"fence":{{"epoch":1,"version":{version}}},"attempt":"x",
        "servers":["{service}-1","{service}-2"],"starts":[0],"owners":[{owner}]}}"#
    );
    change(&format!("assign/svc.{service}.0"), version, &value)
}

fn head(version: u64) -> Change {
    change(
        "config/head",
        version,
        &format!(r#"{{"version":{version}}}"#),
    )
}

fn shard(epoch: u64, holder: &str) -> Change {
    let value = format!(r#"{{"epoch":{epoch},"holder":"{holder}"}}"#);
    change("shard/svc.kits.0", epoch, &value)
}

/// A run in which a key moves once, an order runs, another one's outcome stays unknown, and a
/// refusal is true.
fn clean() -> Evidence {
    Evidence {
        records: vec![
            record("r1", Outcome::Done),
            record("r2", Outcome::Done),
            record("r3", Outcome::NotRun),
            order_record("o1", "r4", Outcome::Done),
            order_record("o2", "r5", Outcome::Unknown),
        ],
        runs: vec![
            run("kits-1", "r1", 10, 12, 1),
            run("kits-2", "r2", 20, 22, 2),
            run("status-1", "r6", 10, 12, 1),
            order("o1", "r4", 30),
        ],
        overruns: Vec::new(),
        history: vec![
            head(1),
            shard(1, "a"),
            shard(2, "b"),
            assign("kits", 1, 0),
            assign("kits", 2, 1),
            assign("status", 1, 0),
            assign("status", 2, 1),
            head(2),
        ],
        outs: Vec::new(),
        pauses: Vec::new(),
        stops: Vec::new(),
        frozen: Vec::new(),
    }
}

fn check(seen: &Evidence) -> Vec<Violation> {
    Checker::new(&Bundle::parse(BUNDLE).unwrap()).check(seen)
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
        key: "k".to_owned(),
        servers: ["kits-1".to_owned(), "kits-2".to_owned()],
        time: 11_999,
    };
    assert_eq!(check(&seen), [expected]);
}

#[rstest]
#[case::same_fence(1)]
#[case::older_fence(0)]
fn a_new_owner_without_a_higher_fence_is_found(#[case] version: u64) {
    let mut seen = clean();
    seen.runs[1].fence = Some((1, version));
    let expected = Violation::FenceBack {
        key: "k".to_owned(),
        servers: ["kits-1".to_owned(), "kits-2".to_owned()],
        fences: [(1, 1), (1, version)],
        time: 20_000,
    };
    assert_eq!(check(&seen), [expected]);
}

#[test]
fn an_owner_that_the_store_does_not_name_is_found() {
    let mut seen = clean();
    seen.history.remove(4);
    let expected = Violation::OwnerNotStored {
        key: "k".to_owned(),
        server: "kits-2".to_owned(),
        time: 20_000,
    };
    assert_eq!(check(&seen), [expected]);
    // Stored after the run is as good as not stored.
    let mut seen = clean();
    seen.history[4].time = 20_001;
    assert_eq!(check(&seen).len(), 1);
}

/// An unfenced server is paused with a request received; the key goes to another server, and the
/// first one runs the request when it goes on. No router can prevent that, so it is no violation;
/// the same without the pause is one.
#[rstest]
#[case::paused(true, 0)]
#[case::awake(false, 1)]
fn what_an_unfenced_server_received_before_a_pause_is_excused(
    #[case] paused: bool,
    #[case] expected: usize,
) {
    let mut seen = clean();
    seen.runs.push(run("status-2", "r7", 900, 1_000, 2));
    seen.runs.push(run("status-1", "r8", 990, 1_100, 3));
    if paused {
        seen.pauses.push(Pause {
            server: "status-1".to_owned(),
            from: 500_000,
            until: 980_000,
        });
    }
    let found = check(&seen);
    let overlaps = |v: &&Violation| matches!(v, Violation::OwnersOverlap { .. });
    assert_eq!(found.iter().filter(overlaps).count(), expected, "{found:?}");
}

#[test]
fn an_order_that_ran_twice_is_found() {
    let mut seen = clean();
    seen.runs.push(order("o2", "r5", 40));
    assert_eq!(check(&seen), []);
    seen.runs.push(order("o2", "r9", 50));
    let expected = Violation::OrderTwice {
        order: "o2".to_owned(),
        servers: vec!["placement-1".to_owned(); 2],
    };
    assert_eq!(check(&seen), [expected]);
}

#[test]
fn an_order_told_done_that_never_ran_is_found() {
    let mut seen = clean();
    seen.runs.retain(|r| r.order.is_none());
    let expected = Violation::OrderLost {
        order: "o1".to_owned(),
        request: "r4".to_owned(),
    };
    assert_eq!(check(&seen), [expected]);
}

#[rstest]
#[case::lookup(run("kits-2", "r3", 30, 31, 2))]
#[case::order(order("o3", "r3", 40))]
fn a_false_not_run_is_found(#[case] ran: Run) {
    let mut seen = clean();
    let server = ran.server.clone();
    seen.runs.push(ran);
    let request = "r3".to_owned();
    assert_eq!(check(&seen), [Violation::NotRunRan { request, server }]);
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

/// A caller is kept waiting past its deadline. Where its gate was paused nobody could answer, so
/// only a gate that ran has broken its promise.
#[rstest]
#[case::gate_runs(None, 1)]
#[case::gate_was_paused(Some(500..900), 0)]
#[case::gate_was_paused_later(Some(1_001..2_000), 1)]
fn a_caller_kept_waiting_is_found(#[case] frozen: Option<Range<u64>>, #[case] expected: usize) {
    let mut seen = clean();
    seen.records[4].hung = true;
    seen.frozen.extend(frozen.map(|f| GateTime {
        gate: seen.records[4].gate,
        from: f.start,
        until: f.end,
    }));
    let request = "r5".to_owned();
    assert_eq!(check(&seen), vec![Violation::Hung { request }; expected]);
}

/// A gate is told to stop; a caller's connection to it ends without an answer. The same outcome with
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
    seen.stops.push(GateTime {
        gate: seen.records[4].gate,
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
#[case::assignment_back(assign("kits", 1, 0))]
#[case::epoch_back(shard(1, "a"))]
#[case::second_holder_in_an_epoch(shard(2, "c"))]
#[case::not_readable(change("shard/svc.kits.0", 9, "?"))]
#[case::deleted(Change { value: None, ..change("assign/svc.kits.0", 9, "") })]
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
#[case::skipped(4)]
fn a_configuration_that_does_not_follow_is_found(#[case] after: u64) {
    let mut seen = clean();
    seen.history.push(head(after));
    assert_eq!(check(&seen), [Violation::ConfigBack { before: 2, after }]);
}

#[rstest]
#[case::within_the_limit(7_000, 0)]
#[case::past_the_limit(7_002, 1)]
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
#[case::announced_at_once(true, 100, 0)]
#[case::announced_late(true, 700, 1)]
#[case::silent_at_first(false, 700, 0)]
#[case::silent_late(false, 2_100, 1)]
fn an_overrun_cold_server_is_found(
    #[case] announced: bool,
    #[case] cold_ms: u64,
    #[case] expected: usize,
) {
    let mut seen = clean();
    seen.overruns.push(Overrun {
        server: "kits-1".to_owned(),
        time: 0,
        cold_ms,
        announced,
        busy: 2,
        bears: 1,
    });
    let planted = Violation::ColdOverrun {
        server: "kits-1".to_owned(),
        cold_ms,
        busy: 2,
        bears: 1,
    };
    assert_eq!(check(&seen), vec![planted; expected]);
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
