//! What callers get from a real process, whatever a server does.

mod support;

use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::AnswerHead;
use chicoryrail_testkit::TargetFault;
use chicoryrail_testkit::TargetOptions;
use rstest::rstest;
use support::Mode;
use support::World;
use support::wait_until;

#[test]
fn a_request_reaches_a_server_and_its_answer_comes_back_whole() {
    block_on(async {
        let world = World::start("calm").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        let caller = router.caller();
        let answer = caller.get("/read/1").await.unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers()[call_header::STAMP], "stamp");
        assert_eq!(AnswerHead::check(answer.body()).unwrap().server, "i-1");
        assert_eq!(caller.post("/order/1").await.unwrap().status(), 200);
        assert_eq!(caller.get("/none/1").await.unwrap().status(), 404);
        assert_eq!(server.ran(), ["a-1-1", "a-1-2"]);
    });
}

/// A host that knows no configuration yet must not say that a route is not there: it says that it has not
/// run the request, and the balancer sends no callers.
#[test]
fn a_host_without_configuration_says_not_run() {
    block_on(async {
        let world = World::start("empty").await;
        let router = world.spawn("a");
        wait_until("it listens", async || {
            router.caller().get("/read/1").await.is_ok()
        })
        .await;
        assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 503);
        assert!(!router.is_ready().await);
    });
}

/// The caller sends an order or a read, and the server does something else than answering it. The caller
/// learns the truth: `503` only where the request has not run, the server's own answer where there is
/// one, `502` where nothing is known; and an order never reaches a second server after it may have run.
#[rstest]
#[case::refused_order(Mode::Refuse, "order", 503, 0)]
#[case::refused_read(Mode::Refuse, "read", 503, 0)]
#[case::failed_order(Mode::Fail, "order", 500, 1)]
#[case::failed_read(Mode::Fail, "read", 500, 2)]
#[case::lost_order(Mode::LoseAnswer, "order", 502, 1)]
#[case::lost_read(Mode::LoseAnswer, "read", 502, 2)]
#[case::crossed_order(Mode::Cross, "order", 502, 1)]
#[case::crossed_read(Mode::Cross, "read", 502, 2)]
#[case::unmarked_order(Mode::Unmarked, "order", 502, 1)]
#[case::unmarked_read(Mode::Unmarked, "read", 502, 2)]
fn a_caller_learns_the_truth(
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
        // The first answer of a server has none before it to be crossed with.
        for server in &servers {
            server.ask_directly().await;
        }
        let before: usize = servers.iter().map(|s| s.runs()).sum();
        servers.iter().for_each(|s| s.does(mode));
        let caller = router.caller();
        let answer = match kind {
            "order" => caller.post("/order/1").await.unwrap(),
            _ => caller.get("/read/1").await.unwrap(),
        };
        assert_eq!(answer.status(), status);
        let ran: usize = servers.iter().map(|s| s.runs()).sum();
        assert_eq!(ran - before, runs);
        let marked = answer.headers().contains_key(call_header::STAMP);
        assert_eq!(marked, mode == Mode::Fail);
    });
}

/// A read whose first server lost the answer is answered by the second.
#[test]
fn a_read_goes_to_another_server_when_an_answer_is_lost() {
    block_on(async {
        let world = World::start("other").await;
        world.configure().await;
        let lossy = world.server("i-1", "desk").await;
        let sound = world.server("i-2", "desk").await;
        let router = world.router("a").await;
        lossy.does(Mode::LoseAnswer);
        for _ in 0..10 {
            assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 200);
        }
        assert_eq!(sound.runs(), 10);
    });
}

/// A warm server reports, under the same start, that it has become cold again. From then on the hosts
/// together keep to a part of what a cold server bears; the rest is refused at once, with a time to return.
#[test]
fn a_server_that_became_cold_again_gets_little() {
    block_on(async {
        let world = World::start("cold").await;
        world.configure().await;
        // 5 a second times 1.5 and 5 more is what the server bears from all hosts together; the scheduler uses
        // a part of it, and the rest is for hosts that can't reach the scheduler.
        let server = world
            .server_with(TargetOptions {
                service: "desk".into(),
                cold_bears: 8,
                ..TargetOptions::new("i-1")
            })
            .await;
        let router = world.router("a").await;
        // A scheduler that took over a moment ago does not know what was sent before, and gives nothing.
        wait_until("the desk is open", async || {
            router.log().contains("log=leader_won")
        })
        .await;
        for _ in 0..20 {
            assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 200);
        }
        server.fault(TargetFault::Cold {
            for_ms: Some(3_000),
        });
        monoio::time::sleep(Millis(500).duration()).await;
        let clock = Clock::start();
        let (mut answered, mut refused) = (0, 0);
        while clock.now() < Millis(1_900) {
            let answer = router
                .caller()
                .call("GET", "/read/1", None, 100)
                .await
                .unwrap();
            if answer.status() == 503 {
                assert!(answer.headers().contains_key("retry-after"));
                refused += 1;
            } else {
                answered += 1;
            }
        }
        assert_eq!(server.ledger().overruns, []);
        assert!(answered > 0 && refused > 0, "{answered}, {refused}");
    });
}
