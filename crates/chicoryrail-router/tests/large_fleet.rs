//! A host in front of thousands of servers.

mod support;

use std::net::SocketAddr;

use chicoryrail_core::Life;
use chicoryrail_core::Member;
use chicoryrail_core::MemberState;
use chicoryrail_core::Millis;
use chicoryrail_platform::Txn;
use chicoryrail_platform::write_member;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use support::World;
use support::wait_until;

/// Number of servers of the fleet.
const SERVERS: u32 = 8_000;

/// Number of servers in one transaction of the store.
const SERVERS_PER_TXN: u32 = 32;

/// Time between two changes of an entry.
const CHANGE_INTERVAL: Millis = Millis(200);

/// Number of changes.
const CHANGES: u32 = 25;

/// Part of a core that a small host has.
const SMALL_HOST_CPU: f64 = 0.1;

fn member(i: u32, state: MemberState) -> Member {
    let [_, b, c, d] = (i + 1).to_be_bytes();
    Member {
        life: Life::new(format!("i-{i:08x}").as_str().into(), 1),
        service: "desk".into(),
        addr: SocketAddr::from(([127, b, c, d], 9)),
        dc: ["west", "east"][i as usize % 2].into(),
        slots: 2,
        state,
        warmup_left: Millis::ZERO,
    }
}

fn put(txn: Txn, member: &Member) -> Txn {
    let key = format!("servers/{}", member.life.name);
    txn.put(&key, &write_member(member).unwrap())
}

/// Writes the entries of all servers.
async fn register_fleet(world: &World) {
    for first in (0..SERVERS).step_by(SERVERS_PER_TXN as usize) {
        let members = (first..first + SERVERS_PER_TXN).map(|i| member(i, MemberState::Ready));
        let txn = members.fold(Txn::default(), |txn, m| put(txn, &m));
        world.store.commit(&txn).await.unwrap();
    }
}

/// Guards against a host that looks at every server for each change of one: a small host in front of thousands would do
/// nothing else while servers are replaced.
#[test]
fn a_changed_entry_costs_as_much_as_one_server() {
    block_on(async {
        let world = World::start("large-fleet").await;
        world.configure().await;
        register_fleet(&world).await;
        let router = world.router("h-0").await;
        wait_until("the host has read the servers", async || {
            router.log().contains(&format!("known={SERVERS}"))
        })
        .await;
        monoio::time::sleep(Millis(1_000).to_duration()).await;
        let (clock, before) = (Clock::start(), router.cpu_seconds());
        for i in 0..CHANGES {
            let changed = member(i, MemberState::Draining);
            let txn = put(Txn::default(), &changed);
            world.store.commit(&txn).await.unwrap();
            monoio::time::sleep(CHANGE_INTERVAL.to_duration()).await;
        }
        let used = router.cpu_seconds() - before;
        let share = used / (clock.now().0 as f64 / 1_000.0);
        assert!(share < SMALL_HOST_CPU, "{share:.3} of a core");
    });
}
