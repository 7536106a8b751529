//! Servers that end if the bodies of their requests exceed their memory.

mod support;

use std::rc::Rc;

use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetFault;
use chicoryrail_testkit::TargetOptions;
use futures_util::future::join_all;
use support::RouterProcess;
use support::Server;
use support::World;
use support::wait_until;

const BODY_BYTES: usize = 20_000;

/// Memory of a server in bytes, for four bodies.
const MEMORY: u64 = 95_000;

/// Number of requests in a burst.
const BURST: u32 = 6;

async fn start_server(world: &World, name: &str) -> Rc<Server> {
    let options = TargetOptions {
        service: "desk".into(),
        slots: 6,
        ..TargetOptions::new(name)
    };
    let server = world.server_with(options).await;
    let (for_ms, bytes) = (600_000, MEMORY);
    server.fault(TargetFault::Memory { for_ms, bytes });
    server
}

/// Sends a burst of requests that take 300 ms each; returns the statuses of the responses. The requests differ, since a
/// request under which a server ended is suspected and waits its turn.
async fn burst(router: &RouterProcess, name: &str) -> Vec<u16> {
    let requests = (0..BURST).map(async |i| {
        let path = format!("/order/{name}-{i}?work_us=300000");
        let response = router.caller().post_bytes(&path, BODY_BYTES).await;
        response.map_or(0, |r| r.status().into())
    });
    join_all(requests).await
}

/// Guards against servers that end one after the other of the same load, and against hosts that don't learn it from the
/// one whose server ended. Load: bursts of six requests of 20 KB at a host, for a server with six slots and memory for
/// four. The first ends its server, and bursts at both hosts leave the next one alive.
#[test]
fn the_next_server_bears_what_ended_the_first() {
    block_on(async {
        let world = World::start("server-bytes").await;
        world.configure().await;
        let first = start_server(&world, "d-1").await;
        let routers = [world.router("a").await, world.router("b").await];
        for router in &routers {
            assert_eq!(
                router.caller().post("/order/x").await.unwrap().status(),
                200
            );
        }
        burst(&routers[0], "first").await;
        assert!(first.has_crashed());
        wait_until("the end is evidence", async || {
            let mut logs = routers.iter().map(|r| r.log());
            logs.any(|log| log.contains("log=server_ended_under_load"))
        })
        .await;
        let second = start_server(&world, "d-2").await;
        for router in &routers {
            wait_until("the host knows the new server", async || {
                let response = router.caller().post("/order/x").await;
                response.is_ok_and(|r| r.status() == 200)
            })
            .await;
        }
        for router in &routers {
            let statuses = burst(router, &router.name).await;
            println!("{statuses:?}");
            assert!(!second.has_crashed());
            assert!(
                statuses.iter().filter(|s| **s == 200).count() >= 3,
                "{statuses:?}"
            );
        }
    });
}
