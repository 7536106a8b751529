//! Order claims while the controllers that hold them are lost.

mod support;

use chicoryrail_core::Millis;
use chicoryrail_ownership::ShardRecord;
use chicoryrail_runtime::Clock;
use chicoryrail_wire::OrderAnswer;
use chicoryrail_wire::OrderClaim;
use chicoryrail_wire::OrderClose;
use chicoryrail_wire::OrderOutcome;
use chicoryrail_wire::OrderReply;
use chicoryrail_wire::Peer;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use nix::sys::signal::Signal;
use rstest::rstest;
use support::Cluster;
use support::wait_until;

const ORDERS: u64 = 24;

fn done() -> OrderOutcome {
    OrderOutcome::Done(OrderAnswer {
        status: 201,
        content_type: None,
        body: Some(b"booked".to_vec()),
    })
}

/// Asks every controller until one answers as the holder of the id's shard.
async fn ask(cluster: &Cluster, request: &Request) -> Option<OrderReply> {
    for addr in &cluster.inner {
        let reply = Peer::new(*addr).call(request, Millis(2_000)).await;
        if let Ok(Reply::Order(reply)) = reply {
            return Some(reply);
        }
    }
    None
}

async fn claim(cluster: &Cluster, i: u64, token: u64) -> Option<OrderReply> {
    let request = Request::OrderClaim(OrderClaim {
        order: format!("order-{i}"),
        service: "booking".into(),
        print: 7,
        gate: "h0".into(),
        token,
        wait: Millis(0),
    });
    ask(cluster, &request).await
}

/// Tells whether every part's record names a deputy, and no host that is gone.
fn is_whole(cluster: &Cluster, gone: &[String]) -> bool {
    (0..2).all(|part| {
        let value = cluster.store.value(&format!("shard/orders.{part}"));
        let record: Option<ShardRecord> = value.and_then(|v| serde_json::from_str(&v).ok());
        record.is_some_and(|r| {
            let deputy = r.deputy.clone();
            let mut named = r.witnesses.iter().chain(&deputy).chain([&r.holder]);
            let none = named.all(|h| !gone.iter().any(|g| g == h.as_str()));
            deputy.is_some() && none && !r.released
        })
    })
}

/// A school is not billed twice. Orders are claimed, half of them closed; every controller that
/// holds order ids is lost one after the other; callers ask again. The deputy had each claim before
/// it took effect, so nobody may send a second time, and closed orders get the first answer.
#[rstest]
#[case::killed(Signal::SIGKILL)]
#[case::stopped(Signal::SIGTERM)]
fn a_claimed_order_is_never_claimed_again(#[case] signal: Signal) {
    chicoryrail_runtime::block_on(async move {
        let cluster = Cluster::start(4, 4);
        let ready = async || claim(&cluster, 1_000, 1).await == Some(OrderReply::Send);
        wait_until("orders are taken", ready).await;
        Clock::start().sleep(Millis(2_500)).await;
        for i in 0..ORDERS {
            let claimed = async || claim(&cluster, i, 100 + i).await == Some(OrderReply::Send);
            wait_until("the order is claimed", claimed).await;
            if i % 2 == 0 {
                let close = Request::OrderClose(OrderClose {
                    order: format!("order-{i}"),
                    token: 100 + i,
                    outcome: done(),
                });
                ask(&cluster, &close).await;
            }
        }
        let mut gone = Vec::new();
        for lost in 0..2 {
            let holds = async |i: usize| {
                let status = cluster.status(i).await;
                status.is_some_and(|s| s.held.iter().any(|h| h.0.to_string().starts_with("orders")))
            };
            for i in 0..4 {
                if holds(i).await {
                    cluster.signal(i, signal);
                    gone.push(format!("h{i}"));
                    break;
                }
            }
            wait_until("records without the lost", async || {
                is_whole(&cluster, &gone)
            })
            .await;
            // The new deputy gets its copy within a few hundred milliseconds.
            Clock::start().sleep(Millis(2_000)).await;
            for i in 0..ORDERS {
                let mut reply = None;
                wait_until("an answer", async || {
                    reply = claim(&cluster, i, 1_000 + i).await;
                    reply.is_some()
                })
                .await;
                let expected = if i % 2 == 0 {
                    OrderReply::Closed(done())
                } else {
                    OrderReply::Running
                };
                assert_eq!(reply, Some(expected), "order {i} after loss {lost}");
            }
        }
    });
}
