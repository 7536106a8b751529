//! Responses that callers receive from a real router process while its servers work or fail.

mod support;

use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::ResponseHead;
use chicoryrail_testkit::TargetFault;
use chicoryrail_testkit::TargetOptions;
use futures_util::future::join_all;
use rstest::rstest;
use support::Mode;
use support::World;
use support::wait_until;

/// Service time of an order that occupies a slot.
const WORK: Millis = Millis(700);

/// Guards against requests that reach no server, and responses that are changed on their way to the caller.
#[test]
fn request_reaches_a_server_and_its_response_is_forwarded() {
    block_on(async {
        let world = World::start("calm").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        let caller = router.caller();
        let response = caller.get("/read/1").await.unwrap();
        assert_eq!(response.status(), 200);
        assert_eq!(response.headers()[call_header::UPSTREAM_STAMP], "stamp");
        assert_eq!(ResponseHead::check(response.body()).unwrap().server, "i-1");
        assert_eq!(caller.post("/order/1").await.unwrap().status(), 200);
        assert_eq!(caller.get("/none/1").await.unwrap().status(), 404);
        assert_eq!(server.executed_ids(), ["a-1-1", "a-1-2"]);
    });
}

/// Guards against a host without a configuration that reports a route as missing. It must refuse with `503`, which
/// promises that the request has not run, and must not be ready, so that the load balancer sends it no callers.
#[test]
fn host_without_configuration_refuses_with_503() {
    block_on(async {
        let world = World::start("empty").await;
        let router = world.spawn("a");
        wait_until("the router listens", async || {
            router.caller().get("/read/1").await.is_ok()
        })
        .await;
        assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 503);
        assert!(!router.is_ready().await);
    });
}

/// Guards against a status that makes a false promise when the servers refuse, fail or spoil the response to an order
/// or a read: `503` only if the request has not run, the server's own response if there is one, `502` if the outcome
/// is indeterminate. An order that may have run must never be sent to a second server.
#[rstest]
#[case::refused_order(Mode::Refuse, "order", 503, 0)]
#[case::refused_read(Mode::Refuse, "read", 503, 0)]
#[case::failed_order(Mode::Fail, "order", 500, 1)]
#[case::failed_read(Mode::Fail, "read", 500, 2)]
#[case::lost_order(Mode::LoseResponse, "order", 502, 1)]
#[case::lost_read(Mode::LoseResponse, "read", 502, 2)]
#[case::crossed_order(Mode::WrongRequestId, "order", 502, 1)]
#[case::crossed_read(Mode::WrongRequestId, "read", 502, 2)]
#[case::unmarked_order(Mode::NoStamp, "order", 502, 1)]
#[case::unmarked_read(Mode::NoStamp, "read", 502, 2)]
fn status_tells_whether_a_request_ran(
    #[case] mode: Mode,
    #[case] kind: &str,
    #[case] status: u16,
    #[case] runs: usize,
) {
    block_on(async {
        let world = World::start(&format!("truth-{mode:?}-{kind}")).await;
        world.configure().await;
        let servers = [
            world.server("i-1", "desk").await,
            world.server("i-2", "desk").await,
        ];
        let router = world.router("a").await;
        // A server's first response has no earlier one that it could be swapped with.
        for server in &servers {
            server.call_directly().await;
        }
        let before: usize = servers.iter().map(|s| s.executed()).sum();
        servers.iter().for_each(|s| s.set_mode(mode));
        let caller = router.caller();
        let response = match kind {
            "order" => caller.post("/order/1").await.unwrap(),
            _ => caller.get("/read/1").await.unwrap(),
        };
        assert_eq!(response.status(), status);
        let ran: usize = servers.iter().map(|s| s.executed()).sum();
        assert_eq!(ran - before, runs);
        let marked = response.headers().contains_key(call_header::UPSTREAM_STAMP);
        assert_eq!(marked, mode == Mode::Fail);
    });
}

/// Guards against a read that fails although another server could run it. One of two servers closes the connection
/// instead of responding.
#[test]
fn read_is_retried_on_another_server_when_its_response_is_lost() {
    block_on(async {
        let world = World::start("other").await;
        world.configure().await;
        let failing = world.server("i-1", "desk").await;
        let healthy = world.server("i-2", "desk").await;
        let router = world.router("a").await;
        failing.set_mode(Mode::LoseResponse);
        for _ in 0..10 {
            assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 200);
        }
        assert_eq!(healthy.executed(), 10);
    });
}

/// Guards against hosts that continue at full rate when a warm server reports, without a restart, that it warms up
/// again. The hosts together must stay within the warm-up rate limit, and refuse the rest at once with `retry-after`.
#[test]
fn server_that_warms_up_again_receives_a_limited_rate() {
    block_on(async {
        let world = World::start("cold").await;
        world.configure().await;
        // The server's warm-up rate limit is 5 requests a second times 1.5, plus 5, from all hosts together. The
        // scheduler uses a fraction of it; the rest is reserved for hosts that can't reach the scheduler.
        let server = world
            .server_with(TargetOptions {
                service: "desk".into(),
                warmup_limit: 8,
                ..TargetOptions::new("i-1")
            })
            .await;
        let router = world.router("a").await;
        // A scheduler that has just taken over does not know what was sent before, and grants no slots.
        wait_until("the router leads", async || {
            router.log().contains("log=leader_won")
        })
        .await;
        for _ in 0..20 {
            assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 200);
        }
        server.fault(TargetFault::Cold {
            for_ms: Some(3_000),
        });
        monoio::time::sleep(Millis(500).to_duration()).await;
        let clock = Clock::start();
        let (mut answered, mut refused) = (0, 0);
        while clock.now() < Millis(1_900) {
            let response = router
                .caller()
                .call("GET", "/read/1", None, 100)
                .await
                .unwrap();
            if response.status() == 503 {
                assert!(response.headers().contains_key("retry-after"));
                refused += 1;
            } else {
                answered += 1;
            }
        }
        assert_eq!(server.ledger().overruns, []);
        assert!(answered > 0 && refused > 0, "{answered}, {refused}");
    });
}

/// Guards against an order that runs although its caller disconnected while the order still waited for a server.
#[test]
fn order_of_a_caller_that_left_is_not_sent() {
    block_on(async {
        let world = World::start("left-order").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 200);
        server.set_work(WORK);
        // They occupy both slots of the server.
        let running = [router.caller(), router.caller()];
        let running = join_all(running.iter().map(|c| c.post("/order/1")));
        let waiting = router.caller();
        let waiting = async {
            monoio::time::sleep(Millis(50).to_duration()).await;
            waiting.cancel_after("/order/2", Millis(200)).await;
        };
        let (responses, ()) = futures_util::join!(running, waiting);
        for response in responses {
            assert_eq!(response.unwrap().status(), 200);
        }
        monoio::time::sleep(WORK.to_duration() * 2).await;
        let executed = server.executed_ids();
        let left = executed.iter().any(|id| id.ends_with("-left"));
        assert!(!left, "{executed:?}");
        assert_eq!(executed.len(), 3);
    });
}

/// Guards against an order that is cut off at its server because its caller disconnected.
#[test]
fn order_that_was_sent_is_completed_for_a_caller_that_left() {
    block_on(async {
        let world = World::start("left-sent").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        server.set_work(WORK);
        router.caller().cancel_after("/order/1", Millis(200)).await;
        wait_until("the server completes the order", async || {
            server.executed_ids() == ["a-1-left"]
        })
        .await;
    });
}
