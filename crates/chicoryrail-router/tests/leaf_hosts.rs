//! Leaf hosts: weak hosts that get the store's data from strong ones, and the effect on their callers.

mod support;

use std::cell::Cell;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use futures_util::future::join;
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use support::RouterProcess;
use support::Server;
use support::World;
use support::wait_until;

/// Time in which a host must learn of a request that ended a server at another one.
const CRASH_NEWS_TIME: Millis = Millis(20);

/// Number of requests that each end a server.
const CRASHES: usize = 10;

/// Number of these of which the host must learn in time. A busy machine may delay a single one.
const CRASHES_IN_TIME: usize = 9;

/// Time between two changes in the store: shorter than the pause between two polls of a relay.
const CHANGE_INTERVAL: Millis = Millis(15);

/// Number of weak hosts of which one at least follows another core host than the one that schedules.
const LEAVES: usize = 6;

/// Number of repeats of a request that ends servers at the weak host.
const REPEATS: usize = 4;

/// Three strong hosts, which are enough for the core, and a weak host that gets its data from one of them.
struct Fleet {
    world: World,
    core: Vec<RouterProcess>,
    leaf: RouterProcess,
    removed: Rc<Server>,
    staying: Rc<Server>,
}

impl Fleet {
    async fn start(test: &str) -> Self {
        let world = World::start(test).await;
        world.configure().await;
        let removed = world.server("i-1", "desk").await;
        let staying = world.server("i-2", "desk").await;
        let mut core = Vec::new();
        for name in ["a", "b", "c"] {
            core.push(world.router(name).await);
        }
        let leaf = world.low_power_router("leaf").await;
        Self {
            world,
            core,
            leaf,
            removed,
            staying,
        }
    }

    /// Returns the core host that the leaf host follows.
    fn relay(&self) -> &RouterProcess {
        self.relay_of(&self.leaf)
    }

    fn relay_of(&self, leaf: &RouterProcess) -> &RouterProcess {
        let log = leaf.log();
        let mut lines = log.lines().filter(|l| l.contains("log=source"));
        let last = lines.next_back().unwrap();
        let named = |r: &&RouterProcess| last.contains(&format!("Relay({})", r.peer_addr));
        self.core.iter().find(named).unwrap()
    }

    /// Removes a server's entry, and checks that the leaf host then sends requests only to the other server.
    async fn remove_server(&self) {
        self.world.remove("servers/i-1").await;
        wait_until("the leaf host applied the removal", async || {
            self.leaf.log().contains("server_entry_gone")
        })
        .await;
        let before = self.removed.executed();
        for _ in 0..10 {
            let response = self.leaf.caller().get("/read/1").await;
            assert_eq!(response.unwrap().status(), 200);
        }
        assert_eq!(self.removed.executed(), before);
        assert!(self.staying.executed() >= 10);
    }
}

/// Guards against a weak host that watches the store itself: the store would have to reply to hundreds of watches for
/// each change. The host must serve ordinary and keyed requests, and learn of a removed server from its relay.
#[test]
fn a_weak_host_serves_without_watching_the_store() {
    block_on(async {
        let fleet = Fleet::start("leaf").await;
        fleet.world.server("k-1", "kits").await;
        wait_until("keys are granted", async || {
            let response = fleet.leaf.caller().key(7).await;
            response.is_ok_and(|a| a.status() == 200)
        })
        .await;
        fleet.remove_server().await;
        let log = fleet.leaf.log();
        assert!(!log.contains("log=core_host"));
        assert!(!log.contains("source=Store"));
    });
}

/// Guards against a weak host that waits for a frozen relay, whose connections stay open without data. Another relay
/// must report a removed server within two seconds, the time that a draining server allows for this.
#[test]
fn a_weak_host_replaces_a_frozen_relay() {
    block_on(async {
        let fleet = Fleet::start("frozen-relay").await;
        let relay = fleet.relay();
        relay.signal(Signal::SIGSTOP);
        let limit = Millis(2_000).to_duration();
        let removal = monoio::time::timeout(limit, fleet.remove_server()).await;
        relay.signal(Signal::SIGCONT);
        assert!(removal.is_ok(), "the removal was not applied in time");
        assert!(fleet.leaf.log().contains("log=relay_failed"));
    });
}

/// Guards against a weak host without any relay: all strong hosts are killed at the same time. The weak host must serve
/// requests by its last known state, and watch the store itself after a few seconds.
#[test]
fn a_weak_host_without_relay_watches_the_store() {
    block_on(async {
        let fleet = Fleet::start("no-relay").await;
        for host in &fleet.core {
            host.signal(Signal::SIGKILL);
        }
        assert_eq!(
            fleet.leaf.caller().get("/read/1").await.unwrap().status(),
            200
        );
        fleet.remove_server().await;
        assert!(fleet.leaf.log().contains("source=Store"));
    });
}

/// Returns when a host logged each request that ended a server, in seconds, by the request's fingerprint.
fn suspected_at(host: &RouterProcess) -> Vec<(String, f64)> {
    let log = host.log();
    let lines = log
        .lines()
        .filter(|l| l.starts_with("log=request_suspected "));
    let value = |line: &str, name: &str| {
        let rest = line.split(&format!(" {name}=")).nth(1).unwrap();
        rest.split(' ').next().unwrap().to_owned()
    };
    lines
        .map(|line| {
            (
                value(line, "fingerprint"),
                value(line, "t").parse().unwrap(),
            )
        })
        .collect()
}

/// Guards against a weak host that sends a request on although the core hosts know that it ended a server: while the
/// store's data changes often, the host is between two polls most of the time.
#[test]
fn a_weak_host_learns_at_once_of_requests_that_end_servers() {
    block_on(async {
        let fleet = Fleet::start("leaf-crashes").await;
        for i in 0..CRASHES {
            fleet.world.server(&format!("c-{i}"), "desk").await;
        }
        let done = Cell::new(false);
        let changes = async {
            let member = support::ready_member("idle", "lab", fleet.staying.addr);
            while !done.get() {
                fleet.world.put_members(std::slice::from_ref(&member)).await;
                monoio::time::sleep(CHANGE_INTERVAL.to_duration()).await;
            }
        };
        let crashes = async {
            for i in 0..CRASHES {
                let path = format!("/order/{i}?crash=1");
                let lost = fleet.core[0].caller().post(&path).await.unwrap();
                assert_eq!(lost.status(), 502);
                wait_until("the leaf host knows of the request", async || {
                    suspected_at(&fleet.leaf).len() > i
                })
                .await;
            }
            done.set(true);
        };
        join(changes, crashes).await;
        let first = suspected_at(&fleet.core[0]);
        let delays = suspected_at(&fleet.leaf).into_iter().map(|(request, at)| {
            let first = first.iter().find(|(known, _)| *known == request);
            ((at - first.unwrap().1) * 1_000.0).round() as u64
        });
        let delays: Vec<u64> = delays.collect();
        println!("the leaf host learned after {delays:?} ms");
        let in_time = delays.iter().filter(|ms| **ms <= CRASH_NEWS_TIME.0);
        assert!(in_time.count() >= CRASHES_IN_TIME, "{delays:?} ms");
    });
}

/// Guards against a scheduler that lets a host send a request that it knows to have ended a server: the host can't know
/// it while its relay is frozen.
#[test]
fn a_scheduler_tells_the_querying_host_of_requests_that_end_servers() {
    block_on(async {
        let fleet = Fleet::start("untold").await;
        for i in 0..3 {
            fleet.world.server(&format!("c-{i}"), "desk").await;
        }
        let mut leaves = Vec::new();
        for i in 0..LEAVES {
            leaves.push(fleet.world.low_power_router(&format!("leaf-{i}")).await);
        }
        let schedules = |host: &RouterProcess| {
            let log = host.log();
            log.lines()
                .any(|l| l.starts_with("log=scheduler ") && l.contains("service=desk"))
        };
        wait_until("a core host schedules", async || {
            let sent = leaves[0].caller().get("/read/1").await;
            sent.is_ok() && fleet.core.iter().any(schedules)
        })
        .await;
        let leaf = leaves.iter().find(|leaf| !schedules(fleet.relay_of(leaf)));
        let leaf = leaf.expect("the weak hosts spread over the core hosts");
        let relay = fleet.relay_of(leaf);
        let other = fleet.core.iter().find(|h| h.name != relay.name).unwrap();
        relay.signal(Signal::SIGSTOP);
        let path = "/order/x?crash=1";
        let lost = other.caller().post(path).await.unwrap();
        assert_eq!(lost.status(), 502);
        // The server that has just ended may still be assigned, and is then not reached.
        let callers: Vec<_> = (0..REPEATS).map(|_| leaf.caller()).collect();
        join_all(callers.iter().map(|caller| caller.post(path))).await;
        relay.signal(Signal::SIGCONT);
        let suspected = || {
            let log = leaf.log();
            let mut lines = log.lines();
            let line = lines.find(|l| l.starts_with("log=request_suspected "));
            line.map(str::to_owned)
        };
        wait_until("the leaf host knows of the request", async || {
            suspected().is_some()
        })
        .await;
        let line = suspected().unwrap();
        assert!(!line.contains("source=own"), "{line}");
    });
}
