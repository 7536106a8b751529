//! Requests that are sent again beside an overdue send.

mod support;

use std::rc::Rc;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetFault;
use rstest::rstest;
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
