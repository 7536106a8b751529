//! Servers that never respond to a request that they can't queue.

mod support;

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetFault;
use chicoryrail_testkit::TargetOptions;
use http::Request;
use support::RouterProcess;
use support::Server;
use support::World;
use support::wait_until;

const KEY: u16 = 7;

/// Number of responses from which a host tells a silent server from a slow one, with a margin.
const OBSERVED: usize = 210;

/// Starts a server with two slots and no queue that is mute, and a router.
async fn start(test: &str, service: &str) -> (World, Rc<Server>, RouterProcess) {
    let world = World::start(test).await;
    world.configure().await;
    let server = world
        .server_with(TargetOptions {
            service: service.into(),
            keyed: service == "kits",
            queue: 0,
            ..TargetOptions::new("k-1")
        })
        .await;
    server.fault(TargetFault::Mute { for_ms: 600_000 });
    let router = world.router("a").await;
    if service == "kits" {
        wait_until("the key is granted", async || server.owns(KEY)).await;
    }
    (world, server, router)
}

/// Occupies both slots of a server with requests that no router knows of.
async fn occupy(server: &Server, time: Millis) {
    let addr = server.addr;
    let path = format!("/key/x?work_us={}", time.0 * 1_000);
    for id in ["direct-1", "direct-2"] {
        let request = Request::get(&path)
            .header(call_header::REQUEST_ID, id)
            .header(call_header::KEY, KEY)
            .body(Bytes::new())
            .unwrap();
        monoio::spawn(async move {
            let client = HttpClient::default();
            client.call(addr, request, Millis(10_000)).await.unwrap()
        });
    }
    wait_until("both slots are occupied", async || {
        server.ledger().max_busy == 2
    })
    .await;
}

/// Guards against a read that waits at a silent owner of its key to the end of its time, since no other server may take
/// it. Load: one request while the owner's two slots and its queue are full for 400 ms.
#[test]
fn a_read_with_a_key_is_sent_to_its_owner_again_on_a_new_connection() {
    block_on(async {
        let (_world, server, router) = start("silent-read", "kits").await;
        let caller = router.caller();
        for _ in 0..OBSERVED {
            assert_eq!(caller.key(KEY).await.unwrap().status(), 200);
        }
        let runs = server.executed();
        occupy(&server, Millis(400)).await;
        let begun = Instant::now();
        let response = caller.key(KEY).await.unwrap();
        let took = begun.elapsed().as_millis();
        assert_eq!(response.status(), 200, "{took} ms {response:?}");
        // Twice the latency target, and less than the route's timeout.
        assert!((600..1_200).contains(&took), "{took} ms");
        assert_eq!(server.executed(), runs + 3);
        wait_until(
            "the abandoned send and the new limit are logged",
            async || {
                let log = router.log();
                log.contains("end=abandoned") && log.contains("service=kits from=2 to=1")
            },
        )
        .await;
        // Later requests don't use the connection that stays silent.
        for _ in 0..10 {
            assert_eq!(caller.key(KEY).await.unwrap().status(), 200);
        }
        wait_until("the limit rises", async || {
            router.log().contains("service=kits from=1 to=2")
        })
        .await;
    });
}

/// Guards against an order that is sent twice or given up early: it may still run, so it waits to its end. Load: one
/// order while the server's two slots and its queue are full for 3 s.
#[test]
fn an_order_waits_to_its_end_at_a_silent_server() {
    block_on(async {
        let (_world, server, router) = start("silent-order", "desk").await;
        let caller = router.caller();
        for _ in 0..OBSERVED {
            assert_eq!(caller.post("/order/x").await.unwrap().status(), 200);
        }
        let runs = server.executed();
        occupy(&server, Millis(3_000)).await;
        let begun = Instant::now();
        let response = caller.post("/order/x").await.unwrap();
        let took = begun.elapsed().as_millis();
        assert_eq!(response.status(), 504, "{took} ms {response:?}");
        assert!(took >= 1_450, "{took} ms");
        wait_until("the silence is logged", async || {
            router.log().contains("end=waited")
        })
        .await;
        assert_eq!(server.executed(), runs);
    });
}
