//! Hosts stop while they move keys, or while they wait to campaign.

mod support;

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetFault;
use monoio::time::sleep;
use nix::sys::signal::Signal;
use rstest::rstest;
use support::RouterProcess;
use support::Server;
use support::World;
use support::wait_until;

const KEYS: [u16; 6] = [0, 9_000, 21_845, 33_000, 50_000, 65_535];

/// Time for which the hosts exchange heartbeats before the stop.
const SETTLE_TIME: Millis = Millis(1_500);

/// Time in which the keys are watched.
const WATCHED_TIME: Millis = Millis(8_000);

/// Longest time for which a key may have no owner while it moves and the leader changes.
const UNOWNED_MAX: Millis = Millis(1_500);

fn owners(servers: &[Rc<Server>], key: u16) -> usize {
    servers.iter().filter(|s| s.owns(key)).count()
}

/// Stops the leader this long after a server with keys begins to drain.
async fn stop_leader(drain_first: Millis) {
    let world = World::start("leader-stop").await;
    world.configure().await;
    let mut servers = Vec::new();
    for name in ["k-1", "k-2", "k-3"] {
        servers.push(world.server(name, "kits").await);
    }
    let hosts = [
        world.router("a").await,
        world.router("b").await,
        world.router("c").await,
    ];
    wait_until("all keys are granted", async || {
        KEYS.iter().all(|k| owners(&servers, *k) == 1)
    })
    .await;
    sleep(SETTLE_TIME.to_duration()).await;
    let leads = |h: &&RouterProcess| h.log().contains("log=leader_won");
    let leader = hosts.iter().find(leads).unwrap();
    servers[0].fault(TargetFault::Leave);
    sleep(drain_first.to_duration()).await;
    leader.signal(Signal::SIGTERM);
    let clock = Clock::start();
    let mut unowned_since = [None; KEYS.len()];
    let mut longest = Millis::ZERO;
    while clock.now() < WATCHED_TIME {
        for (key, since) in KEYS.iter().zip(&mut unowned_since) {
            match owners(&servers, *key) {
                0 => {
                    let since = since.get_or_insert(clock.now());
                    longest = longest.max(clock.now().since(*since));
                }
                1 => *since = None,
                count => panic!("{count} servers own key {key}"),
            }
        }
        sleep(Millis(5).to_duration()).await;
    }
    let moved = KEYS.iter().all(|k| !servers[0].owns(*k));
    println!("unowned for {longest:?}");
    let successors = hosts.iter().filter(|h| h.name != leader.name);
    let replaced = successors.filter(|h| leads(h)).count();
    assert_eq!(replaced, 1);
    assert!(moved);
    assert!(longest < UNOWNED_MAX, "{longest:?}");
}

/// Guards against keys that are owned twice, or by no server for long, after a leader that stops with grants and releases
/// in flight.
#[rstest]
#[case::at_once(Millis::ZERO)]
#[case::after_20_ms(Millis(20))]
#[case::after_60_ms(Millis(60))]
#[case::after_400_ms(Millis(400))]
fn a_leader_that_stops_loses_no_key(#[case] drain_first: Millis) {
    block_on(stop_leader(drain_first));
}

/// Time after the end of a term at which a weak host waits to campaign.
const BEFORE_CAMPAIGN: Millis = Millis(130);

/// Time in which a host that waits to campaign would have won.
const CAMPAIGN_TIME: Millis = Millis(1_000);

/// Number of trials, of which one in which the host was told to stop before its campaign is enough.
const TRIALS: usize = 5;

/// Tells the last two hosts to stop, the second while it waits to campaign, and returns its log.
async fn stop_before_campaign() -> String {
    let world = World::start("campaign-stop").await;
    world.configure().await;
    let _server = world.server("k-1", "kits").await;
    let leader = world.router("a").await;
    let weak = world.low_power_router("b").await;
    wait_until("both are core hosts", async || {
        weak.log().contains("log=core_host")
    })
    .await;
    sleep(SETTLE_TIME.to_duration()).await;
    leader.signal(Signal::SIGTERM);
    wait_until("the leader has given up its term", async || {
        leader.log().contains("log=leader_lost")
    })
    .await;
    sleep(BEFORE_CAMPAIGN.to_duration()).await;
    weak.signal(Signal::SIGTERM);
    sleep(CAMPAIGN_TIME.to_duration()).await;
    weak.log()
}

/// Guards against a stopping host that becomes the leader, only to give up its term at once.
#[test]
fn a_stopping_host_does_not_campaign() {
    block_on(async {
        for _ in 0..TRIALS {
            let log = stop_before_campaign().await;
            let (before, after) = log.split_once("log=stopping").expect("it stops");
            assert!(!after.contains("log=leader_won"), "{log}");
            if !before.contains("log=leader_won") {
                return;
            }
        }
        panic!("the host had won the lead before its stop in each trial");
    });
}
