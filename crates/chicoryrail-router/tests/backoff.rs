//! Servers that refuse a request and ask the host to send nothing for a time.

mod support;

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetFault;
use futures_util::future::join_all;
use rstest::rstest;
use support::Caller;
use support::RouterProcess;
use support::Server;
use support::World;
use support::wait_until;

/// Time for which a server asks each host to send nothing.
const BACKOFF: Millis = Millis(3_000);

/// Time for which a server refuses requests; after it, a request would be served.
const OVERLOAD: Millis = Millis(1_000);

/// Time for which the store stays down: longer than any test.
const OUTAGE: Millis = Millis(60_000);

/// Longest time for which a host may hold a request that only a server that asked for nothing could serve.
const REFUSAL_TIME_MAX: Millis = Millis(100);

/// Time between two requests of a caller.
const REQUEST_INTERVAL: Millis = Millis(50);

/// Number of concurrent requests that use both servers of a service.
const CONCURRENT_CALLERS: usize = 3;

/// Path of the service that is not keyed.
const UNKEYED: &str = "/read/x";

/// Makes a server refuse everything for [`OVERLOAD`], and ask each host to send nothing for [`BACKOFF`].
fn overload(server: &Server) {
    server.fault(TargetFault::Refuse {
        for_ms: OVERLOAD.0,
        share: 1.0,
        backoff_ms: Some(BACKOFF.0),
    });
}

/// Returns the number of requests of a host that a server refused with a backoff time.
fn refused_by(server: &Server, router: &RouterProcess) -> usize {
    let prefix = format!("{}-", router.name);
    let notices = server.ledger().notices;
    notices
        .iter()
        .filter(|n| n.request.starts_with(&prefix))
        .count()
}

/// Sends requests until `length` has passed since `clock` started, and checks that each is refused at once as not run.
async fn expect_refusals(caller: &Caller, key: Option<u16>, clock: &Clock, length: Millis) {
    while clock.now() < length {
        let sent_at = clock.now();
        let path = if key.is_some() { "/key/x" } else { UNKEYED };
        let response = caller.call("GET", path, key, 1_500).await.unwrap();
        assert_eq!(response.status(), 503);
        assert!(response.headers().contains_key("retry-after"));
        let took = clock.now().since(sent_at);
        assert!(took <= REFUSAL_TIME_MAX, "refused after {took}");
        monoio::time::sleep(REQUEST_INTERVAL.to_duration()).await;
    }
}

/// Guards against a host that sends keyed requests to a server that asked it for nothing: each would be refused, four
/// times for each request, and keep the server overloaded.
#[rstest]
#[case::store_up(false)]
#[case::store_down(true)]
fn backoff_binds_keyed_requests(#[case] store_down: bool) {
    block_on(async {
        let world = World::start("backoff-keyed").await;
        world.configure().await;
        let server = world.server("k-0", "kits").await;
        let router = world.router("h-0").await;
        let caller = router.caller();
        wait_until("the key is served", async || {
            caller.key(7).await.is_ok_and(|a| a.status() == 200)
        })
        .await;
        if store_down {
            world.stop_store(OUTAGE).await;
        }
        let executed = server.executed();
        overload(&server);
        let clock = Clock::start();
        expect_refusals(&caller, Some(7), &clock, BACKOFF).await;
        assert_eq!(refused_by(&server, &router), 1);
        assert_eq!(server.executed(), executed);
        wait_until("the key is served again", async || {
            caller.key(7).await.is_ok_and(|a| a.status() == 200)
        })
        .await;
    });
}

/// Guards against a host that goes on sending to a server that asked it for nothing, because the host that schedules
/// was not asked.
#[test]
fn backoff_binds_a_host_whose_scheduler_was_not_asked() {
    block_on(async {
        let world = World::start("backoff-scheduler").await;
        world.configure().await;
        let servers: [Rc<Server>; 2] = [
            world.server("d-0", "desk").await,
            world.server("d-1", "desk").await,
        ];
        let mut routers = Vec::new();
        for i in 0..3 {
            routers.push(world.router(&format!("h-{i}")).await);
        }
        // One host schedules for the service, so at least one of these two is not that host.
        for router in &routers[..2] {
            overload(&servers[0]);
            let callers: Vec<Caller> = (0..CONCURRENT_CALLERS).map(|_| router.caller()).collect();
            wait_until("the server asked the host for nothing", async || {
                join_all(callers.iter().map(|c| c.get(UNKEYED))).await;
                refused_by(&servers[0], router) > 0
            })
            .await;
            let clock = Clock::start();
            let refused = refused_by(&servers[0], router);
            let executed = servers[0].executed();
            while clock.now() < Millis(BACKOFF.0 * 9 / 10) {
                for response in join_all(callers.iter().map(|c| c.get(UNKEYED))).await {
                    assert_eq!(response.unwrap().status(), 200);
                }
                monoio::time::sleep(REQUEST_INTERVAL.to_duration()).await;
            }
            assert_eq!(refused_by(&servers[0], router), refused);
            assert_eq!(servers[0].executed(), executed);
        }
    });
}

/// Guards against a host that sends to a server that asked it for nothing because no other server is left.
#[test]
fn backoff_binds_a_host_that_knows_no_other_server() {
    block_on(async {
        let world = World::start("backoff-last").await;
        world.configure().await;
        let server = world.server("d-0", "desk").await;
        let router = world.router("h-0").await;
        overload(&server);
        let clock = Clock::start();
        let caller = router.caller();
        expect_refusals(&caller, None, &clock, BACKOFF).await;
        assert_eq!(refused_by(&server, &router), 1);
        assert_eq!(server.executed(), 0);
    });
}

/// Guards against a backoff time that outlives its server: a new incarnation under the same name must get requests.
#[test]
fn backoff_does_not_bind_the_next_incarnation() {
    block_on(async {
        let world = World::start("backoff-next").await;
        world.configure().await;
        let server = world.server("d-0", "desk").await;
        let router = world.router("h-0").await;
        let caller = router.caller();
        server.fault(TargetFault::Refuse {
            for_ms: 60_000,
            share: 1.0,
            backoff_ms: Some(60_000),
        });
        assert_eq!(caller.get(UNKEYED).await.unwrap().status(), 503);
        let next = world.server("d-0", "desk").await;
        wait_until("the next incarnation serves", async || {
            let status = caller.get(UNKEYED).await.unwrap().status();
            status == 200 && next.executed() > 0
        })
        .await;
    });
}
