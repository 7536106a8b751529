//! Hosts on slow links: replies of the store and of other hosts take longer to arrive than the timeout of a call to a
//! nearby host.

mod support;

use std::net::SocketAddr;

use chicoryrail_ownership::CoreHost;
use chicoryrail_ownership::store_key::host_key;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::Link;
use chicoryrail_testkit::LinkFault;
use chicoryrail_testkit::ProxyNet;
use support::RouterProcess;
use support::World;
use support::wait_until;

/// Link speeds in bytes per second at which the transfer of a large configuration takes over a second: one for the
/// store's encoding, one for the relay's.
const STORE_LINK_RATE: u64 = 250_000;
const RELAY_LINK_RATE: u64 = 25_000;

/// Additional routes of a large configuration.
const EXTRA_ROUTES: usize = 2_000;

fn slow_link(net: &mut ProxyNet, to: SocketAddr, rate: u64) -> Link {
    let link = net.link_any_port("slow", to).unwrap();
    link.set_fault(LinkFault {
        drip: Some(rate),
        ..LinkFault::default()
    });
    link
}

async fn wait_until_serving(router: &RouterProcess) {
    wait_until("the configuration is in force", async || {
        let response = router.caller().get("/read/1").await;
        response.is_ok_and(|a| a.status() == 200)
    })
    .await;
}

/// Guards against a host that watches the store and times out while a large configuration arrives: it would keep an
/// older configuration for good, and treat the store as lost.
#[test]
fn a_large_configuration_comes_from_the_store_over_a_slow_link() {
    block_on(async {
        let world = World::start("slow-store").await;
        world.configure_large(EXTRA_ROUTES).await;
        world.server("i-1", "desk").await;
        let mut net = ProxyNet::start(1);
        let link = slow_link(&mut net, world.store_addr(), STORE_LINK_RATE);
        let host = world.spawn_low_power_at("a", link.addr());
        wait_until_serving(&host).await;
        assert!(!host.log().contains("log=store_lost"), "{}", host.log());
    });
}

/// Guards against a leaf host that abandons each relay before the reply has arrived completely, and requests everything
/// again from the next one.
#[test]
fn a_large_configuration_comes_from_a_relay_over_a_slow_link() {
    block_on(async {
        let world = World::start("slow-relay").await;
        world.configure_large(EXTRA_ROUTES).await;
        world.server("i-1", "desk").await;
        let mut core = Vec::new();
        for name in ["a", "b", "c"] {
            core.push(world.router(name).await);
        }
        // A second store, which lists the core hosts at the addresses of their slow links and has no configuration.
        let lists = World::start("slow-relay-list").await;
        let mut net = ProxyNet::start(1);
        let mut links = Vec::new();
        for (name, host) in ["a", "b", "c"].into_iter().zip(&core) {
            let link = slow_link(&mut net, host.peer_addr, RELAY_LINK_RATE);
            let listed = CoreHost {
                addr: link.addr(),
                power: 500,
            };
            links.push(link);
            lists
                .put_own(&host_key(&name.into()), &listed.to_value())
                .await;
        }
        let leaf = world.spawn_low_power_at("leaf", lists.store_addr());
        wait_until_serving(&leaf).await;
        let log = leaf.log();
        assert!(!log.contains("log=relay_failed"), "{log}");
        assert!(!log.contains("source=Store"), "{log}");
        let carried: u64 = links.iter().map(|l| l.stats().down).sum();
        let config = world.store.item("op/config").await.unwrap().unwrap();
        let size = config.value.len() as u64;
        assert!(carried < size / 3, "{carried} bytes for {size}");
    });
}
