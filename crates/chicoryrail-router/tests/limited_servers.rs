//! Servers whose responses advertise a rate limit.

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

/// Rate limit that a server advertises, in requests per second.
const LIMIT_PER_S: f64 = 3.0;

/// Time after which a newly advertised rate limit must be in force.
const ENFORCEMENT_DELAY: Millis = Millis(3_000);

/// Time between two requests of a caller.
const REQUEST_INTERVAL: Millis = Millis(100);

/// Makes a server advertise a rate limit for `length`.
fn advertise_limit(server: &Server, length: Millis) {
    server.fault(TargetFault::NameLimit {
        for_ms: length.0,
        rate: LIMIT_PER_S,
    });
}

/// Counts of a caller's requests.
#[derive(Clone, Copy, Debug, Default)]
struct RequestCounts {
    sent: usize,
    served: usize,
}

fn sum(all: &[RequestCounts]) -> RequestCounts {
    RequestCounts {
        sent: all.iter().map(|p| p.sent).sum(),
        served: all.iter().map(|p| p.served).sum(),
    }
}

/// Sends requests to a router for `length`, one after the other and each for another key.
async fn send_requests(router: &RouterProcess, length: Millis) -> RequestCounts {
    let clock = Clock::start();
    let mut counts = RequestCounts::default();
    let mut key = 0;
    while clock.now() < length {
        key = (key + 4_099) % 65_536;
        let response = router.caller().key(key as u16).await.unwrap();
        counts.sent += 1;
        counts.served += usize::from(response.status() == 200);
        monoio::time::sleep(REQUEST_INTERVAL.to_duration()).await;
    }
    counts
}

/// Router processes and the servers of the keyed service. The store runs until this value is dropped.
struct Fleet {
    routers: Vec<RouterProcess>,
    servers: Vec<Rc<Server>>,
    _world: World,
}

/// Starts router processes and servers, and waits until each router serves a low and a high key.
async fn start(test: &str, hosts: usize, servers: usize) -> Fleet {
    let world = World::start(test).await;
    world.configure().await;
    let mut started = Vec::new();
    for i in 0..servers {
        started.push(world.server(&format!("k-{i}"), "kits").await);
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
        servers: started,
        _world: world,
    }
}

/// Guards against hosts that ignore a server's rate limit, or each use all of it. Three hosts together must stay within
/// the limit of one server and use at least 70% of it.
#[test]
fn rate_limit_holds_across_all_hosts() {
    block_on(async {
        let fleet = start("limit-hosts", 3, 1).await;
        let server = &fleet.servers[0];
        advertise_limit(server, Millis(60_000));
        join_all(
            fleet
                .routers
                .iter()
                .map(|r| send_requests(r, ENFORCEMENT_DELAY)),
        )
        .await;
        let served = join_all(
            fleet
                .routers
                .iter()
                .map(|r| send_requests(r, Millis(6_000))),
        )
        .await;
        assert_eq!(server.ledger().limit_overruns, []);
        let served = sum(&served).served;
        assert!(
            served >= (6.0 * LIMIT_PER_S * 0.7) as usize,
            "{served} served"
        );
    });
}

/// Guards against a host that exceeds a server's rate limit because it lost the scheduler and chooses servers from what
/// it knows itself. Two of three hosts are killed.
#[test]
fn rate_limit_holds_while_the_scheduler_is_lost() {
    block_on(async {
        let fleet = start("limit-lost", 3, 1).await;
        let server = &fleet.servers[0];
        advertise_limit(server, Millis(60_000));
        join_all(
            fleet
                .routers
                .iter()
                .map(|r| send_requests(r, ENFORCEMENT_DELAY)),
        )
        .await;
        for host in &fleet.routers[..2] {
            host.signal(Signal::SIGKILL);
        }
        send_requests(&fleet.routers[2], Millis(6_000)).await;
        assert_eq!(server.ledger().limit_overruns, []);
    });
}

/// Guards against a rate-limited server that keeps its keys: their callers would be refused although other servers have
/// free capacity.
#[test]
fn keys_of_a_limited_server_move_to_others() {
    block_on(async {
        let fleet = start("limit-keys", 2, 3).await;
        advertise_limit(&fleet.servers[0], Millis(60_000));
        // Enough callers for the leader to see which keys are requested.
        let callers: Vec<_> = fleet.routers.iter().cycle().take(12).collect();
        join_all(callers.iter().map(|r| send_requests(r, Millis(5_000)))).await;
        let counts = join_all(callers.iter().map(|r| send_requests(r, Millis(4_000)))).await;
        let counts = sum(&counts);
        assert!(counts.served * 10 >= counts.sent * 9, "{counts:?}");
    });
}

/// Guards against a rate limit that stays in force after the server no longer advertises it.
#[test]
fn rate_limit_ends_when_no_longer_advertised() {
    block_on(async {
        let fleet = start("limit-ends", 1, 1).await;
        advertise_limit(&fleet.servers[0], Millis(2_000));
        send_requests(&fleet.routers[0], Millis(6_000)).await;
        let served = send_requests(&fleet.routers[0], Millis(2_000)).await.served;
        assert!(served >= 15, "{served} served");
        let log = fleet.routers[0].log();
        assert!(log.contains("from=Some(3.0) to=None"), "{log}");
    });
}
