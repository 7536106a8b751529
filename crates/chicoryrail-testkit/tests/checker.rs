//! Tests that the checker finds a planted violation of each kind, and none in a clean run.

use std::ops::Range;

use chicoryrail_testkit::Arrival;
use chicoryrail_testkit::Availability;
use chicoryrail_testkit::BodyMark;
use chicoryrail_testkit::CallRecord;
use chicoryrail_testkit::CallerKind;
use chicoryrail_testkit::CancelledRun;
use chicoryrail_testkit::Change;
use chicoryrail_testkit::Evidence;
use chicoryrail_testkit::HostTime;
use chicoryrail_testkit::LimitOverrun;
use chicoryrail_testkit::LoadKind;
use chicoryrail_testkit::Notice;
use chicoryrail_testkit::NoticeKind;
use chicoryrail_testkit::OutPeriod;
use chicoryrail_testkit::Outcome;
use chicoryrail_testkit::Overrun;
use chicoryrail_testkit::Period;
use chicoryrail_testkit::QuotaWindow;
use chicoryrail_testkit::Run;
use chicoryrail_testkit::Violation;
use rstest::rstest;

/// The key that moves from one server to another.
const KEY: u16 = 150;

/// Returns a run for [`KEY`] under a fence; start and end in milliseconds.
fn run(server: &str, request: &str, start: u64, end: u64, fence: u64) -> Run {
    Run {
        server: server.to_owned(),
        service: "kits".to_owned(),
        key: Some(KEY),
        request: request.to_owned(),
        order: false,
        organisation: None,
        body: None,
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
        deadline: 1_000_000,
        outcome,
        status: 200,
        server: None,
        wrong: None,
        hung: false,
        caller: CallerKind::Anybody,
        body: None,
        retry_after: None,
        returned: None,
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

/// Returns a write of a key record that assigns all keys to a server.
fn key_record(fence: u64, server: &str) -> Change {
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

/// Returns evidence without violations: a key moves once, an order runs, the outcome of another order is
/// indeterminate, and a refused request did not run.
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
        history: vec![
            config(1),
            key_record(1, "kits-1"),
            key_record(2, "kits-2"),
            config(2),
        ],
        ..Evidence::default()
    }
}

fn check(evidence: &Evidence) -> Vec<Violation> {
    Violation::find(evidence)
}

#[test]
fn clean_run_has_no_violation() {
    assert_eq!(check(&clean()), []);
}

#[test]
fn finds_overlapping_owners() {
    let mut evidence = clean();
    evidence.runs[1].start = 11_999;
    let expected = Violation::OwnersOverlap {
        key: KEY,
        servers: ["kits-1".to_owned(), "kits-2".to_owned()],
        time: 11_999,
    };
    assert_eq!(check(&evidence), [expected]);
}

#[rstest]
#[case::same_fence(1)]
#[case::older_fence(0)]
fn finds_new_owner_without_higher_fence(#[case] fence: u64) {
    let mut evidence = clean();
    evidence.runs[1].fence = Some(fence);
    let expected = Violation::FenceBack {
        key: KEY,
        servers: ["kits-1".to_owned(), "kits-2".to_owned()],
        fences: [1, fence],
        time: 20_000,
    };
    assert_eq!(check(&evidence), [expected]);
}

#[test]
fn finds_owner_that_is_not_stored() {
    let mut evidence = clean();
    evidence.history.remove(2);
    let expected = Violation::OwnerNotStored {
        key: KEY,
        server: "kits-2".to_owned(),
        time: 20_000,
    };
    assert_eq!(check(&evidence), [expected]);
    // A record stored after the run does not count.
    let mut evidence = clean();
    evidence.history[2].time = 20_001;
    assert_eq!(check(&evidence).len(), 1);
}

#[test]
fn finds_order_that_ran_twice() {
    let mut evidence = clean();
    evidence.runs.push(order("r5", 40));
    assert_eq!(check(&evidence), []);
    evidence.runs.push(order("r5", 50));
    let expected = Violation::OrderTwice {
        request: "r5".to_owned(),
        servers: vec!["placement-1".to_owned(); 2],
    };
    assert_eq!(check(&evidence), [expected]);
}

/// Unlike an order, a lookup may run at two servers.
#[test]
fn lookup_that_ran_twice_is_no_violation() {
    let mut evidence = clean();
    evidence.runs.push(run("kits-2", "r2", 30, 31, 2));
    assert_eq!(check(&evidence), []);
}

#[test]
fn finds_order_reported_done_that_never_ran() {
    let mut evidence = clean();
    evidence.runs.retain(|r| !r.order);
    let request = "r4".to_owned();
    assert_eq!(check(&evidence), [Violation::OrderLost { request }]);
}

#[rstest]
#[case::lookup(run("kits-2", "r3", 30, 31, 2))]
#[case::order(order("r3", 40))]
fn finds_false_not_run(#[case] ran: Run) {
    let mut evidence = clean();
    let servers = vec![ran.server.clone()];
    evidence.runs.push(ran);
    let request = "r3".to_owned();
    assert_eq!(
        check(&evidence),
        [Violation::NotRunRan { request, servers }]
    );
}

/// Guards against a checker that overlooks a body of which a part is missing, or other bytes of the same length.
#[rstest]
#[case::same(b"order 17", true)]
#[case::part(b"order 1", false)]
#[case::none(b"", false)]
#[case::other_bytes(b"order 71", false)]
fn finds_changed_body(#[case] body: &[u8], #[case] is_same: bool) {
    let sent = b"order 17";
    let mut evidence = clean();
    evidence.records[3].body = Some(BodyMark::of(sent));
    let request = evidence.records[3].request.clone();
    let run = evidence.runs.iter_mut().find(|r| r.request == request);
    let run = run.unwrap();
    run.body = Some(BodyMark::of(body));
    let expected = Violation::BodyChanged {
        request,
        server: run.server.clone(),
        sent: sent.len() as u64,
        ran: body.len() as u64,
    };
    let expected: Vec<_> = (!is_same).then_some(expected).into_iter().collect();
    assert_eq!(check(&evidence), expected);
}

#[test]
fn finds_wrong_response() {
    let mut evidence = clean();
    evidence.records[0].wrong = Some("response to request r2".to_owned());
    let expected = Violation::AnswerWrong {
        request: "r1".to_owned(),
        reason: "response to request r2".to_owned(),
    };
    assert_eq!(check(&evidence), [expected]);
}

/// A request hangs past its deadline. That is a violation unless its router was paused meanwhile and
/// could not respond.
#[rstest]
#[case::router_runs(None, 1)]
#[case::router_was_paused(Some(500..900), 0)]
#[case::router_was_paused_later(Some(1_001..2_000), 1)]
fn finds_hung_request(#[case] frozen: Option<Range<u64>>, #[case] expected: usize) {
    let mut evidence = clean();
    evidence.records[4].hung = true;
    evidence.frozen.extend(frozen.map(|f| HostTime {
        host: evidence.records[4].host,
        from: f.start,
        until: f.end,
    }));
    let request = "r5".to_owned();
    assert_eq!(
        check(&evidence),
        vec![Violation::Hung { request }; expected]
    );
}

/// A caller's connection ends without a response during a planned stop of its router. An indeterminate outcome
/// with a response, or at another time, is not due to the stop.
#[rstest]
#[case::cut(0, 5_000, 1)]
#[case::answered(502, 5_000, 0)]
#[case::before(0, 900, 0)]
#[case::detected_late(0, 1_006_000, 1)]
#[case::after(0, 1_006_001, 0)]
fn finds_request_cut_by_planned_stop(
    #[case] status: u16,
    #[case] ended: u64,
    #[case] expected: usize,
) {
    let mut evidence = clean();
    evidence.records[4].status = status;
    evidence.records[4].ended = ended;
    evidence.stops.push(HostTime {
        host: evidence.records[4].host,
        from: 1_000,
        until: 6_000,
    });
    let request = "r5".to_owned();
    assert_eq!(
        check(&evidence),
        vec![Violation::CutByStop { request }; expected]
    );
}

/// A response breaks off in its body during a planned stop of its router. After its caller's deadline it may.
#[rstest]
#[case::before_the_deadline(5_001, 1)]
#[case::after_the_deadline(4_999, 0)]
fn finds_response_truncated_by_planned_stop(#[case] deadline: u64, #[case] expected: usize) {
    let mut evidence = clean();
    let record = &mut evidence.records[4];
    (record.status, record.ended, record.deadline) = (200, 5_000, deadline);
    let (host, request) = (record.host, record.request.clone());
    evidence.stops.push(HostTime {
        host,
        from: 1_000,
        until: 6_000,
    });
    assert_eq!(
        check(&evidence),
        vec![Violation::CutByStop { request }; expected]
    );
}

/// A caller that was refused before the close returns, and its request crosses the close; times in milliseconds since
/// SIGTERM.
#[rstest]
#[case::returned_beside_the_close(2_600, 2_602, 0)]
#[case::returned_before_the_close(2_499, 2_500, 1)]
#[case::returned_long_before_the_end(2_600, 2_801, 1)]
fn a_request_of_a_returned_caller_may_cross_a_close(
    #[case] returned: u64,
    #[case] ended: u64,
    #[case] expected: usize,
) {
    let mut evidence = clean();
    let host = evidence.records[4].host;
    evidence.stops.push(HostTime {
        host,
        from: 0,
        until: 6_000_000,
    });
    evidence.records[4] = CallRecord {
        ended: ended * 1_000,
        deadline: 0,
        status: 0,
        returned: Some(returned * 1_000),
        ..record("cut", Outcome::Unknown)
    };
    let request = "cut".to_owned();
    assert_eq!(
        check(&evidence),
        vec![Violation::CutByStop { request }; expected]
    );
}

/// A request that crosses the close of its idle connection is no violation if it reached no server; times in milliseconds
/// since SIGTERM.
#[rstest]
#[case::crossing(2_600, 2_602, false, 0)]
#[case::crossing_for_long(2_600, 2_801, false, 1)]
#[case::before_the_close(2_499, 2_500, false, 1)]
#[case::run_by_a_server(2_600, 2_602, true, 1)]
fn finds_request_cut_beside_a_close(
    #[case] sent: u64,
    #[case] ended: u64,
    #[case] has_run: bool,
    #[case] expected: usize,
) {
    let mut evidence = clean();
    let host = evidence.records[4].host;
    let lookup = CallRecord {
        intended: sent * 1_000,
        ended: ended * 1_000,
        deadline: 0,
        status: 0,
        ..record("cut", Outcome::Unknown)
    };
    evidence.stops.push(HostTime {
        host,
        from: 0,
        until: 6_000_000,
    });
    if has_run {
        evidence.cancelled_runs.push(CancelledRun {
            server: "kits-1".to_owned(),
            request: "cut".to_owned(),
            start: sent * 1_000,
            due: ended * 1_000,
            time: ended * 1_000,
        });
    }
    evidence.records.push(CallRecord { host, ..lookup });
    let request = "cut".to_owned();
    let cut = Violation::CutByStop { request };
    let found = check(&evidence);
    assert_eq!(found.iter().filter(|v| **v == cut).count(), expected);
}

#[rstest]
#[case::fence_back(key_record(1, "kits-1"))]
#[case::not_readable(change("chicoryrail/keys/kits", 9, "?"))]
#[case::deleted(Change { value: None, ..change("chicoryrail/keys/kits", 9, "") })]
fn finds_key_record_that_goes_back(#[case] planted: Change) {
    let mut evidence = clean();
    let expected = Violation::StoredBack {
        key: planted.key.clone(),
        version: planted.version,
    };
    evidence.history.push(planted);
    assert_eq!(check(&evidence), [expected]);
}

#[rstest]
#[case::back(1)]
#[case::again(2)]
fn finds_configuration_that_is_not_higher(#[case] after: u64) {
    let mut evidence = clean();
    evidence.history.push(config(after));
    assert_eq!(
        check(&evidence),
        [Violation::ConfigBack { before: 2, after }]
    );
}

#[rstest]
#[case::within_the_limit(4_000, 0)]
#[case::past_the_limit(4_002, 1)]
#[case::back_in_service(9_000, 0)]
fn finds_request_to_server_out_of_service(#[case] start: u64, #[case] expected: usize) {
    let mut evidence = clean();
    evidence.outs.push(OutPeriod {
        servers: vec!["kits-2".to_owned()],
        from: 4_000_000,
        until: 9_000_000,
    });
    evidence.runs.push(run("kits-2", "r7", start, start + 1, 2));
    let found = check(&evidence);
    let out = |v: &&Violation| matches!(v, Violation::WorkWhileOut { .. });
    assert_eq!(found.iter().filter(out).count(), expected, "{found:?}");
    assert_eq!(found.len(), expected);
}

#[rstest]
#[case::at_once(1_900, 0)]
#[case::late(2_100, 1)]
fn finds_overrun_of_warming_server(#[case] cold_ms: u64, #[case] expected: usize) {
    let mut evidence = clean();
    evidence.overruns.push(Overrun {
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
    assert_eq!(check(&evidence), vec![planted; expected]);
}

#[test]
fn finds_overrun_of_limited_server() {
    let mut evidence = clean();
    evidence.limit_overruns.push(LimitOverrun {
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
    assert_eq!(check(&evidence), [planted]);
}

/// A key is looked up every 100 ms. The lookups at 200 and 300 ms fail and the one at 400 ms succeeds, so the key
/// was unavailable for 200 ms.
#[test]
fn unavailability_lasts_from_failed_lookup_to_next_success() {
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

fn with_caller(request: &str, caller: CallerKind) -> Evidence {
    let mut evidence = clean();
    let own = evidence.records.iter_mut().find(|r| r.request == request);
    own.unwrap().caller = caller;
    evidence
}

#[test]
fn request_for_its_own_organisation_is_no_violation() {
    let mut evidence = with_caller("r1", CallerKind::Organisation("school".to_owned()));
    evidence.runs[0].organisation = Some("school".to_owned());
    assert_eq!(Violation::find(&evidence), []);
}

#[rstest]
#[case::no_key(CallerKind::Nobody, None)]
#[case::another(CallerKind::Organisation("school".to_owned()), Some("shop"))]
#[case::unnamed(CallerKind::Organisation("school".to_owned()), None)]
#[case::reported(CallerKind::Anybody, Some("school"))]
fn finds_request_for_wrong_organisation(
    #[case] caller: CallerKind,
    #[case] reported: Option<&str>,
) {
    let mut evidence = with_caller("r1", caller);
    evidence.runs[0].organisation = reported.map(str::to_owned);
    let expected = Violation::UnauthorisedRan {
        request: "r1".to_owned(),
        organisation: reported.map(str::to_owned),
    };
    assert_eq!(Violation::find(&evidence), [expected]);
}

#[test]
fn finds_leaked_api_key() {
    let mut evidence = clean();
    evidence.runs[0].key_leaked = true;
    let expected = Violation::KeyLeaked {
        request: "r1".to_owned(),
    };
    assert_eq!(Violation::find(&evidence), [expected]);
}

#[test]
fn finds_more_requests_than_quota_in_window() {
    let mut evidence = with_caller("r1", CallerKind::Organisation("school".to_owned()));
    let second = evidence.records.iter_mut().find(|r| r.request == "r2");
    second.unwrap().caller = CallerKind::Organisation("school".to_owned());
    for run in &mut evidence.runs[..2] {
        run.organisation = Some("school".to_owned());
    }
    let window = |length_ms| QuotaWindow {
        length_ms,
        requests: 1,
    };
    evidence.quotas.insert("school".to_owned(), window(5));
    assert_eq!(Violation::find(&evidence), []);
    evidence.quotas.insert("school".to_owned(), window(50));
    let expected = Violation::OverQuota {
        organisation: "school".to_owned(),
        ran: 2,
        allowed: 1,
    };
    assert_eq!(Violation::find(&evidence), [expected]);
}

/// Returns a response with a notice; the time in milliseconds.
fn notice(request: &str, born: u64, time: u64, kind: NoticeKind) -> Notice {
    Notice {
        server: "kits-1".to_owned(),
        born,
        request: request.to_owned(),
        time: time * 1_000,
        kind,
    }
}

/// Returns the record of a request that a server answered; times in milliseconds.
fn answered(request: &str, host: &str, intended: u64, ended: u64) -> CallRecord {
    CallRecord {
        host: host.parse().unwrap(),
        intended: intended * 1_000,
        ended: ended * 1_000,
        server: Some("kits-1".to_owned()),
        ..record(request, Outcome::Done)
    }
}

/// Returns the interruption of the first host in a period in milliseconds.
fn interruption(period: Range<u64>) -> HostTime {
    HostTime {
        host: "127.0.0.1:7000".parse().unwrap(),
        from: period.start * 1_000,
        until: period.end * 1_000,
    }
}

/// Guards against a checker that overlooks a request to a server that had said to its host that it is draining.
#[rstest]
#[case::within_the_drain_time("127.0.0.1:7000", 7, 3_100, None, 0)]
#[case::after_the_drain_time("127.0.0.1:7000", 7, 3_101, None, 1)]
#[case::from_another_host("127.0.0.1:7001", 7, 3_101, None, 0)]
#[case::to_the_next_incarnation("127.0.0.1:7000", 8, 3_101, None, 0)]
#[case::host_was_restarted("127.0.0.1:7000", 7, 3_101, Some(2_000..2_500), 0)]
#[case::host_was_restarted_before("127.0.0.1:7000", 7, 3_101, Some(500..900), 1)]
fn finds_request_after_drain_notice(
    #[case] host: &str,
    #[case] born: u64,
    #[case] sent: u64,
    #[case] interrupted: Option<Range<u64>>,
    #[case] expected: usize,
) {
    let evidence = Evidence {
        records: vec![
            answered("n1", "127.0.0.1:7000", 1_000, 1_100),
            answered("n2", host, sent, sent + 10),
        ],
        notices: vec![
            notice("n1", 7, 1_090, NoticeKind::Draining),
            notice("n2", born, sent + 5, NoticeKind::Draining),
        ],
        interruptions: interrupted.into_iter().map(interruption).collect(),
        ..Evidence::default()
    };
    let late = |v: &Violation| matches!(v, Violation::SentAfterDrain { .. });
    let found = check(&evidence).into_iter().filter(late).count();
    assert_eq!(found, expected);
}

/// Guards against a checker that overlooks requests to a server that had asked their host for nothing.
#[rstest]
#[case::three("127.0.0.1:7000", 7, [1_600, 2_000, 3_999], None, 1)]
#[case::one_in_transit("127.0.0.1:7000", 7, [1_500, 2_000, 3_999], None, 0)]
#[case::one_after_the_end("127.0.0.1:7000", 7, [1_600, 2_000, 4_000], None, 0)]
#[case::from_another_host("127.0.0.1:7001", 7, [1_600, 2_000, 3_999], None, 0)]
#[case::to_the_next_incarnation("127.0.0.1:7000", 8, [1_600, 2_000, 3_999], None, 0)]
#[case::host_was_restarted("127.0.0.1:7000", 7, [1_600, 2_000, 3_999], Some(1_100..1_200), 0)]
fn finds_requests_in_backoff_time(
    #[case] host: &str,
    #[case] born: u64,
    #[case] times: [u64; 3],
    #[case] interrupted: Option<Range<u64>>,
    #[case] expected: usize,
) {
    let mut records = vec![answered("b", "127.0.0.1:7000", 990, 1_010)];
    let mut arrivals = Vec::new();
    for (i, time) in times.into_iter().enumerate() {
        let request = format!("b{i}");
        records.push(answered(&request, host, time - 5, time + 5));
        arrivals.push(Arrival {
            server: "kits-1".to_owned(),
            born,
            request,
            time: time * 1_000,
        });
    }
    let evidence = Evidence {
        records,
        arrivals,
        notices: vec![notice("b", 7, 1_000, NoticeKind::Backoff { for_ms: 3_000 })],
        interruptions: interrupted.into_iter().map(interruption).collect(),
        ..Evidence::default()
    };
    let in_backoff = |v: &Violation| matches!(v, Violation::SentInBackoff { .. });
    let found = check(&evidence).into_iter().filter(in_backoff).count();
    assert_eq!(found, expected);
}

/// Guards against a checker that overlooks a host whose callers are refused because it has lost its paths to the servers.
#[rstest]
#[case::starved(20, 0, 1)]
#[case::few_failures(10, 0, 0)]
#[case::served_like_the_others(20, 16, 0)]
fn finds_hosts_starved_by_a_cut(#[case] sent: u64, #[case] served: u64, #[case] expected: usize) {
    let (cut, other) = ("127.0.0.1:7000", "127.0.0.1:7001");
    let at = |i: u64| 4_000 + i * 10;
    let mut records = Vec::new();
    for i in 0..sent {
        let mut record = answered(&format!("c{i}"), cut, at(i), at(i) + 5);
        if i >= served {
            record.outcome = Outcome::NotRun;
        }
        records.push(record);
        records.push(answered(&format!("o{i}"), other, at(i), at(i) + 5));
    }
    let evidence = Evidence {
        records,
        cuts: vec![HostTime {
            host: cut.parse().unwrap(),
            from: 500_000,
            until: 8_000_000,
        }],
        ..Evidence::default()
    };
    let starved = |v: &Violation| matches!(v, Violation::CutHostStarved { .. });
    let found = check(&evidence).into_iter().filter(starved).count();
    assert_eq!(found, expected);
}

/// Returns evidence of a lookup whose run the host abandoned at 700 ms, at which its caller got an error of the host. The
/// run would have ended at `due`; times in milliseconds.
fn abandoned(status: u16, due: u64) -> Evidence {
    let mut evidence = clean();
    evidence.records.push(CallRecord {
        ended: 705_000,
        status,
        ..record("a", Outcome::Unknown)
    });
    evidence.cancelled_runs.push(CancelledRun {
        server: "kits-1".to_owned(),
        request: "a".to_owned(),
        start: 100_000,
        due: due * 1_000,
        time: 700_000,
    });
    evidence
}

fn abandoned_at_700() -> Violation {
    Violation::Abandoned {
        request: "a".to_owned(),
        server: "kits-1".to_owned(),
        ran_ms: 600,
        left_ms: 300,
    }
}

/// Guards against a checker that overlooks a host that gives up a request at a server that would have responded in time.
#[rstest]
#[case::bad_gateway(502, 900, 1)]
#[case::gateway_timeout(504, 900, 1)]
#[case::connection_closed(0, 900, 1)]
#[case::response_too_late(504, 901, 0)]
fn finds_run_that_its_host_abandoned(
    #[case] status: u16,
    #[case] due: u64,
    #[case] expected: usize,
) {
    let evidence = abandoned(status, due);
    assert_eq!(check(&evidence), vec![abandoned_at_700(); expected]);
}

/// A run is cancelled without harm if another server responds, or if the server itself responded with an error.
#[rstest]
#[case::served(Outcome::Done, None)]
#[case::error_of_a_server(Outcome::Unknown, Some("kits-2"))]
fn cancelled_run_of_an_answered_request_is_no_violation(
    #[case] outcome: Outcome,
    #[case] server: Option<&str>,
) {
    let mut evidence = abandoned(502, 900);
    let own = evidence.records.last_mut().unwrap();
    own.outcome = outcome;
    own.server = server.map(str::to_owned);
    assert_eq!(check(&evidence), []);
}

/// An order runs on although its host has given it up.
#[rstest]
#[case::before_the_end(300, 1)]
#[case::after_the_end(900, 0)]
fn finds_order_that_its_host_abandoned(#[case] ended: u64, #[case] expected: usize) {
    let mut evidence = clean();
    evidence.records[4].status = 502;
    evidence.records[4].ended = ended * 1_000;
    evidence.runs.push(Run {
        end: 800_000,
        ..order("r5", 100)
    });
    let planted = Violation::Abandoned {
        request: "r5".to_owned(),
        server: "placement-1".to_owned(),
        ran_ms: 200,
        left_ms: 700,
    };
    assert_eq!(check(&evidence), vec![planted; expected]);
}

/// A host that stops waits for its servers until the last sixth of its grace period of 6 s. The signal comes `signal_ms`
/// after the host abandoned the run.
#[rstest]
#[case::early("127.0.0.1:7000", 0, 1)]
#[case::just_before_the_last_sixth("127.0.0.1:7000", -4_999, 1)]
#[case::in_the_last_sixth("127.0.0.1:7000", -5_000, 0)]
#[case::of_another_host("127.0.0.1:7001", -5_000, 1)]
fn finds_run_abandoned_by_stopping_host(
    #[case] host: &str,
    #[case] signal_ms: i64,
    #[case] expected: usize,
) {
    let mut evidence = abandoned(502, 900);
    let shift = 10_000_000;
    let own = evidence.records.last_mut().unwrap();
    own.ended += shift;
    own.deadline += shift;
    let run = &mut evidence.cancelled_runs[0];
    run.start += shift;
    run.due += shift;
    run.time += shift;
    evidence.terminations.push(HostTime {
        host: host.parse().unwrap(),
        from: run.time.checked_add_signed(signal_ms * 1_000).unwrap(),
        until: run.time + 600_000,
    });
    assert_eq!(check(&evidence), vec![abandoned_at_700(); expected]);
}

/// A fault that breaks connections excuses only what it met.
#[rstest]
#[case::before_the_run(0..99, 1)]
#[case::during_the_run(650..660, 0)]
#[case::after_it(701..800, 1)]
fn run_whose_connection_broke_is_no_violation(
    #[case] severed: Range<u64>,
    #[case] expected: usize,
) {
    let mut evidence = abandoned(502, 900);
    evidence.severed.push(Period {
        from: severed.start * 1_000,
        until: severed.end * 1_000,
    });
    assert_eq!(check(&evidence), vec![abandoned_at_700(); expected]);
}
