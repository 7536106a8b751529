//! Servers whose answers name how many requests a second they take.

mod support;

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetFault;
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use support::RouterProcess;
use support::Server;
use support::World;
use support::wait_until;

/// Requests a second that a server in need names.
const RATE: f64 = 3.0;

/// Time after a server first named its limit from which on it is kept.
const SETTLE: Millis = Millis(3_000);

/// Time between two requests of one host's callers.
const PAUSE: Millis = Millis(100);

fn name_limit(server: &Server, length: Millis) {
    server.fault(TargetFault::NameLimit {
        for_ms: length.0,
        rate: RATE,
    });
}

/// Requests of a caller.
#[derive(Clone, Copy, Debug, Default)]
struct Pressed {
    asked: usize,
    served: usize,
}

fn sum(all: &[Pressed]) -> Pressed {
    Pressed {
        asked: all.iter().map(|p| p.asked).sum(),
        served: all.iter().map(|p| p.served).sum(),
    }
}

/// Asks for keys one after the other for a time.
async fn press(router: &RouterProcess, length: Millis) -> Pressed {
    let clock = Clock::start();
    let mut pressed = Pressed::default();
    let mut key = 0;
    while clock.now() < length {
        key = (key + 4_099) % 65_536;
        let answer = router.caller().key(key as u16).await.unwrap();
        pressed.asked += 1;
        pressed.served += usize::from(answer.status() == 200);
        monoio::time::sleep(PAUSE.duration()).await;
    }
    pressed
}

/// Hosts and servers of the keyed service; the store lives as long as they do.
struct Fleet {
    routers: Vec<RouterProcess>,
    servers: Vec<Rc<Server>>,
    _world: World,
}

/// Starts hosts and servers, and waits until all keys are served.
async fn start(test: &str, hosts: usize, servers: usize) -> Fleet {
    let world = World::start(test).await;
    world.configure().await;
    let mut all = Vec::new();
    for i in 0..servers {
        all.push(world.server(&format!("k-{i}"), "kits").await);
    }
    let mut routers = Vec::new();
    for i in 0..hosts {
        routers.push(world.router(&format!("h-{i}")).await);
    }
    for router in &routers {
        wait_until("keys are served", async || {
            let low = router.caller().key(7).await;
            let high = router.caller().key(65_000).await;
            low.is_ok_and(|a| a.status() == 200) && high.is_ok_and(|a| a.status() == 200)
        })
        .await;
    }
    Fleet {
        routers,
        servers: all,
        _world: world,
    }
}

/// A server in need is given what each host sends as if nothing was said.
#[test]
fn a_server_that_names_a_limit_gets_no_more_over_all_hosts() {
    block_on(async {
        let fleet = start("limit-hosts", 3, 1).await;
        let server = &fleet.servers[0];
        name_limit(server, Millis(60_000));
        join_all(fleet.routers.iter().map(|r| press(r, SETTLE))).await;
        let served = join_all(fleet.routers.iter().map(|r| press(r, Millis(6_000)))).await;
        assert_eq!(server.ledger().limit_overruns, []);
        let served = sum(&served).served;
        assert!(served >= (6.0 * RATE * 0.7) as usize, "{served} served");
    });
}

/// Hosts that lost the scheduler of a limited server go by what they see themselves, and send it as much as they like.
#[test]
fn a_limited_server_is_spared_while_its_scheduler_is_lost() {
    block_on(async {
        let fleet = start("limit-lost", 3, 1).await;
        let server = &fleet.servers[0];
        name_limit(server, Millis(60_000));
        join_all(fleet.routers.iter().map(|r| press(r, SETTLE))).await;
        for host in &fleet.routers[..2] {
            host.signal(Signal::SIGKILL);
        }
        press(&fleet.routers[2], Millis(6_000)).await;
        assert_eq!(server.ledger().limit_overruns, []);
    });
}

/// A limited server keeps its keys, and their callers are refused beside servers that have room.
#[test]
fn keys_of_a_limited_server_go_to_others() {
    block_on(async {
        let fleet = start("limit-keys", 2, 3).await;
        name_limit(&fleet.servers[0], Millis(60_000));
        // So many that the leader sees which keys they ask for.
        let callers: Vec<_> = fleet.routers.iter().cycle().take(12).collect();
        join_all(callers.iter().map(|r| press(r, Millis(5_000)))).await;
        let pressed = join_all(callers.iter().map(|r| press(r, Millis(4_000)))).await;
        let pressed = sum(&pressed);
        assert!(pressed.served * 10 >= pressed.asked * 9, "{pressed:?}");
    });
}

/// A server that no longer names a limit gets what it was spared for good.
#[test]
fn a_limit_ends_when_answers_no_longer_name_it() {
    block_on(async {
        let fleet = start("limit-ends", 1, 1).await;
        name_limit(&fleet.servers[0], Millis(2_000));
        press(&fleet.routers[0], Millis(6_000)).await;
        let served = press(&fleet.routers[0], Millis(2_000)).await.served;
        assert!(served >= 15, "{served} served");
        let log = fleet.routers[0].log();
        assert!(log.contains("from=Some(3.0) to=None"), "{log}");
    });
}
