//! The store's stand-in over its HTTP interface.

use std::net::SocketAddr;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_platform::HttpStore;
use chicoryrail_platform::Record;
use chicoryrail_platform::Store;
use chicoryrail_platform::StoreError;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::Change;
use chicoryrail_testkit::Listener;
use chicoryrail_testkit::StoreFault;
use chicoryrail_testkit::StoreOptions;
use chicoryrail_testkit::StoreServer;
use chicoryrail_testkit::StoreStats;
use http::Method;
use http::Request;
use serde::de::DeserializeOwned;

async fn start(options: StoreOptions) -> SocketAddr {
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = listener.addr().unwrap();
    monoio::spawn(StoreServer::new(options).serve(listener, CancellationToken::new()));
    addr
}

async fn call<T: DeserializeOwned>(method: Method, addr: SocketAddr, path: &str, body: &str) -> T {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .body(Bytes::from(body.to_owned()))
        .unwrap();
    let client = HttpClient::default();
    let answer = client.call(addr, request, Millis(5_000)).await.unwrap();
    serde_json::from_slice(answer.body()).unwrap()
}

async fn fault(addr: SocketAddr, fault: &StoreFault) {
    let body = serde_json::to_string(fault).unwrap();
    call::<()>(Method::PUT, addr, "/testkit/fault", &body).await;
}

fn record(key: &str, value: Option<&str>, version: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: value.map(str::to_owned),
        version,
    }
}

#[test]
fn a_swap_with_an_old_version_writes_nothing() {
    block_on(async {
        let addr = start(StoreOptions::default()).await;
        let store = HttpStore::new(addr);
        assert_eq!(store.swap("config/head", 0, "a").await, Ok(1));
        assert_eq!(store.swap("config/head", 1, "b").await, Ok(2));
        let lost = store.swap("config/head", 1, "c").await;
        let conflict = StoreError::Conflict {
            key: "config/head".to_owned(),
            found: 2,
        };
        assert_eq!(lost, Err(conflict));
        let found = store.get("config/head").await;
        assert_eq!(found, Ok(Some(record("config/head", Some("b"), 2))));
    });
}

#[test]
fn a_watch_waits_for_its_prefix_and_counts_as_one_call() {
    block_on(async {
        let addr = start(StoreOptions::default()).await;
        let store = HttpStore::new(addr);
        store.swap("config/head", 0, "a").await.unwrap();
        let watching = store.clone();
        let watch =
            monoio::spawn(async move { watching.watch("config/", 1, Millis(10_000)).await });
        while call::<StoreStats>(Method::GET, addr, "/testkit/stats", "")
            .await
            .waiting
            == 0
        {}
        store.swap("other", 0, "x").await.unwrap();
        store.swap("config/head", 1, "b").await.unwrap();
        let seen = watch.await;
        assert_eq!(seen, Ok((3, vec![record("config/head", Some("b"), 3)])));
        let stats: StoreStats = call(Method::GET, addr, "/testkit/stats", "").await;
        assert_eq!((stats.watches, stats.swaps, stats.waiting), (1, 3, 0));
    });
}

/// The caller sees an error of a swap and can't tell whether it was written. The store does the
/// write first and then closes the connection; the history shows the write, and a read-back finds
/// it.
#[test]
fn a_lost_answer_leaves_the_write_in_effect() {
    block_on(async {
        let addr = start(StoreOptions::default()).await;
        let store = HttpStore::new(addr);
        let lose = StoreFault::LoseAnswers {
            for_ms: 60_000,
            share: 1.0,
        };
        fault(addr, &lose).await;
        let lost = store.swap("k", 0, "v").await;
        assert!(matches!(lost, Err(StoreError::Down { .. })), "{lost:?}");
        call::<()>(Method::DELETE, addr, "/testkit/fault", "").await;
        assert_eq!(store.get("k").await, Ok(Some(record("k", Some("v"), 1))));
        let history: Vec<Change> = call(Method::GET, addr, "/testkit/history?prefix=k", "").await;
        let seen: Vec<_> = history.iter().map(|c| (&*c.key, c.version)).collect();
        assert_eq!(seen, [("k", 1)]);
    });
}

#[test]
fn a_store_that_is_down_writes_nothing() {
    block_on(async {
        let addr = start(StoreOptions::default()).await;
        let store = HttpStore::new(addr);
        let down = StoreFault::Down {
            for_ms: 60_000,
            share: 1.0,
            polite: false,
        };
        fault(addr, &down).await;
        let lost = store.swap("k", 0, "v").await;
        assert!(matches!(lost, Err(StoreError::Down { .. })), "{lost:?}");
        call::<()>(Method::DELETE, addr, "/testkit/fault", "").await;
        assert_eq!(store.get("k").await, Ok(None));
    });
}

/// A holder that stops renewing its lease loses its keys, and a watch tells of it: the store
/// deletes them under a new version.
#[test]
fn a_lease_that_runs_out_deletes_its_keys() {
    block_on(async {
        let addr = start(StoreOptions::default()).await;
        let store = HttpStore::new(addr);
        let lease: serde_json::Value =
            call(Method::POST, addr, "/v1/lease", r#"{"ttl_ms":50}"#).await;
        assert_eq!(lease["id"], 1);
        let body = r#"{"value":"v","expect":0,"lease":1}"#;
        call::<serde_json::Value>(Method::PUT, addr, "/v1/kv/l/x", body).await;
        let seen = store.watch("l/", 1, Millis(10_000)).await;
        assert_eq!(seen, Ok((2, vec![record("l/x", None, 2)])));
    });
}

#[test]
fn calls_above_the_rate_are_refused_and_counted() {
    block_on(async {
        let options = StoreOptions {
            writes: Some(2),
            ..StoreOptions::default()
        };
        let addr = start(options).await;
        let store = HttpStore::new(addr);
        for i in 0..20 {
            let _ = store.swap(&format!("k{i}"), 0, "v").await;
        }
        let stats: StoreStats = call(Method::GET, addr, "/testkit/stats", "").await;
        assert_eq!(stats.swaps + stats.limited, 20);
        assert!(stats.limited > 0, "{stats:?}");
    });
}
