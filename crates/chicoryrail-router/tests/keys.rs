//! Keyed services: each key is served by the one server that holds it.

mod support;

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::StoreFault;
use chicoryrail_testkit::TargetFault;
use nix::sys::signal::Signal;
use support::RouterProcess;
use support::Server;
use support::World;
use support::wait_until;

const KEYS: [u16; 6] = [0, 9_000, 21_845, 33_000, 50_000, 65_535];

/// Starts two servers with keys, k-1 and k-2, and a host that leads; all keys are held.
async fn kits(test: &str) -> (World, [Rc<Server>; 2], RouterProcess) {
    let world = World::start(test).await;
    world.configure().await;
    let servers = [
        world.server("k-1", "kits").await,
        world.server("k-2", "kits").await,
    ];
    let router = world.router("a").await;
    let held = |key: u16| servers.iter().any(|s| s.holds(key));
    wait_until("all keys are held", async || KEYS.iter().all(|k| held(*k))).await;
    (world, servers, router)
}

/// Two hosts serve all keys; the one server that holds a key gets its requests from both.
#[test]
fn every_key_has_one_owner() {
    block_on(async {
        let world = World::start("owner").await;
        world.configure().await;
        let servers = [
            world.server("k-1", "kits").await,
            world.server("k-2", "kits").await,
            world.server("k-3", "kits").await,
        ];
        let routers = [world.router("a").await, world.router("b").await];
        let held = |key| servers.iter().filter(|s| s.holds(key)).count();
        wait_until("all keys are held", async || {
            KEYS.iter().all(|k| held(*k) == 1)
        })
        .await;
        for key in KEYS {
            let mut names = Vec::new();
            for router in &routers {
                let answer = router.caller().key(key).await.unwrap();
                assert_eq!(answer.status(), 200, "key {key}");
                names.push(answer.headers()[call_header::SERVER].clone());
            }
            assert_eq!(names[0], names[1], "key {key}");
            assert_eq!(held(key), 1);
        }
    });
}

/// The owner of some keys announces its leave. Its keys are released there and granted to another server;
/// callers are served all the while.
#[test]
fn a_leaving_owner_hands_its_keys_over() {
    block_on(async {
        let (_world, [leaving, stays], router) = kits("handover").await;
        leaving.fault(TargetFault::Leave);
        wait_until("all keys moved", async || {
            KEYS.iter().all(|k| stays.holds(*k))
        })
        .await;
        assert!(KEYS.iter().all(|k| !leaving.holds(*k)));
        assert!(leaving.ledger().releases > 0);
        for key in KEYS {
            assert_eq!(router.caller().key(key).await.unwrap().status(), 200);
        }
    });
}

/// The leading host is killed. Another one takes over before any hold runs out, grants the same keys again
/// under a higher fence, and callers of the other host see no gap.
#[test]
fn a_lost_leader_is_replaced_within_the_hold() {
    block_on(async {
        let (world, [_k1, _k2], first) = kits("leader").await;
        let second = world.router("b").await;
        assert!(first.log().contains("log=leader_won"));
        first.signal(Signal::SIGKILL);
        for _ in 0..80 {
            for key in KEYS {
                assert_eq!(second.caller().key(key).await.unwrap().status(), 200);
            }
            monoio::time::sleep(Millis(50).duration()).await;
        }
        assert!(second.log().contains("log=leader_won"));
    });
}

/// The store goes away, and then the leading host is lost. Nobody can replace it before the store is back;
/// its last grants were made for the time of an outage, so callers of the other host are served all the
/// while.
#[test]
fn keys_are_served_when_the_leader_is_lost_in_an_outage() {
    block_on(async {
        let (world, [_k1, _k2], first) = kits("outage").await;
        let second = world.router("b").await;
        assert!(first.log().contains("log=leader_won"));
        let down = StoreFault::Down {
            for_ms: 9_000,
            share: 1.0,
            polite: true,
            hosts: Vec::new(),
        };
        world.fault(&down).await;
        // Until both have noticed, and the keys were renewed once more.
        monoio::time::sleep(Millis(5_000).duration()).await;
        first.signal(Signal::SIGKILL);
        for _ in 0..60 {
            for key in KEYS {
                assert_eq!(second.caller().key(key).await.unwrap().status(), 200);
            }
            monoio::time::sleep(Millis(100).duration()).await;
        }
        wait_until("the other leads", async || {
            second.log().contains("log=leader_won")
        })
        .await;
    });
}

/// All hosts lose the store, so grants are made for the time of an outage; it returns, and right then every
/// host is killed. A server that still holds keys so can't be reached, and its entry is gone. The leader of
/// the hosts that start anew remembers nothing of the outage; it must not give the keys to another server
/// before they have run out.
#[test]
fn hosts_that_start_anew_reckon_with_an_outage() {
    block_on(async {
        let (world, [cut, stays], first) = kits("anew").await;
        let down = StoreFault::Down {
            for_ms: 4_000,
            share: 1.0,
            polite: true,
            hosts: Vec::new(),
        };
        world.fault(&down).await;
        monoio::time::sleep(Millis(4_200).duration()).await;
        first.signal(Signal::SIGKILL);
        cut.is_deaf();
        let second = world.spawn("b");
        wait_until("the other leads", async || {
            second.log().contains("log=leader_won")
        })
        .await;
        world.remove("servers/k-1").await;
        let both = |key: u16| cut.holds(key) && stays.holds(key);
        let mut moved = false;
        for _ in 0..1_300 {
            assert!(!KEYS.iter().any(|k| both(*k)), "a key is held twice");
            moved = KEYS.iter().all(|k| stays.holds(*k));
            if moved {
                break;
            }
            monoio::time::sleep(Millis(10).duration()).await;
        }
        assert!(moved);
    });
}
