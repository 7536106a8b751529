//! Entries of servers that expired in a store outage.

mod support;

use chicoryrail_core::Millis;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetOptions;
use support::Server;
use support::World;
use support::wait_until;

/// Time after the store's return in which the servers whose entries expired register again.
const REREGISTER_TIME: Millis = Millis(2_000);

/// Time after which the server's entry expires.
const ENTRY_TTL: Millis = Millis(3_000);

/// Guards against an outage of all servers when the store returns for a moment and is lost again before they could
/// register anew: their entries are missing by then, and no news can arrive.
#[test]
fn servers_serve_while_the_store_is_lost_again() {
    block_on(async {
        let world = World::start("flaps").await;
        world.configure().await;
        // The server does not maintain its entry, which expires in the outage.
        let server = Server::start(TargetOptions {
            service: "desk".into(),
            ..TargetOptions::new("d-0")
        });
        world.register(&server, "desk", ENTRY_TTL).await;
        let router = world.router("h-0").await;
        let caller = router.caller();
        world.stop_store(ENTRY_TTL + Millis(1_000)).await;
        wait_until("the router reads the store without the entry", async || {
            router.log().contains("log=server_entry_gone")
        })
        .await;
        world.stop_store(REREGISTER_TIME + Millis(2_000)).await;
        let clock = Clock::start();
        while clock.now() < REREGISTER_TIME + Millis(1_000) {
            assert_eq!(caller.get("/read/1").await.unwrap().status(), 200);
            monoio::time::sleep(Millis(50).to_duration()).await;
        }
        // The server has not registered again in time after the store is back for good.
        wait_until("the store is back", async || {
            router.log().matches("log=store_back").count() == 3
        })
        .await;
        monoio::time::sleep(REREGISTER_TIME.to_duration() + Millis(300).to_duration()).await;
        assert_eq!(caller.get("/read/1").await.unwrap().status(), 503);
    });
}
