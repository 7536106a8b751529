//! Requests at servers that respond later than usual, and are sent again: the response must reach the caller.

mod support;

use std::rc::Rc;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetFault;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use support::Mode;
use support::RouterProcess;
use support::Server;
use support::World;
use support::wait_until;

const KEY: u16 = 7;

/// Number of responses from which a host knows the usual response time, with a margin.
const OBSERVED: usize = 210;

/// Response time of a slow server. A host gives up an attempt after 600 ms, and a second one would end after the time
/// limit of 1,500 ms.
const SLOW: Millis = Millis(1_100);

/// Factor by which a slow server takes longer than its usual 1 ms.
const SLOW_FACTOR: f64 = 1_100.0;

/// Time for which servers are slow from the start of a request.
const SLOW_MS: u64 = 300;

/// Time for which they respond with errors after that.
const FAIL_MS: u64 = 600;

/// Starts a server of `service` and a router that knows its usual response time.
async fn start(test: &str, service: &str) -> (World, Rc<Server>, RouterProcess) {
    let world = World::start(test).await;
    world.configure().await;
    let server = world.server("s-1", service).await;
    let router = world.router("a").await;
    if service == "kits" {
        wait_until("the key is granted", async || server.owns(KEY)).await;
    }
    let caller = router.caller();
    let (path, key) = request(service);
    for _ in 0..OBSERVED {
        assert_eq!(
            caller.call("GET", path, key, 1_500).await.unwrap().status(),
            200
        );
    }
    (world, server, router)
}

/// Returns the path and the key of a read of a service.
fn request(service: &str) -> (&'static str, Option<u16>) {
    match service {
        "kits" => ("/key/x", Some(KEY)),
        _ => ("/read/x", None),
    }
}

/// Guards against a read that is given up at a server that runs it, after a signal that came while it ran.
#[rstest]
#[case::stop_with_key("kits", Signal::SIGTERM)]
#[case::stop_without_key("desk", Signal::SIGTERM)]
#[case::reload_with_key("kits", Signal::SIGHUP)]
#[case::reload_without_key("desk", Signal::SIGHUP)]
fn a_read_that_runs_at_a_signal_gets_its_response(#[case] service: &str, #[case] signal: Signal) {
    block_on(async {
        let (_world, server, router) = start("signalled", service).await;
        let runs = server.executed();
        server.set_work(SLOW);
        let caller = router.caller();
        let (path, key) = request(service);
        let running = monoio::spawn(async move { caller.call("GET", path, key, 1_500).await });
        monoio::time::sleep(Millis(300).to_duration()).await;
        router.signal(signal);
        let response = running.await.unwrap();
        assert_eq!(response.status(), 200, "{response:?}");
        assert!(server.executed() > runs);
    });
}

/// Guards against a read that is given up at a server that runs it, although no other send can replace it: the server
/// refuses all further requests.
#[rstest]
#[case::with_key("kits")]
#[case::without_key("desk")]
fn a_read_that_can_not_be_sent_again_gets_its_response(#[case] service: &str) {
    block_on(async {
        let (_world, server, router) = start("refused-again", service).await;
        server.set_work(SLOW);
        let caller = router.caller();
        let (path, key) = request(service);
        let running = monoio::spawn(async move { caller.call("GET", path, key, 1_500).await });
        monoio::time::sleep(Millis(300).to_duration()).await;
        server.fault(TargetFault::Refuse {
            for_ms: 600_000,
            share: 1.0,
            backoff_ms: None,
        });
        let response = running.await.unwrap();
        assert_eq!(response.status(), 200, "{response:?}");
    });
}

/// Guards against a server's error that is replaced by an error of the host, since the request was to be sent again and no
/// server took it.
#[rstest]
#[case::with_key("kits")]
#[case::without_key("desk")]
fn a_server_error_reaches_the_caller_if_no_retry_replaces_it(#[case] service: &str) {
    block_on(async {
        let (_world, server, router) = start("error-kept", service).await;
        server.set_mode(Mode::Fail);
        server.set_work(Millis(300));
        let caller = router.caller();
        let (path, key) = request(service);
        let running = monoio::spawn(async move { caller.call("GET", path, key, 1_500).await });
        monoio::time::sleep(Millis(150).to_duration()).await;
        server.set_mode(Mode::Refuse);
        let response = running.await.unwrap();
        assert_eq!(response.status(), 500, "{response:?}");
        assert!(response.headers().contains_key(call_header::UPSTREAM_STAMP));
    });
}

/// Guards against a read that is cancelled at a server that runs it, because its second send got an error.
#[rstest]
#[case::with_key("kits", &["s-1"])]
#[case::without_key("desk", &["s-1", "s-2"])]
fn an_error_of_the_second_send_does_not_replace_the_first_ones_response(
    #[case] service: &str,
    #[case] names: &[&str],
) {
    block_on(async {
        let world = World::start("second-fails").await;
        world.configure().await;
        let mut servers: Vec<Rc<Server>> = Vec::new();
        for name in names {
            servers.push(world.server(name, service).await);
        }
        let router = world.router("a").await;
        let (path, key) = request(service);
        if key.is_some() {
            wait_until("the key is granted", async || servers[0].owns(KEY)).await;
        }
        let caller = router.caller();
        for _ in 0..OBSERVED {
            let response = caller.call("GET", path, key, 1_500).await.unwrap();
            assert_eq!(response.status(), 200);
        }
        for server in &servers {
            server.fault(TargetFault::Slow {
                for_ms: SLOW_MS,
                factor: SLOW_FACTOR,
            });
        }
        let begun = Instant::now();
        let running = monoio::spawn(async move { caller.call("GET", path, key, 1_500).await });
        monoio::time::sleep(Millis(SLOW_MS).to_duration()).await;
        for server in &servers {
            server.fault(TargetFault::Fail {
                for_ms: FAIL_MS,
                share: 1.0,
            });
        }
        let response = running.await.unwrap();
        let took = begun.elapsed();
        assert_eq!(response.status(), 200, "after {took:?}: {response:?}");
    });
}

/// Guards against a sound server that is paused, since overdue sends hold all connections that a host may open to it. A
/// request beyond these is refused at once as not run.
#[test]
fn overdue_sends_at_the_connection_limit_do_not_count_against_their_server() {
    block_on(async {
        let world = World::start("connections-held").await;
        let mut config = world.next_config();
        config["services"][1]["max_connections"] = json!(2);
        world.put("op/config", &config).await;
        let server = world.server("s-1", "kits").await;
        let router = world.router("a").await;
        wait_until("the key is granted", async || server.owns(KEY)).await;
        let caller = router.caller();
        for _ in 0..OBSERVED {
            assert_eq!(caller.key(KEY).await.unwrap().status(), 200);
        }
        server.fault(TargetFault::Slow {
            for_ms: SLOW_MS,
            factor: SLOW_FACTOR,
        });
        let slow: Vec<_> = (0..2)
            .map(|_| {
                let caller = router.caller();
                monoio::spawn(async move { caller.key(KEY).await })
            })
            .collect();
        monoio::time::sleep(Millis(750).to_duration()).await;
        let begun = Instant::now();
        let response = caller.key(KEY).await.unwrap();
        let took = begun.elapsed();
        assert_eq!(response.status(), 503, "{response:?}");
        assert!(response.headers().contains_key("retry-after"));
        assert!(took.as_millis() < 150, "{took:?}");
        for read in slow {
            let response = read.await.unwrap();
            assert_eq!(response.status(), 200, "{response:?}");
        }
        assert_eq!(caller.key(KEY).await.unwrap().status(), 200);
        assert!(!router.log().contains("log=server_paused"));
    });
}
