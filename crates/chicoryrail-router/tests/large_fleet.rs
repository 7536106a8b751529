//! A host in front of thousands of servers.

mod support;

use std::net::SocketAddr;

use chicoryrail_core::Member;
use chicoryrail_core::MemberState;
use chicoryrail_core::Millis;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use support::World;
use support::ready_member;
use support::wait_until;

/// Number of servers of the fleet.
const SERVERS: u32 = 8_000;

/// Time between two changes of an entry.
const CHANGE_INTERVAL: Millis = Millis(200);

/// Number of changes.
const CHANGES: u32 = 25;

/// Part of a core that a small host has.
const SMALL_HOST_CPU: f64 = 0.1;

fn member(i: u32) -> Member {
    let [_, b, c, d] = (i + 1).to_be_bytes();
    let addr = SocketAddr::from(([127, b, c, d], 9));
    Member {
        dc: ["west", "east"][i as usize % 2].into(),
        ..ready_member(&format!("i-{i:08x}"), "desk", addr)
    }
}

/// Guards against a host that looks at every server for each change of one: a small host in front of thousands would do
/// nothing else while servers are replaced.
#[test]
fn a_changed_entry_costs_as_much_as_one_server() {
    block_on(async {
        let world = World::start("large-fleet").await;
        world.configure().await;
        let members: Vec<Member> = (0..SERVERS).map(member).collect();
        world.put_members(&members).await;
        let router = world.router("h-0").await;
        wait_until("the host has read the servers", async || {
            router.log().contains(&format!("known={SERVERS}"))
        })
        .await;
        monoio::time::sleep(Millis(1_000).to_duration()).await;
        let (clock, before) = (Clock::start(), router.cpu_seconds());
        for i in 0..CHANGES {
            let changed = Member {
                state: MemberState::Draining,
                ..member(i)
            };
            world.put_members(&[changed]).await;
            monoio::time::sleep(CHANGE_INTERVAL.to_duration()).await;
        }
        let used = router.cpu_seconds() - before;
        let share = used / (clock.now().0 as f64 / 1_000.0);
        println!("{share:.3} of a core for {SERVERS} servers");
        assert!(share < SMALL_HOST_CPU, "{share:.3} of a core");
    });
}
