//! Limits of a server over all hosts, while these have no common scheduler.

mod support;

use std::rc::Rc;

use chicoryrail_core::HostName;
use chicoryrail_core::Member;
use chicoryrail_core::Millis;
use chicoryrail_ownership::store_key::host_key;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetFault;
use chicoryrail_testkit::TargetOptions;
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use serde_json::json;
use support::RouterProcess;
use support::Server;
use support::World;
use support::ready_member;

/// Requests that all hosts together may send to the server in any second: `cold_per_s` x `cold_over` + `cold_slack`.
const WARMUP_RATE_MAX: usize = 12;

/// Number of weak hosts: more than requests a second.
const LEAVES: usize = 14;

/// Time for which callers send requests after the loss: longer than the silence after which a host sends on its own.
const LOAD_TIME: Millis = Millis(7_000);

/// Pause of a caller between two requests.
const REQUEST_PAUSE: Millis = Millis(20);

/// Number of listed core hosts that a host does not see.
const UNSEEN_HOSTS: usize = 3;

/// Requests per second of an organisation's limit, and its burst.
const QUOTA_RATE: u64 = 20;

/// Requests that may run in [`QUOTA_WINDOW`]: the rate and a tenth of it, the burst, and `quota_slack`.
const QUOTA_RUNS_MAX: usize = 150;

/// Window in which the requests of an organisation are counted.
const QUOTA_WINDOW: Millis = Millis(5_000);

/// API key of the organisation.
const API_KEY: &str = "school-secret";

/// Registers a server that warms up for the whole test.
async fn warming_server(world: &World) -> Rc<Server> {
    let server = Server::start(TargetOptions {
        service: "desk".into(),
        ..TargetOptions::new("i-1")
    });
    let member = Member {
        warmup_left: Millis(600_000),
        slots: 50,
        ..ready_member("i-1", "desk", server.addr)
    };
    world.put_members(std::slice::from_ref(&member)).await;
    server
}

/// Starts weak hosts at the same time.
async fn start_leaves(world: &World) -> Vec<RouterProcess> {
    let names: Vec<String> = (0..LEAVES).map(|i| format!("leaf-{i}")).collect();
    join_all(names.iter().map(|name| world.low_power_router(name))).await
}

/// Sends requests one after the other for [`LOAD_TIME`].
async fn send_reads(host: &RouterProcess) {
    let (clock, caller) = (Clock::start(), host.caller());
    while clock.now() < LOAD_TIME {
        let _ = caller.get("/read/x").await;
        monoio::time::sleep(REQUEST_PAUSE.to_duration()).await;
    }
}

/// The same, with the API key of an organisation.
async fn send_reads_with_key(host: &RouterProcess) {
    let (clock, caller) = (Clock::start(), host.caller());
    while clock.now() < LOAD_TIME {
        let _ = caller.get_with_api_key("/read/x", API_KEY).await;
        monoio::time::sleep(REQUEST_PAUSE.to_duration()).await;
    }
}

/// Returns the largest number of requests that the server started within a window of this length.
fn most_within(server: &Server, window: Millis) -> usize {
    let ledger = server.ledger();
    let mut starts: Vec<u64> = ledger.runs.iter().map(|run| run.start).collect();
    starts.sort_unstable();
    let counts = starts.iter().map(|first| {
        let window = starts
            .iter()
            .filter(|t| **t >= *first && **t < first + window.0 * 1_000);
        window.count()
    });
    counts.max().unwrap_or(0)
}

/// Core hosts and weak hosts that have run for longer than a process waits before it relies on the number of hosts.
async fn start_hosts(world: &World) -> (Vec<RouterProcess>, Vec<RouterProcess>) {
    let mut core = Vec::new();
    for name in ["a", "b", "c"] {
        core.push(world.router(name).await);
    }
    let leaves = start_leaves(world).await;
    monoio::time::sleep(Millis(6_000).to_duration()).await;
    (core, leaves)
}

/// Guards against weak hosts that have lost all schedulers sending a server more than its warm-up rate together.
#[test]
fn hosts_that_lose_their_schedulers_keep_to_the_warm_up_rate() {
    block_on(async {
        let world = World::start("warm-up-lost").await;
        world.configure().await;
        let server = warming_server(&world).await;
        let (core, leaves) = start_hosts(&world).await;
        for host in &core {
            host.signal(Signal::SIGKILL);
        }
        join_all(leaves.iter().map(send_reads)).await;
        let most = most_within(&server, Millis(1_000));
        println!("{most} of {WARMUP_RATE_MAX} in a second");
        assert!(most <= WARMUP_RATE_MAX, "{most} in a second");
    });
}

/// Guards against hosts that start together sending a server more than its warm-up rate before they know each other.
#[test]
fn hosts_that_start_together_keep_to_the_warm_up_rate() {
    block_on(async {
        let world = World::start("warm-up-start").await;
        world.configure().await;
        let server = warming_server(&world).await;
        let leaves = start_leaves(&world).await;
        join_all(leaves.iter().map(send_reads)).await;
        let most = most_within(&server, Millis(1_000));
        println!("{most} of {WARMUP_RATE_MAX} in a second");
        assert!(most <= WARMUP_RATE_MAX, "{most} in a second");
    });
}

/// Guards against core hosts that can't see each other each sending what all may send together: one of four keeps to a
/// fourth.
#[test]
fn a_core_host_that_sees_no_other_keeps_to_its_part() {
    block_on(async {
        let world = World::start("warm-up-part").await;
        world.configure().await;
        let server = warming_server(&world).await;
        for i in 0..UNSEEN_HOSTS {
            let key = host_key(&HostName::new(&format!("unseen-{i}")));
            world.put_own(&key, "127.0.0.1:9 500").await;
        }
        let host = world.router("a").await;
        send_reads(&host).await;
        let most = most_within(&server, Millis(1_000));
        println!("{most} in a second");
        assert!(most > 0);
        assert!(
            most <= WARMUP_RATE_MAX / (UNSEEN_HOSTS + 1),
            "{most} in a second"
        );
    });
}

/// Guards against weak hosts that have lost all schedulers each using all of the rate limit that a server advertises.
#[test]
fn hosts_that_lose_their_schedulers_keep_to_an_advertised_rate() {
    block_on(async {
        let world = World::start("rate-lost").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let (core, leaves) = start_hosts(&world).await;
        server.fault(TargetFault::NameLimit {
            for_ms: 60_000,
            rate: 3.0,
        });
        join_all(leaves.iter().map(send_reads)).await;
        for host in &core {
            host.signal(Signal::SIGKILL);
        }
        join_all(leaves.iter().map(send_reads)).await;
        assert_eq!(server.ledger().limit_overruns, []);
    });
}

/// Guards against weak hosts that have lost all schedulers each using a core host's share of an organisation's limit.
#[test]
fn hosts_that_lose_their_schedulers_keep_to_a_quota() {
    block_on(async {
        let world = World::start("quota-lost").await;
        let mut config = world.next_config();
        config["tenants"] = json!([{"name": "school", "api_keys": [API_KEY],
            "rate_per_s": QUOTA_RATE, "burst": QUOTA_RATE}]);
        world.put("op/config", &config).await;
        let server = world.server("i-1", "desk").await;
        let (core, leaves) = start_hosts(&world).await;
        for host in &core {
            host.signal(Signal::SIGKILL);
        }
        join_all(leaves.iter().map(send_reads_with_key)).await;
        let most = most_within(&server, QUOTA_WINDOW);
        println!("{most} of {QUOTA_RUNS_MAX} in a window");
        assert!(most > 0);
        assert!(most <= QUOTA_RUNS_MAX, "{most} in a window");
    });
}
