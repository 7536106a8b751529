//! Tests of the load generator, with targets in place of entry hosts.

use std::net::SocketAddr;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::CallRecord;
use chicoryrail_testkit::Listener;
use chicoryrail_testkit::Load;
use chicoryrail_testkit::LoadHost;
use chicoryrail_testkit::LoadKind;
use chicoryrail_testkit::LoadOptions;
use chicoryrail_testkit::LoadService;
use chicoryrail_testkit::LoadSummary;
use chicoryrail_testkit::Outcome;
use chicoryrail_testkit::TargetFault;
use chicoryrail_testkit::TargetOptions;
use chicoryrail_testkit::TargetServer;
use http::Request;

async fn target(options: TargetOptions) -> SocketAddr {
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = listener.addr().unwrap();
    monoio::spawn(TargetServer::serve(
        options,
        listener,
        CancellationToken::new(),
    ));
    addr
}

fn options(hosts: &[SocketAddr]) -> LoadOptions {
    let host = |callers: &SocketAddr| LoadHost {
        addr: *callers,
        readiness: None,
    };
    LoadOptions {
        hosts: hosts.iter().map(host).collect(),
        services: vec![
            LoadService::new("shop.example", "/v1/kits/", LoadKind::Lookup).with_keys(50, 1.0),
            LoadService::new("shop.example", "/v1/placement/", LoadKind::Order),
        ],
        duration: Millis(300),
        callers: 2,
        ..LoadOptions::default()
    }
}

/// Runs load against one target that has a fault, and returns the records.
async fn run_under(fault: &TargetFault) -> Vec<CallRecord> {
    let addr = target(TargetOptions::new("kits-01")).await;
    put_fault(addr, fault).await;
    Load::new(options(&[addr])).run().await
}

async fn put_fault(addr: SocketAddr, fault: &TargetFault) {
    let body = Bytes::from(serde_json::to_vec(fault).unwrap());
    let request = Request::put("/testkit/fault").body(body).unwrap();
    let client = HttpClient::default();
    client.call(addr, request, Millis(20_000)).await.unwrap();
}

fn lookups(records: &[CallRecord]) -> impl Iterator<Item = &CallRecord> {
    records.iter().filter(|r| r.kind == LoadKind::Lookup)
}

/// Guards against uploads whose slow callers are counted as failed, or whose responses are not checked.
#[test]
fn uploads_of_slow_callers_are_done_and_right() {
    block_on(async {
        let addr = target(TargetOptions::new("lots-01")).await;
        let uploads = LoadService::new("shop.example", "/v1/lots/", LoadKind::Upload);
        let load = LoadOptions {
            services: vec![uploads.with_body_bytes(100_000)],
            ..options(&[addr])
        };
        let records = Load::new(load).run().await;
        let summary = LoadSummary::of(&records);
        assert!(summary.requests > 4, "{summary:?}");
        assert_eq!(summary.orders_sent, summary.requests);
        assert_eq!((summary.ok, summary.wrong), (summary.requests, 0));
        // A slow caller waits for 20 ms before each piece.
        assert!(summary.order_p99_ms >= 20.0, "{summary:?}");
    });
}

/// Guards against refused callers that don't return although they tolerate waiting, or that return after their deadline.
#[test]
fn refused_callers_with_a_deadline_of_their_own_return() {
    block_on(async {
        let refuse = TargetFault::Refuse {
            for_ms: 500,
            share: 1.0,
            backoff_ms: Some(100),
        };
        let addr = target(TargetOptions::new("lots-01")).await;
        put_fault(addr, &refuse).await;
        let orders = LoadService::new("shop.example", "/v1/lots/", LoadKind::Order);
        let load = LoadOptions {
            services: vec![LoadService {
                deadline: Some(Millis(5_000)),
                ..orders
            }],
            ..options(&[addr])
        };
        let records = Load::new(load).run().await;
        assert!(!records.is_empty());
        for record in &records {
            assert_eq!(record.outcome, Outcome::Done, "{record:?}");
            let returned = record.returned.unwrap();
            assert!(returned > record.intended && returned < record.deadline);
        }
    });
}

#[test]
fn complete_and_own_responses_are_done_and_right() {
    block_on(async {
        let addr = target(TargetOptions::new("kits-01")).await;
        let records = Load::new(options(&[addr])).run().await;
        let summary = LoadSummary::of(&records);
        assert!(
            summary.requests > 0 && summary.orders_sent > 0,
            "{summary:?}"
        );
        assert_eq!(
            (summary.ok, summary.wrong, summary.hung),
            (summary.requests, 0, 0)
        );
        let lookups = lookups(&records).count() as u64;
        assert_eq!(summary.orders_sent + lookups, summary.requests);
    });
}

/// A caller gets the response to another request, complete and with status 200. The request that it names shows
/// that it is wrong.
#[test]
fn response_to_another_request_is_wrong() {
    block_on(async {
        let crossed = TargetFault::Crossed {
            for_ms: 60_000,
            share: 1.0,
        };
        let records = run_under(&crossed).await;
        // The first response has no earlier one to be exchanged with.
        let right = lookups(&records).filter(|r| r.wrong.is_none()).count();
        assert!(right <= 1, "{right} of {}", records.len());
    });
}

#[test]
fn cut_response_has_indeterminate_outcome_and_is_not_wrong() {
    block_on(async {
        let cut = TargetFault::Cut {
            for_ms: 60_000,
            share: 1.0,
            after: 100,
        };
        let records = run_under(&cut).await;
        assert!(!records.is_empty());
        assert!(
            records
                .iter()
                .all(|r| r.outcome == Outcome::Unknown && r.wrong.is_none())
        );
    });
}

/// The port of one of two hosts is closed, so nothing is sent to it and the caller tries the other host. A server
/// that sheds load responds with 503, which means that the request did not run.
#[test]
fn closed_host_is_skipped_and_shed_request_did_not_run() {
    block_on(async {
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let closed = listener.addr().unwrap();
        drop(listener);
        let small_target = TargetOptions {
            slots: 1,
            queue: 0,
            service_us: 20_000,
            ..TargetOptions::new("kits-01")
        };
        let addr = target(small_target).await;
        let records = Load::new(options(&[closed, addr])).run().await;
        assert!(records.iter().all(|r| r.host == addr));
        let shed = |r: &&CallRecord| r.status == 503;
        assert!(records.iter().filter(shed).count() > 0);
        assert!(
            records
                .iter()
                .filter(shed)
                .all(|r| r.outcome == Outcome::NotRun)
        );
    });
}

/// A response without the stamp of a server does not come from a server, even if its body matches.
#[test]
fn response_without_stamp_is_wrong() {
    block_on(async {
        let records = run_under(&TargetFault::Unmarked { for_ms: 60_000 }).await;
        assert!(!records.is_empty());
        assert!(records.iter().all(|r| r.wrong.is_some()));
    });
}

/// Latency counts from the intended start of a request. With one slot, a service time of 20 ms and 200 requests
/// per second, later requests wait for earlier ones, and the latency must include that wait.
#[test]
fn open_loop_counts_latency_from_intended_start() {
    block_on(async {
        let slow_target = TargetOptions {
            slots: 1,
            queue: 10_000,
            service_us: 20_000,
            ..TargetOptions::new("kits-01")
        };
        let addr = target(slow_target).await;
        let open_loop = LoadOptions {
            rate: Some(200.0),
            deadline: Millis(60_000),
            ..options(&[addr])
        };
        let records = Load::new(open_loop).run().await;
        let latest = records.iter().max_by_key(|r| r.intended).unwrap();
        assert!(latest.ended - latest.intended > 100_000, "{latest:?}");
    });
}
