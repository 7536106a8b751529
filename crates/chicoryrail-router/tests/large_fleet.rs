//! A host in front of thousands of servers.

mod support;

use chicoryrail_core::Member;
use chicoryrail_core::MemberState;
use chicoryrail_core::Millis;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use support::World;
use support::fleet_member;
use support::wait_until;

/// Number of servers of the fleet.
const SERVERS: u32 = 8_000;

/// Time between two changes of an entry.
const CHANGE_INTERVAL: Millis = Millis(200);

/// Number of changes.
const CHANGES: u32 = 25;

/// Part of a core that a small host has.
const SMALL_HOST_CPU: f64 = 0.1;

/// Starts a host in front of all servers, and returns the part of a core that it uses while `change` is called
/// [`CHANGES`] times.
async fn cpu_share(world: &World, mut change: impl AsyncFnMut(u32)) -> f64 {
    world.configure().await;
    let members: Vec<Member> = (0..SERVERS).map(fleet_member).collect();
    world.put_members(&members).await;
    let router = world.router("h-0").await;
    wait_until("the host has read the servers", async || {
        router.log().contains(&format!("known={SERVERS}"))
    })
    .await;
    monoio::time::sleep(Millis(1_000).to_duration()).await;
    let (clock, before) = (Clock::start(), router.cpu_seconds());
    for i in 0..CHANGES {
        change(i).await;
        monoio::time::sleep(CHANGE_INTERVAL.to_duration()).await;
    }
    let used = router.cpu_seconds() - before;
    let share = used / (clock.now().0 as f64 / 1_000.0);
    println!("{share:.3} of a core for {SERVERS} servers");
    share
}

/// Guards against a host that looks at every server for each change of one: a small host in front of thousands would do
/// nothing else while servers are replaced.
#[test]
fn a_changed_entry_costs_as_much_as_one_server() {
    block_on(async {
        let world = World::start("large-fleet").await;
        let share = cpu_share(&world, async |i| {
            let changed = Member {
                state: MemberState::Draining,
                ..fleet_member(i)
            };
            world.put_members(&[changed]).await;
        });
        let share = share.await;
        assert!(share < SMALL_HOST_CPU, "{share:.3} of a core");
    });
}

/// Guards against a host that updates every server for each configuration: a small host in front of thousands would stand
/// still while configurations follow one another, and each would come into force later.
#[test]
fn a_configuration_does_not_cost_a_look_at_every_server() {
    block_on(async {
        let world = World::start("large-fleet-config").await;
        let share = cpu_share(&world, async |_| world.configure().await).await;
        assert!(share < SMALL_HOST_CPU, "{share:.3} of a core");
    });
}

/// Guards against a core host that sends all servers again to each host that follows it whenever its own watch ends. Of a
/// large fleet that takes a core host seconds, in which it answers nobody, and the next configuration waits behind it.
#[test]
fn servers_are_not_sent_again_when_a_watch_ends() {
    block_on(async {
        let world = World::start("sent-again").await;
        world.configure().await;
        let members: Vec<Member> = (0..SERVERS).map(fleet_member).collect();
        world.put_members(&members).await;
        let mut core = Vec::new();
        for name in ["a", "b", "c"] {
            core.push(world.router(name).await);
        }
        let leaf = world.low_power_router("leaf").await;
        let sent = || leaf.log().matches("log=relay_reply_large").count();
        wait_until("the leaf host has read the servers", async || sent() == 1).await;
        world.stall_watches(Millis(300)).await;
        let changed = Member {
            state: MemberState::Draining,
            ..fleet_member(0)
        };
        world.put_members(&[changed]).await;
        wait_until("the leaf host knows the change", async || {
            leaf.log().contains("state=Draining")
        })
        .await;
        world.configure().await;
        wait_until("the leaf host has the configuration", async || {
            leaf.log().matches("log=config_arrived ").count() == 2
        })
        .await;
        assert_eq!(sent(), 1, "{}", leaf.log());
    });
}
