//! Weak hosts that hear from strong ones what the store says, and what their callers see of it.

mod support;

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use nix::sys::signal::Signal;
use support::RouterProcess;
use support::Server;
use support::World;
use support::wait_until;

/// Three strong hosts, which are enough for the core, and a weak one that follows them.
struct Fleet {
    world: World,
    core: Vec<RouterProcess>,
    leaf: RouterProcess,
    leaving: Rc<Server>,
    stays: Rc<Server>,
}

impl Fleet {
    async fn start(test: &str) -> Self {
        let world = World::start(test).await;
        world.configure().await;
        let leaving = world.server("i-1", "desk").await;
        let stays = world.server("i-2", "desk").await;
        let mut core = Vec::new();
        for name in ["a", "b", "c"] {
            core.push(world.router(name).await);
        }
        let leaf = world.weak_router("leaf").await;
        Self {
            world,
            core,
            leaf,
            leaving,
            stays,
        }
    }

    /// Returns the core host that the leaf host follows.
    fn relay(&self) -> &RouterProcess {
        let log = self.leaf.log();
        let mut lines = log.lines().filter(|l| l.contains("log=source"));
        let last = lines.next_back().unwrap();
        let named = |r: &&RouterProcess| last.contains(&format!("Relay({})", r.talk));
        self.core.iter().find(named).unwrap()
    }

    /// Lets a server leave, and waits until the leaf host's requests go to the other one only.
    async fn server_leaves(&self) {
        self.world.remove("servers/i-1").await;
        wait_until("the leaf host heard of it", async || {
            self.leaf.log().contains("server_entry_gone")
        })
        .await;
        let before = self.leaving.runs();
        for _ in 0..10 {
            let answer = self.leaf.caller().get("/read/1").await;
            assert_eq!(answer.unwrap().status(), 200);
        }
        assert_eq!(self.leaving.runs(), before);
        assert!(self.stays.runs() >= 10);
    }
}

/// A weak host among strong ones serves its callers, ordinary and keyed requests alike, and hears at once that a
/// server leaves. It makes no watch of its own: the store would have to answer hundreds of them for each change.
#[test]
fn a_weak_host_serves_without_watching_the_store() {
    block_on(async {
        let fleet = Fleet::start("leaf").await;
        fleet.world.server("k-1", "kits").await;
        wait_until("keys are granted", async || {
            let answer = fleet.leaf.caller().key(7).await;
            answer.is_ok_and(|a| a.status() == 200)
        })
        .await;
        fleet.server_leaves().await;
        let log = fleet.leaf.log();
        assert!(!log.contains("log=core_host"));
        assert!(!log.contains("source=Store"));
    });
}

/// The host that a weak one follows freezes; its connections stay open and say nothing. Within the time that a
/// leaving server gives, two seconds, the weak host hears from another one that the server leaves.
#[test]
fn a_weak_host_leaves_a_frozen_relay() {
    block_on(async {
        let fleet = Fleet::start("frozen-relay").await;
        let relay = fleet.relay();
        relay.signal(Signal::SIGSTOP);
        let limit = Millis(2_000).duration();
        let heard = monoio::time::timeout(limit, fleet.server_leaves()).await;
        relay.signal(Signal::SIGCONT);
        assert!(heard.is_ok(), "not heard in time");
        assert!(fleet.leaf.log().contains("log=relay_failed"));
    });
}

/// All strong hosts are killed at the same moment. The weak one serves its callers by what it knows, and after a few
/// seconds watches the store itself.
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
        fleet.server_leaves().await;
        assert!(fleet.leaf.log().contains("source=Store"));
    });
}
