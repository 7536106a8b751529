//! Servers with keys that start again under their names.

mod support;

use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_core::Member;
use chicoryrail_core::Millis;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetOptions;
use support::RouterProcess;
use support::Server;
use support::World;
use support::ready_member;
use support::wait_until;

/// Time for which two servers may hold the same keys.
const OVERLAP_MAX: Millis = Millis(500);

/// Time after a restart for which holds are compared: longer than a key lease.
const OBSERVED_TIME: Millis = Millis(4_000);

const CHECK_INTERVAL: Millis = Millis(5);

fn options(name: &str) -> TargetOptions {
    TargetOptions {
        service: "kits".into(),
        keyed: true,
        ..TargetOptions::new(name)
    }
}

fn member(server: &Server, born: u64) -> Member {
    Member {
        life: Life::new(server.name.as_str().into(), born),
        ..ready_member(&server.name, "kits", server.addr)
    }
}

fn sampled_keys() -> impl Iterator<Item = u16> {
    (0..=u16::MAX).step_by(1_024)
}

/// Starts two servers whose entries the test writes, and a host that leads; returns when all keys are granted.
async fn start(test: &str) -> (World, [Rc<Server>; 2], RouterProcess) {
    let world = World::start(test).await;
    world.configure().await;
    let servers = ["k-1", "k-2"].map(|name| Server::start(options(name)));
    let members: Vec<Member> = servers.iter().map(|s| member(s, 1)).collect();
    world.put_members(&members).await;
    let router = world.router("a").await;
    wait_until("all keys are granted", async || {
        let [first, second] = &servers;
        sampled_keys().all(|key| first.owns(key) || second.owns(key))
            && sampled_keys().any(|key| first.owns(key))
    })
    .await;
    (world, servers, router)
}

/// Returns the longest time for which two servers held the same key, within [`OBSERVED_TIME`].
async fn longest_overlap(servers: [&Server; 2]) -> Millis {
    let clock = Clock::start();
    let mut since: Option<Millis> = None;
    let mut longest = Millis::ZERO;
    while clock.now() < OBSERVED_TIME {
        let now = clock.now();
        if sampled_keys().any(|key| servers.iter().all(|s| s.owns(key))) {
            longest = longest.max(now.since(*since.get_or_insert(now)));
        } else {
            since = None;
        }
        clock.sleep(CHECK_INTERVAL).await;
    }
    longest
}

/// Guards against two servers with the same keys after a restart: the new process takes a renewal that was meant for the
/// one before it, and the leader counts the keys as free once it reads the later registration.
#[test]
fn keys_renewed_at_a_restarted_server_are_released_before_others_get_them() {
    block_on(async {
        let (world, [before, other], router) = start("restarted").await;
        before.crash();
        let after = Server::start_at(before.addr, options("k-1")).await;
        wait_until("a renewal reaches the new process", async || {
            sampled_keys().any(|key| after.owns(key))
        })
        .await;
        world.put_members(&[member(&after, 2)]).await;
        let overlap = longest_overlap([&after, &other]).await;
        assert!(overlap <= OVERLAP_MAX, "{overlap}\n{}", router.log());
        assert!(sampled_keys().all(|key| after.owns(key) || other.owns(key)));
    });
}
