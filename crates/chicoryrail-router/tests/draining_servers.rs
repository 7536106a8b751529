//! Servers that say in their responses that they are draining.

mod support;

use std::rc::Rc;

use chicoryrail_core::Member;
use chicoryrail_core::MemberState;
use chicoryrail_core::Millis;
use chicoryrail_platform::Txn;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetFault;
use chicoryrail_testkit::TargetOptions;
use rstest::rstest;
use support::RouterProcess;
use support::Server;
use support::World;
use support::ready_member;
use support::wait_until;

/// `drain_timeout_ms` of the boot file: a request that arrives this long after a host passed on a response of a
/// draining server must not reach that server from that host.
const DRAIN_TIMEOUT: Millis = Millis(2_000);

/// Longest time for which a host may hold a request that only a draining server could serve.
const REFUSAL_TIME_MAX: Millis = Millis(100);

/// Time for which requests are sent after the drain timeout.
const CHECK_TIME: Millis = Millis(1_000);

/// Path of the service that is not keyed.
const UNKEYED: &str = "/read/x";

/// Time for which the store stays down: longer than any test.
const OUTAGE: Millis = Millis(60_000);

/// Starts two keyed servers and a router, and waits until it serves a low and a high key.
async fn start_keyed(world: &World) -> ([Rc<Server>; 2], RouterProcess) {
    let servers = [
        world.server("k-0", "kits").await,
        world.server("k-1", "kits").await,
    ];
    let router = world.router("h-0").await;
    wait_until("keys are served", async || {
        let low = router.caller().key(7).await;
        let high = router.caller().key(65_000).await;
        low.is_ok_and(|a| a.status() == 200) && high.is_ok_and(|a| a.status() == 200)
    })
    .await;
    (servers, router)
}

/// Returns a key that the server owns.
fn owned_key(server: &Server) -> u16 {
    let mut keys = (0..=u16::MAX).step_by(64);
    keys.find(|key| server.owns(*key)).unwrap()
}

/// Sends requests for a key until the drain timeout has passed since the first response, which carries the notice of the
/// drain; returns the number served.
async fn use_drain_time(router: &RouterProcess, key: u16) -> usize {
    let caller = router.caller();
    let mut served = usize::from(caller.key(key).await.unwrap().status() == 200);
    let clock = Clock::start();
    while clock.now() <= DRAIN_TIMEOUT {
        served += usize::from(caller.key(key).await.unwrap().status() == 200);
        monoio::time::sleep(Millis(50).to_duration()).await;
    }
    served
}

/// Sends requests for a key for [`CHECK_TIME`], and checks that each is refused at once as not run.
async fn expect_refusals(router: &RouterProcess, key: u16) {
    let (clock, caller) = (Clock::start(), router.caller());
    while clock.now() < CHECK_TIME {
        let sent_at = clock.now();
        let response = caller.key(key).await.unwrap();
        assert_eq!(response.status(), 503);
        assert!(response.headers().contains_key("retry-after"));
        let took = clock.now().since(sent_at);
        assert!(took <= REFUSAL_TIME_MAX, "refused after {took}");
        monoio::time::sleep(Millis(50).to_duration()).await;
    }
}

/// Guards against a host that sends keyed requests to a draining server for as long as the store can't tell it of the
/// drain.
#[test]
fn drain_notice_binds_keyed_requests_while_the_store_is_down() {
    block_on(async {
        let world = World::start("drain-keyed").await;
        world.configure().await;
        let (servers, router) = start_keyed(&world).await;
        let key = owned_key(&servers[0]);
        world.stop_store(OUTAGE).await;
        servers[0].fault(TargetFault::Leave);
        let served = use_drain_time(&router, key).await;
        assert!(served > 0, "the server is used within the drain timeout");
        let executed = servers[0].executed();
        expect_refusals(&router, key).await;
        assert_eq!(servers[0].executed(), executed);
    });
}

/// Guards against a host that goes on sending to a draining server because the host that schedules has not heard of the
/// drain.
#[test]
fn drain_notice_binds_a_host_whose_scheduler_has_not_heard() {
    block_on(async {
        let world = World::start("drain-scheduler").await;
        world.configure().await;
        let servers = [
            world.server("d-0", "desk").await,
            world.server("d-1", "desk").await,
        ];
        let mut routers = Vec::new();
        for i in 0..3 {
            routers.push(world.router(&format!("h-{i}")).await);
        }
        world.stop_store(OUTAGE).await;
        servers[0].fault(TargetFault::Leave);
        // One host schedules for the service, so at least one of these two is not that host.
        for router in &routers[..2] {
            let caller = router.caller();
            wait_until("the host has heard of the drain", async || {
                assert_eq!(caller.get(UNKEYED).await.unwrap().status(), 200);
                router.log().contains("log=server_draining")
            })
            .await;
            monoio::time::sleep(DRAIN_TIMEOUT.to_duration()).await;
            let executed = servers[0].executed();
            for _ in 0..40 {
                assert_eq!(caller.get(UNKEYED).await.unwrap().status(), 200);
            }
            assert_eq!(servers[0].executed(), executed);
        }
    });
}

/// Guards against a host that sends to the draining server because no other server is left.
#[test]
fn drain_notice_binds_a_host_that_knows_no_other_server() {
    block_on(async {
        let world = World::start("drain-last").await;
        world.configure().await;
        let server = world.server("d-0", "desk").await;
        let router = world.router("h-0").await;
        world.stop_store(OUTAGE).await;
        server.fault(TargetFault::Leave);
        let caller = router.caller();
        assert_eq!(caller.get(UNKEYED).await.unwrap().status(), 200);
        monoio::time::sleep(DRAIN_TIMEOUT.to_duration()).await;
        let executed = server.executed();
        for _ in 0..20 {
            assert_eq!(caller.get(UNKEYED).await.unwrap().status(), 503);
        }
        assert_eq!(server.executed(), executed);
    });
}

/// Guards against a drain notice that outlives its server: a new incarnation under the same name must get requests.
#[test]
fn drain_notice_does_not_bind_the_next_incarnation() {
    block_on(async {
        let world = World::start("drain-next").await;
        world.configure().await;
        let server = world.server("d-0", "desk").await;
        let router = world.router("h-0").await;
        let caller = router.caller();
        server.fault(TargetFault::Leave);
        assert_eq!(caller.get(UNKEYED).await.unwrap().status(), 200);
        monoio::time::sleep(DRAIN_TIMEOUT.to_duration()).await;
        let next = world.server("d-0", "desk").await;
        wait_until("the next incarnation serves", async || {
            let status = caller.get(UNKEYED).await.unwrap().status();
            status == 200 && next.executed() > 0
        })
        .await;
    });
}

/// Guards against keys that stay with a draining server whose entry in the store still says that it is ready: their
/// callers would be refused until the server ends.
#[test]
fn keys_leave_a_draining_server_that_lost_the_store() {
    block_on(async {
        let world = World::start("drain-keys").await;
        world.configure().await;
        let (servers, router) = start_keyed(&world).await;
        let key = owned_key(&servers[0]);
        servers[0].fault(TargetFault::SayDraining);
        wait_until("the other server owns the key", async || {
            servers[1].owns(key)
        })
        .await;
        let (clock, caller) = (Clock::start(), router.caller());
        while clock.now() < DRAIN_TIMEOUT {
            assert_eq!(caller.key(key).await.unwrap().status(), 200);
            monoio::time::sleep(Millis(50).to_duration()).await;
        }
    });
}

/// Starts a server without keys whose entry the test writes.
fn start_unregistered(name: &str) -> Rc<Server> {
    Server::start(TargetOptions {
        service: "desk".into(),
        ..TargetOptions::new(name)
    })
}

/// Guards against a host that forgets a drain notice when the server's entry lapses, and sends to the server again once
/// the same incarnation has registered anew.
#[rstest]
#[case::same_address(false)]
#[case::other_address(true)]
fn drain_notice_outlives_the_entry(#[case] moves: bool) {
    block_on(async {
        let world = World::start("drain-entry").await;
        world.configure().await;
        let server = start_unregistered("d-0");
        world.register(&server, "desk", OUTAGE).await;
        let router = world.router("h-0").await;
        let caller = router.caller();
        server.fault(TargetFault::SayDraining);
        assert_eq!(caller.get(UNKEYED).await.unwrap().status(), 200);
        let returned = if moves {
            start_unregistered("d-0")
        } else {
            world.remove("servers/d-0").await;
            wait_until("the entry is gone", async || {
                router.log().contains("log=server_entry_gone")
            })
            .await;
            // The router drops the server soon after its entry.
            wait_until("no server is left", async || !router.is_ready().await).await;
            Rc::clone(&server)
        };
        monoio::time::sleep(DRAIN_TIMEOUT.to_duration()).await;
        let registrations = router.log().matches("log=server ").count();
        world.register(&returned, "desk", OUTAGE).await;
        wait_until("the router reads the entry", async || {
            router.log().matches("log=server ").count() > registrations
        })
        .await;
        let executed = returned.executed();
        for _ in 0..20 {
            assert_eq!(caller.get(UNKEYED).await.unwrap().status(), 503);
        }
        assert_eq!(returned.executed(), executed);
    });
}

/// Guards against a host that starts late in a drain and counts the drain time from its own start, if no other server is
/// ready.
#[test]
fn a_host_that_starts_during_a_drain_sends_nothing_to_the_server() {
    block_on(async {
        let world = World::start("drain-start").await;
        world.configure().await;
        let server = start_unregistered("d-0");
        world.put_members(&[draining_member(&server)]).await;
        monoio::time::sleep(DRAIN_TIMEOUT.to_duration()).await;
        let router = world.spawn("h-0");
        wait_until("the router has read the store", async || {
            let log = router.log();
            log.contains("log=server ") && log.contains("log=config_in_force")
        })
        .await;
        expect_unkeyed_refusals(&router).await;
        assert_eq!(server.executed(), 0);
    });
}

/// Guards against a host that counts the drain time anew when the entry of a draining server lapses and the server
/// registers again.
#[test]
fn a_drain_does_not_begin_again_with_the_entry() {
    block_on(async {
        let world = World::start("drain-again").await;
        world.configure().await;
        let server = start_unregistered("d-0");
        world.register(&server, "desk", OUTAGE).await;
        let router = world.router("h-0").await;
        world.put_members(&[draining_member(&server)]).await;
        monoio::time::sleep(DRAIN_TIMEOUT.to_duration()).await;
        world.remove("servers/d-0").await;
        wait_until("the entry is gone", async || {
            router.log().contains("log=server_entry_gone")
        })
        .await;
        let registrations = router.log().matches("log=server ").count();
        world.put_members(&[draining_member(&server)]).await;
        wait_until("the router reads the entry", async || {
            router.log().matches("log=server ").count() > registrations
        })
        .await;
        let executed = server.executed();
        expect_unkeyed_refusals(&router).await;
        assert_eq!(server.executed(), executed);
    });
}

/// Guards against a host that counts the drain time anew when the entry of a draining server expires in a store outage:
/// such a server may register again, and is kept for some time.
#[test]
fn a_drain_does_not_begin_again_after_an_outage() {
    block_on(async {
        let world = World::start("drain-outage").await;
        world.configure().await;
        let server = start_unregistered("d-0");
        world.register(&server, "desk", OUTAGE).await;
        let router = world.router("h-0").await;
        world.put_members(&[draining_member(&server)]).await;
        monoio::time::sleep(DRAIN_TIMEOUT.to_duration()).await;
        world.stop_store(Millis(1_000)).await;
        wait_until("the router has lost the store", async || {
            router.log().contains("log=store_lost")
        })
        .await;
        wait_until("the store is back", async || {
            let removed = Txn::default().remove("servers/d-0");
            world.store.commit(&removed).await.is_ok()
        })
        .await;
        wait_until("the entry is gone", async || {
            router.log().contains("log=server_entry_gone")
        })
        .await;
        let executed = server.executed();
        expect_unkeyed_refusals(&router).await;
        assert_eq!(server.executed(), executed);
    });
}

/// Returns the entry of a server that is draining.
fn draining_member(server: &Server) -> Member {
    Member {
        state: MemberState::Draining,
        ..ready_member(&server.name, "desk", server.addr)
    }
}

/// Sends requests without a key for [`CHECK_TIME`], and checks that each is refused as not run.
async fn expect_unkeyed_refusals(router: &RouterProcess) {
    let (clock, caller) = (Clock::start(), router.caller());
    while clock.now() < CHECK_TIME {
        assert_eq!(caller.get(UNKEYED).await.unwrap().status(), 503);
        monoio::time::sleep(Millis(20).to_duration()).await;
    }
}
