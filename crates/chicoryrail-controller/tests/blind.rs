//! Order claims after a holder and its deputy are lost at once.

mod support;

use chicoryrail_core::Millis;
use chicoryrail_ownership::ShardRecord;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use chicoryrail_wire::OrderClaim;
use chicoryrail_wire::OrderOutcome;
use chicoryrail_wire::OrderReply;
use chicoryrail_wire::Peer;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use nix::sys::signal::Signal;
use support::Cluster;
use support::wait_until;

/// Claims the order, asking every controller until the holder of its part answers.
async fn claim(cluster: &Cluster, token: u64) -> Option<OrderReply> {
    let request = Request::OrderClaim(OrderClaim {
        order: "order-1".to_owned(),
        service: "booking".into(),
        print: 7,
        gate: "h0".into(),
        token,
        wait: Millis(0),
    });
    for addr in &cluster.inner {
        let reply = Peer::new(*addr).call(&request, Millis(2_000)).await;
        if let Ok(Reply::Order(reply)) = reply {
            return Some(reply);
        }
    }
    None
}

/// Returns the part that holds the order, by its record in the store.
fn record(cluster: &Cluster, part: &str) -> Option<ShardRecord> {
    let value = cluster.store.value(&format!("shard/orders.{part}"))?;
    serde_json::from_str(&value).ok()
}

fn index(host: &str) -> usize {
    host[1..].parse().unwrap()
}

/// A school is not billed twice. An order is claimed; the holder of its part and the deputy are lost
/// together, so a third controller takes over without the claim and answers "unknown". Its new
/// deputy copies all that it has, and then it is stopped. The copy was whole, but of a window with
/// a gap: the deputy must not take the order for a new one.
#[test]
fn a_deputy_of_a_blind_holder_is_blind_too() {
    block_on(async {
        let cluster = Cluster::start(6, 4);
        let part = chicoryrail_core::KeyHash::of("order-1").part(2).to_string();
        wait_until("the order is claimed", async || {
            claim(&cluster, 1).await == Some(OrderReply::Send)
        })
        .await;
        let first = record(&cluster, &part).unwrap();
        let deputy = first.deputy.unwrap();
        cluster.signal(index(first.holder.as_str()), Signal::SIGKILL);
        cluster.signal(index(deputy.as_str()), Signal::SIGKILL);
        let unknown = Some(OrderReply::Closed(OrderOutcome::Unknown));
        wait_until("a blind holder", async || {
            claim(&cluster, 2).await == unknown
        })
        .await;
        let second = record(&cluster, &part).unwrap();
        wait_until("the blind holder has a deputy that lives", async || {
            let now = record(&cluster, &part).and_then(|r| r.deputy);
            now.is_some_and(|d| d != deputy && d != first.holder)
        })
        .await;
        // The copy takes some hundred milliseconds; a slower one only makes the test easier.
        Clock::start().sleep(Millis(2_000)).await;
        // A planned stop, since the loss of a third witness would leave no majority of the five.
        cluster.signal(index(second.holder.as_str()), Signal::SIGTERM);
        let mut reply = None;
        wait_until("the next holder answers", async || {
            reply = claim(&cluster, 3).await;
            reply.is_some()
        })
        .await;
        assert_eq!(reply, unknown);
    });
}
