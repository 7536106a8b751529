//! The target's stand-in over its HTTP interface.

use std::net::SocketAddr;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_platform::SessionAnswer;
use chicoryrail_platform::header;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::AnswerHead;
use chicoryrail_testkit::Ledger;
use chicoryrail_testkit::Listener;
use chicoryrail_testkit::TargetFault;
use chicoryrail_testkit::TargetOptions;
use chicoryrail_testkit::TargetServer;
use futures_util::future::join_all;
use http::Request;
use http::Response;
use rstest::rstest;

async fn start(options: TargetOptions) -> SocketAddr {
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = listener.addr().unwrap();
    monoio::spawn(TargetServer::serve(
        options,
        listener,
        CancellationToken::new(),
    ));
    addr
}

fn options() -> TargetOptions {
    TargetOptions::new("kits-01")
}

async fn send(addr: SocketAddr, request: Request<Bytes>) -> Response<Bytes> {
    let client = HttpClient::default();
    client.call(addr, request, Millis(20_000)).await.unwrap()
}

fn lookup(id: &str, query: &str) -> Request<Bytes> {
    Request::get(format!("/v1/kits/key-1?{query}"))
        .header(header::REQUEST_ID, id)
        .body(Bytes::new())
        .unwrap()
}

async fn fault(addr: SocketAddr, fault: &TargetFault) {
    let body = serde_json::to_vec(fault).unwrap();
    let request = Request::put("/testkit/fault").body(body.into()).unwrap();
    assert_eq!(send(addr, request).await.status(), 200);
}

async fn ledger(addr: SocketAddr) -> Ledger {
    let request = Request::get("/testkit/ledger").body(Bytes::new()).unwrap();
    serde_json::from_slice(send(addr, request).await.body()).unwrap()
}

#[rstest]
#[case::fixed_length("body=100000")]
#[case::chunked("body=100000&chunked=1")]
#[case::empty("body=0")]
fn an_answer_names_its_request_and_is_whole(#[case] query: &'static str) {
    block_on(async move {
        let addr = start(options()).await;
        let answer = send(addr, lookup("r1", query)).await;
        assert_eq!(answer.headers()[header::REQUEST_ID], "r1");
        let head = AnswerHead::check(answer.body()).unwrap();
        assert_eq!((&*head.key, &*head.request), ("key-1", "r1"));
        let short = &answer.body()[..answer.body().len() - 1];
        assert_eq!(AnswerHead::check(short), None);
    });
}

/// `key%2D1` and `key-1` are one key to every process, so also to the server that checks its owner.
#[test]
fn a_key_is_known_by_what_its_segment_means() {
    block_on(async {
        let addr = start(options()).await;
        let request = Request::get("/v1/kits/key%2D1?body=100")
            .header(header::REQUEST_ID, "r1")
            .body(Bytes::new())
            .unwrap();
        let answer = send(addr, request).await;
        assert_eq!(&*AnswerHead::check(answer.body()).unwrap().key, "key-1");
    });
}

/// One slot and a queue of one: of three requests at once one runs, one waits, and one is shed with
/// a true "not run".
#[test]
fn a_full_queue_sheds_and_says_not_run() {
    block_on(async {
        let addr = start(TargetOptions {
            slots: 1,
            queue: 1,
            ..options()
        })
        .await;
        let ids = ["r1", "r2", "r3"];
        let calls = ids.map(|id| send(addr, lookup(id, "work_us=1500000")));
        let answers = join_all(calls).await;
        let shed: Vec<_> = answers.iter().filter(|a| a.status() == 503).collect();
        assert_eq!(shed.len(), 1);
        assert_eq!(shed[0].headers()[header::NOT_RUN], "1");
        let seen = ledger(addr).await;
        assert_eq!((seen.done, seen.shed, seen.max_busy), (2, 1, 3));
    });
}

#[test]
fn a_request_whose_deadline_passes_in_the_queue_is_not_run() {
    block_on(async {
        let addr = start(TargetOptions {
            slots: 1,
            ..options()
        })
        .await;
        let mut late = lookup("late", "");
        late.headers_mut()
            .insert(header::DEADLINE, "50".parse().unwrap());
        let first = send(addr, lookup("first", "work_us=1500000"));
        let second = async {
            monoio::time::sleep(Millis(100).duration()).await;
            send(addr, late).await
        };
        let (_, answer) = futures_util::future::join(first, second).await;
        assert_eq!(answer.status(), 504);
        assert_eq!(answer.headers()[header::NOT_RUN], "1");
        let seen = ledger(addr).await;
        assert_eq!((seen.done, seen.late), (1, 1));
    });
}

/// A keyed, fenced server that was granted nothing refuses before the run, and tells the fence that
/// it has seen.
#[test]
fn a_key_that_is_not_held_is_refused_before_the_run() {
    block_on(async {
        let addr = start(TargetOptions {
            keyed: true,
            fenced: true,
            ..options()
        })
        .await;
        let answer = send(addr, lookup("r1", "")).await;
        assert_eq!(answer.status(), 409);
        assert_eq!(answer.headers()[header::NOT_RUN], "1");
        let seen: SessionAnswer = serde_json::from_slice(answer.body()).unwrap();
        assert_eq!(seen.slices, []);
        let ledger = ledger(addr).await;
        assert_eq!((ledger.done, ledger.wrong_owner), (0, 1));
    });
}

/// The caller's connection ends without an answer; the order ran all the same and stands in the
/// ledger.
#[test]
fn a_lost_answer_leaves_the_order_run() {
    block_on(async {
        let addr = start(options()).await;
        let lose = TargetFault::LoseAnswers {
            for_ms: 60_000,
            share: 1.0,
        };
        fault(addr, &lose).await;
        let order = Request::post("/v1/placement/shop-1")
            .header(header::ORDER_ID, "o1")
            .body(Bytes::from_static(b"{}"))
            .unwrap();
        let answer = HttpClient::default()
            .call(addr, order, Millis(20_000))
            .await;
        assert!(answer.is_err(), "{answer:?}");
        let orders: Vec<_> = ledger(addr)
            .await
            .runs
            .into_iter()
            .map(|r| r.order)
            .collect();
        assert_eq!(orders, [Some("o1".to_owned())]);
    });
}

/// A server turns cold without a word: the same instance, and a second request in flight is more
/// than it bears.
#[test]
fn a_cold_server_records_what_is_more_than_it_bears() {
    block_on(async {
        let addr = start(options()).await;
        let before = send(addr, lookup("r0", "")).await;
        let cold = TargetFault::Cold {
            for_ms: Some(60_000),
            new_instance: false,
        };
        fault(addr, &cold).await;
        let calls = ["r1", "r2"].map(|id| send(addr, lookup(id, "work_us=50000")));
        let answers = join_all(calls).await;
        let instance = |a: &Response<Bytes>| a.headers()[header::INSTANCE].clone();
        assert!(answers.iter().all(|a| instance(a) == instance(&before)));
        let seen = ledger(addr).await;
        let found: Vec<_> = seen
            .overruns
            .iter()
            .map(|o| (o.busy, o.bears, o.announced))
            .collect();
        assert_eq!(found, [(2, 1, false)]);
    });
}

#[test]
fn a_cancelled_lookup_gives_its_slot_back_and_does_not_run() {
    block_on(async {
        let addr = start(TargetOptions {
            slots: 1,
            ..options()
        })
        .await;
        let running = send(addr, lookup("r1", "work_us=15000000"));
        let cancel = async {
            let body = Bytes::from_static(br#"{"request":"r1"}"#);
            loop {
                let request = Request::post("/control/cancel").body(body.clone()).unwrap();
                if send(addr, request).await.body() == "true" {
                    return;
                }
            }
        };
        let (answer, ()) = futures_util::future::join(running, cancel).await;
        assert_eq!(answer.headers()[header::NOT_RUN], "1");
        assert_eq!(send(addr, lookup("r2", "")).await.status(), 200);
        let seen = ledger(addr).await;
        assert_eq!((seen.done, seen.cancelled), (1, 1));
    });
}
