//! Keys of so many servers that their assignment is longer than a datagram and one host does not renew all leases.

mod support;

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetOptions;
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use support::RouterProcess;
use support::Server;
use support::World;
use support::ready_member;
use support::wait_until;

/// Number of servers. With names of [`NAME_LENGTH`] characters, their map is longer than the 65,507 bytes of a datagram.
const SERVERS: usize = 900;
const NAME_LENGTH: usize = 64;

/// Number of sampled keys, evenly spaced over the key space.
const SAMPLES: u16 = 48;

/// Time for which the keys must stay served: several leases.
const SERVED_TIME: Millis = Millis(6_000);

/// Starts the servers and writes their entries.
async fn start_servers(world: &World) -> Vec<Rc<Server>> {
    let servers = (0..SERVERS).map(|i| {
        let name = format!("{i:0>NAME_LENGTH$}");
        Server::start(TargetOptions {
            service: "kits".into(),
            keyed: true,
            ..TargetOptions::new(&name)
        })
    });
    let servers: Vec<_> = servers.collect();
    let members = servers
        .iter()
        .map(|s| ready_member(&s.name, "kits", s.addr));
    let members: Vec<_> = members.collect();
    world.put_members(&members).await;
    servers
}

/// Returns the number of sampled keys that a host serves.
async fn served(router: &RouterProcess) -> usize {
    let keys = (0..SAMPLES).map(|i| i * (u16::MAX / SAMPLES));
    let responses = keys.map(|key| async move {
        let response = router.caller().key(key).await;
        response.is_ok_and(|r| r.status() == 200)
    });
    join_all(responses).await.iter().filter(|ok| **ok).count()
}

async fn serve_all(routers: &[RouterProcess]) {
    for router in routers {
        wait_until("the host serves all sampled keys", async || {
            served(router).await == usize::from(SAMPLES)
        })
        .await;
    }
}

/// Guards against hosts that never receive a key map that is longer than a datagram, and against a leader that is too
/// busy with renewals or has a connection to each server: the keys are served at every host, they stay served by the
/// renewals of other hosts, and are served again after the leader was lost.
#[test]
fn keys_of_a_large_fleet_are_served_at_every_host() {
    block_on(async {
        let world = World::start("large-keys").await;
        world.configure().await;
        let _servers = start_servers(&world).await;
        let mut routers = Vec::new();
        for i in 0..3 {
            routers.push(world.router(&format!("h-{i}")).await);
        }
        serve_all(&routers).await;
        let leads = |r: &RouterProcess| r.log().contains("log=leader_won");
        let leader = routers.iter().position(leads).unwrap();
        wait_until("other hosts renew the leases", async || {
            routers[leader].log().contains("log=delegates")
        })
        .await;
        wait_until("the leader keeps few connections", async || {
            routers[leader].open_files() < SERVERS / 2
        })
        .await;
        let clock = Clock::start();
        while clock.now() < SERVED_TIME {
            for router in &routers {
                assert_eq!(served(router).await, usize::from(SAMPLES));
            }
            monoio::time::sleep(Millis(200).to_duration()).await;
        }
        let lost = routers.swap_remove(leader);
        lost.signal(Signal::SIGKILL);
        serve_all(&routers).await;
        for router in &routers {
            assert!(!router.log().contains("log=talk_too_long"));
        }
    });
}
