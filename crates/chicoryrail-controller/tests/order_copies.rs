//! Claims that are made while a deputy takes over.

mod support;

use std::collections::BTreeMap;

use chicoryrail_core::Millis;
use chicoryrail_ownership::ShardRecord;
use chicoryrail_runtime::Clock;
use chicoryrail_wire::OrderClaim;
use chicoryrail_wire::OrderReply;
use chicoryrail_wire::Peer;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use nix::sys::signal::Signal;
use support::Cluster;
use support::wait_until;

/// Asks every controller until one answers as the holder of the id's shard.
async fn claim(cluster: &Cluster, order: &str, token: u64) -> Option<OrderReply> {
    let request = Request::OrderClaim(OrderClaim {
        order: order.to_owned(),
        service: "booking".into(),
        print: 7,
        gate: "h0".into(),
        token,
        wait: Millis::ZERO,
    });
    for addr in &cluster.inner {
        let reply = Peer::new(*addr).call(&request, Millis(1_000)).await;
        if let Ok(Reply::Order(reply)) = reply {
            return Some(reply);
        }
    }
    None
}

/// Returns the records of the parts of the order ids.
fn records(cluster: &Cluster) -> BTreeMap<u32, ShardRecord> {
    let read = |part| {
        let text = cluster.store.value(&format!("shard/orders.{part}"))?;
        Some((part, serde_json::from_str(&text).unwrap()))
    };
    (0..16).filter_map(read).collect()
}

fn is_whole(cluster: &Cluster) -> bool {
    let all = records(cluster);
    !all.is_empty() && all.values().all(|r| r.deputy.is_some() && !r.released)
}

/// The caller's order runs twice where this fails. A deputy stands still for half a second, takes the
/// holder for lost when it goes on, and takes its parts over. The holder acts for some 600 ms more and
/// gives claims, copied to the deputy; the deputy must know them when its own right begins.
#[test]
fn claims_given_during_a_take_over_are_known_after_it() {
    chicoryrail_runtime::block_on(async {
        let cluster = Cluster::start(3, 2);
        let clock = Clock::start();
        wait_until("deputies are named", async || is_whole(&cluster)).await;
        clock.sleep(Millis(2_500)).await;
        let (mut given, mut taken) = (Vec::new(), 0);
        for round in 0..4 {
            let before = records(&cluster);
            let paused = round % 3;
            cluster.signal(paused, Signal::SIGSTOP);
            clock.sleep(Millis(500)).await;
            cluster.signal(paused, Signal::SIGCONT);
            let until = clock.now() + Millis(1_500);
            let mut i = 0;
            while clock.now() < until {
                let order = format!("order-{round}-{i}");
                if claim(&cluster, &order, 1).await == Some(OrderReply::Send) {
                    given.push(order);
                }
                i += 1;
            }
            let after = records(&cluster);
            let host = format!("h{paused}");
            let own = |r: &ShardRecord| r.holder.as_str() == host;
            let moved = |(p, r): (&u32, &ShardRecord)| own(r) && !own(&before[p]);
            taken += after.iter().filter(|(p, r)| moved((p, r))).count();
        }
        let mut again = Vec::new();
        for order in &given {
            if claim(&cluster, order, 2).await == Some(OrderReply::Send) {
                again.push(order);
            }
        }
        println!("{} claims given, {taken} parts taken over", given.len());
        assert_eq!((again, given.is_empty()), (Vec::new(), false));
    });
}
