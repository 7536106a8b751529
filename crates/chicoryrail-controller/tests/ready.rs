//! What a controller says of itself during faults and a planned stop.

mod support;

use chicoryrail_core::Millis;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::HttpClient;
use http::Request;
use nix::sys::signal::Signal;
use support::Cluster;
use support::wait_until;

/// Returns the statuses of `/healthz` and `/readyz`; 0 for no answer.
async fn says(cluster: &Cluster, i: usize) -> (u16, u16) {
    let addr = cluster.hosts.borrow()[i].observe[0];
    let mut all = [0; 2];
    for (status, path) in all.iter_mut().zip(["/healthz", "/readyz"]) {
        let request = Request::get(path).body(bytes::Bytes::new()).unwrap();
        let answer = HttpClient::default()
            .call(addr, request, Millis(2_000))
            .await;
        *status = answer.map_or(0, |a| a.status().as_u16());
    }
    all.into()
}

/// Operators see it. A controller that starts while the store is down and no peer has a
/// configuration lives and is not ready; with the store back it becomes ready. A later outage leaves
/// it ready, since it keeps its shards and hands the configuration on; a stop signal ends that.
#[test]
fn readiness_follows_the_configuration_and_the_stop() {
    chicoryrail_runtime::block_on(async {
        let mut cluster = Cluster::start(0, 2);
        cluster.store.down.set(true);
        cluster.add(0);
        let cluster = &cluster;
        let comes = async |expected| {
            wait_until("it says so", async || says(cluster, 0).await == expected).await;
        };
        comes((200, 503)).await;
        cluster.store.down.set(false);
        comes((200, 200)).await;
        cluster.store.down.set(true);
        Clock::start().sleep(Millis(1_000)).await;
        assert_eq!(says(cluster, 0).await, (200, 200));
        // The hand-over waits for the store, so the stop is long enough to be seen.
        cluster.signal(0, Signal::SIGTERM);
        comes((200, 503)).await;
    });
}
