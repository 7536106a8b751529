//! The stand-in for the store, through its HTTP interface.

use std::net::SocketAddr;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_platform::Change as StoreChange;
use chicoryrail_platform::KvStore;
use chicoryrail_platform::StoreError;
use chicoryrail_platform::Txn;
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
    let response = client.call(addr, request, Millis(5_000)).await.unwrap();
    serde_json::from_slice(response.body()).unwrap()
}

async fn fault(addr: SocketAddr, fault: &StoreFault) {
    let body = serde_json::to_string(fault).unwrap();
    call::<()>(Method::PUT, addr, "/testkit/fault", &body).await;
}

/// Writes a key if its current revision is `revision`; 0 means that the key is absent.
async fn swap(store: &KvStore, key: &str, revision: u64, value: &str) -> Result<u64, StoreError> {
    let txn = Txn::default()
        .expect(key, revision)
        .put(key, value.as_bytes());
    store.commit(&txn).await
}

/// Reads the value and revision of a key.
async fn read(store: &KvStore, key: &str) -> Option<(String, u64)> {
    let item = store.item(key).await.unwrap()?;
    Some((String::from_utf8(item.value).unwrap(), item.revision))
}

#[test]
fn a_swap_with_an_old_revision_writes_nothing() {
    block_on(async {
        let addr = start(StoreOptions::default()).await;
        let store = KvStore::new(addr);
        assert_eq!(swap(&store, "config/head", 0, "a").await, Ok(1));
        assert_eq!(swap(&store, "config/head", 1, "b").await, Ok(2));
        let failed = swap(&store, "config/head", 1, "c").await;
        let conflict = StoreError::Conflict {
            key: "config/head".to_owned(),
            found: 2,
        };
        assert_eq!(failed, Err(conflict));
        let found = read(&store, "config/head").await;
        assert_eq!(found, Some(("b".to_owned(), 2)));
    });
}

#[test]
fn a_watch_waits_for_its_prefix_and_counts_as_one_call() {
    block_on(async {
        let addr = start(StoreOptions::default()).await;
        let store = KvStore::new(addr);
        swap(&store, "config/head", 0, "a").await.unwrap();
        let watching = store.clone();
        let watch =
            monoio::spawn(async move { watching.changes("config/", 1, Millis(10_000)).await });
        while call::<StoreStats>(Method::GET, addr, "/testkit/stats", "")
            .await
            .waiting
            == 0
        {}
        swap(&store, "other", 0, "x").await.unwrap();
        swap(&store, "config/head", 1, "b").await.unwrap();
        let seen = watch.await.unwrap();
        let [StoreChange::Put(item)] = &seen.changes[..] else {
            panic!("{seen:?}");
        };
        assert_eq!((&*item.key, item.revision), ("config/head", 3));
        assert_eq!((&*item.value, seen.revision), (&b"b"[..], 3));
        let stats: StoreStats = call(Method::GET, addr, "/testkit/stats", "").await;
        assert_eq!((stats.watches, stats.swaps, stats.waiting), (1, 3, 0));
    });
}

/// The store executes the write and then closes the connection without a response. The caller's swap fails with an
/// indeterminate outcome; the history and a later read show the write.
#[test]
fn a_lost_response_leaves_the_write_in_effect() {
    block_on(async {
        let addr = start(StoreOptions::default()).await;
        let store = KvStore::new(addr);
        let lose = StoreFault::LoseAnswers {
            for_ms: 60_000,
            share: 1.0,
        };
        fault(addr, &lose).await;
        let lost = swap(&store, "k", 0, "v").await;
        assert!(matches!(lost, Err(StoreError::Down { .. })), "{lost:?}");
        call::<()>(Method::DELETE, addr, "/testkit/fault", "").await;
        assert_eq!(read(&store, "k").await, Some(("v".to_owned(), 1)));
        let history: Vec<Change> = call(Method::GET, addr, "/testkit/history?prefix=k", "").await;
        let seen: Vec<_> = history.iter().map(|c| (&*c.key, c.version)).collect();
        assert_eq!(seen, [("k", 1)]);
    });
}

#[test]
fn a_store_that_is_down_writes_nothing() {
    block_on(async {
        let addr = start(StoreOptions::default()).await;
        let store = KvStore::new(addr);
        let down = StoreFault::Down {
            for_ms: 60_000,
            share: 1.0,
            polite: false,
            hosts: Vec::new(),
        };
        fault(addr, &down).await;
        let lost = swap(&store, "k", 0, "v").await;
        assert!(matches!(lost, Err(StoreError::Down { .. })), "{lost:?}");
        call::<()>(Method::DELETE, addr, "/testkit/fault", "").await;
        assert_eq!(read(&store, "k").await, None);
    });
}

/// When a lease is not renewed, the store deletes its keys under a new revision, and a watch reports the deletion.
#[test]
fn an_expired_lease_deletes_its_keys() {
    block_on(async {
        let addr = start(StoreOptions::default()).await;
        let store = KvStore::new(addr);
        let lease = store.open_lease(Millis(50)).await.unwrap();
        let txn = Txn::default().put_leased("l/x", b"v", lease.id);
        assert_eq!(store.commit(&txn).await, Ok(1));
        let seen = store.changes("l/", 1, Millis(10_000)).await.unwrap();
        let gone = StoreChange::Gone {
            key: "l/x".to_owned(),
            revision: 2,
        };
        assert_eq!(seen.changes, [gone]);
    });
}

#[test]
fn calls_above_the_rate_are_refused_and_counted() {
    block_on(async {
        let options = StoreOptions {
            writes_per_s: Some(2),
            ..StoreOptions::default()
        };
        let addr = start(options).await;
        let store = KvStore::new(addr);
        for i in 0..20 {
            let _ = swap(&store, &format!("k{i}"), 0, "v").await;
        }
        let stats: StoreStats = call(Method::GET, addr, "/testkit/stats", "").await;
        assert_eq!(stats.swaps + stats.limited, 20);
        assert!(stats.limited > 0, "{stats:?}");
    });
}

/// Guards against a watch that silently skips changes: the store compacts the history that a slow watcher still needs.
/// The watch fails, and a snapshot returns the current items.
#[test]
fn a_watch_of_compacted_history_fails() {
    block_on(async {
        let addr = start(StoreOptions::default()).await;
        let store = KvStore::new(addr);
        swap(&store, "servers/a", 0, "1").await.unwrap();
        swap(&store, "servers/a", 1, "2").await.unwrap();
        call::<()>(Method::PUT, addr, "/testkit/compact", "").await;
        let watch = store.changes("servers/", 1, Millis(100)).await;
        assert_eq!(watch, Err(StoreError::HistoryGone { after: 1 }));
        let all = store.snapshot("servers/").await.unwrap();
        assert_eq!((all.revision, all.items[0].revision), (2, 2));
        let next = store.changes("servers/", 2, Millis(10)).await.unwrap();
        assert_eq!((next.revision, next.changes.len()), (2, 0));
    });
}

#[test]
fn a_snapshot_reads_all_pages() {
    block_on(async {
        let addr = start(StoreOptions::default()).await;
        let store = KvStore::new(addr);
        for block in 0..38 {
            let txn = (0..32).fold(Txn::default(), |txn, i| {
                txn.put(&format!("n/{:04}", block * 32 + i), b"v")
            });
            store.commit(&txn).await.unwrap();
        }
        let all = store.snapshot("n/").await.unwrap();
        assert_eq!((all.items.len(), all.revision), (1_216, 38));
        assert!(all.items.is_sorted_by_key(|i| i.key.clone()));
    });
}

/// The store refuses the calls of one host with status 503 and serves the others. The refused host learns that its
/// write was not done.
#[test]
fn a_refused_host_learns_that_nothing_was_done() {
    block_on(async {
        let addr = start(StoreOptions::default()).await;
        let store = KvStore::new(addr);
        let down_for = |host: &str| StoreFault::Down {
            for_ms: 60_000,
            share: 1.0,
            polite: true,
            hosts: vec![host.parse().unwrap()],
        };
        fault(addr, &down_for("127.0.0.9")).await;
        assert_eq!(swap(&store, "k", 0, "v").await, Ok(1));
        fault(addr, &down_for("127.0.0.1")).await;
        assert_eq!(swap(&store, "k", 1, "w").await, Err(StoreError::NotDone));
    });
}

#[test]
fn a_failed_precondition_names_its_key() {
    block_on(async {
        let addr = start(StoreOptions::default()).await;
        let store = KvStore::new(addr);
        swap(&store, "lock", 0, "a").await.unwrap();
        let txn = Txn::default()
            .expect("lock", 7)
            .expect("x", 0)
            .put("x", b"b");
        let conflict = StoreError::Conflict {
            key: "lock".to_owned(),
            found: 1,
        };
        assert_eq!(store.commit(&txn).await, Err(conflict));
        let orphan = Txn::default().put_leased("x", b"b", 99);
        assert_eq!(store.commit(&orphan).await, Err(StoreError::LeaseGone));
        assert_eq!(store.item("x").await, Ok(None));
    });
}

#[test]
fn a_value_over_the_limit_fails_with_its_key_and_is_not_sent() {
    block_on(async {
        let addr = start(StoreOptions::default()).await;
        let store = KvStore::new(addr).with_max_value(10);
        let txn = Txn::default().put("small", b"1").put("large", &[0; 11]);
        let error = StoreError::TooLarge {
            key: "large".to_owned(),
            size: 11,
            limit: 10,
        };
        assert_eq!(store.commit(&txn).await, Err(error));
        assert_eq!(store.item("small").await, Ok(None));
    });
}
