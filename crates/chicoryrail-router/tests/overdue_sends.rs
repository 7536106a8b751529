//! Requests that are sent again beside an overdue send.

mod support;

use std::rc::Rc;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetFault;
use rstest::rstest;
use serde_json::json;
use support::Server;
use support::World;
use support::wait_until;

const KEY: u16 = 7;

/// Number of responses from which a host knows the usual response time, with a margin.
const OBSERVED: usize = 210;

/// Factor by which a slow server takes longer than its usual 1 ms. Its request is sent again after 600 ms.
const SLOW: f64 = 1_100.0;

/// Time for which servers are slow from the start of the request, and then respond with errors.
const SLOW_MS: u64 = 300;
const FAIL_MS: u64 = 600;

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
        let (path, key) = match service {
            "kits" => ("/key/x", Some(KEY)),
            _ => ("/read/x", None),
        };
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
                factor: SLOW,
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
            factor: SLOW,
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
