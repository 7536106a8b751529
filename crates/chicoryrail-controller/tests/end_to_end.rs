//! Controllers against the platform's stand-ins: every key gets one owner.

mod support;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::Event;
use chicoryrail_runtime::EventKind;
use chicoryrail_runtime::HttpClient;
use chicoryrail_wire::Peer;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use chicoryrail_wire::RouteRequest;
use rstest::rstest;
use support::Cluster;
use support::wait_until;

#[rstest]
#[case::one_host(1, 4)]
#[case::three_hosts(3, 6)]
fn every_key_gets_one_owner_and_a_route(#[case] hosts: usize, #[case] servers: usize) {
    chicoryrail_runtime::block_on(async move {
        let cluster = Cluster::start(hosts, servers);
        wait_until("every key has an owner", async || cluster.served() == 64).await;
        let request = Request::Routes(RouteRequest {
            gate: "g1".into(),
            instance: 1,
            leaving: false,
            known: Vec::new(),
            seen: Vec::new(),
            wait: Millis(0),
        });
        let settled =
            async || {
                for addr in &cluster.inner {
                    let reply = Peer::new(*addr).call(&request, Millis(500)).await;
                    let Ok(Reply::Routes(reply)) = reply else {
                        continue;
                    };
                    let moving = chicoryrail_wire::SliceState::Moving;
                    if reply.tables.iter().any(|t| {
                        t.entries.len() == 16 && t.entries.iter().all(|e| e.state != moving)
                    }) {
                        return true;
                    }
                }
                false
            };
        wait_until("a table of 16 settled slices", settled).await;
    });
}

/// An operator asks the timeline about a key; a grant that only counted its slices would be missing
/// from it.
#[test]
fn grants_name_their_slices() {
    chicoryrail_runtime::block_on(async move {
        let cluster = Cluster::start(1, 1);
        wait_until("every key has an owner", async || cluster.served() == 64).await;
        let observe = cluster.hosts.borrow()[0].observe[0];
        let request = http::Request::get("/events").body(Bytes::new()).unwrap();
        let client = HttpClient::default();
        let answer = client.call(observe, request, Millis(5_000)).await.unwrap();
        let events: Vec<Event> = serde_json::from_slice(answer.body()).unwrap();
        let mut grants = events.iter().filter(|e| e.kind == EventKind::Granted);
        let detail = &grants.next().expect("slices were granted").detail;
        let (_, slices) = detail.split_once("slices=").unwrap();
        let names: Vec<_> = slices.split(' ').next().unwrap().split(',').collect();
        // The one server gets all 16 slices; the first starts the space.
        let first = "0000000000000000-0fffffffffffffff";
        assert_eq!((names.len(), names[0], names[8]), (9, first, "+8"));
    });
}
