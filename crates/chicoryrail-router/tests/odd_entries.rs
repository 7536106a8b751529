//! Entries of other writers, and values at the ends of their ranges: hosts run on, serve and follow what comes later.

mod support;

use chicoryrail_platform::OWN_PREFIX;
use chicoryrail_platform::Txn;
use chicoryrail_runtime::block_on;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use support::RouterProcess;
use support::World;
use support::wait_until;

/// Depth of a deeply nested entry.
const NESTING: usize = 20_000;

/// Requests of each kind by which a host is checked.
const REQUESTS: usize = 6;

/// Number of times that an entry changes in quick succession.
const CHANGES: usize = 100;

/// Returns the entry of a ready server at an address where nothing listens, with one field replaced.
fn entry(field: &str, value: Value) -> Vec<u8> {
    let mut entry = json!({"service": "desk", "address": "127.0.0.1:9", "zone": "west", "version": "v1",
        "max_concurrency": 2, "state": "draining", "warmup_left_ms": 0, "sequence": 1, "born": 1});
    entry[field] = value;
    serde_json::to_vec(&entry).unwrap()
}

/// Returns an entry with a field whose text is not written by the JSON encoder.
fn raw_entry(field: &str, text: &str) -> Vec<u8> {
    let entry = entry(field, json!("RAW"));
    let entry = String::from_utf8(entry).unwrap();
    entry.replace("\"RAW\"", text).into_bytes()
}

fn nested(open: &str, close: &str) -> String {
    format!("{}0{}", open.repeat(NESTING), close.repeat(NESTING))
}

/// Returns odd entries by key.
fn odd_entries() -> Vec<(String, Vec<u8>)> {
    let arrays = nested("[", "]");
    let objects = nested("{\"a\":", "}");
    let numbers = [
        "1e999",
        "-1",
        "0.5",
        "18446744073709551616",
        "18446744073709551615",
        "4294967295",
        "-0",
        "9".repeat(10_000).as_str(),
    ]
    .map(str::to_owned);
    let mut entries = vec![arrays.clone().into_bytes(), objects.clone().into_bytes()];
    for field in ["max_concurrency", "warmup_left_ms", "born", "sequence"] {
        entries.extend(numbers.iter().map(|number| raw_entry(field, number)));
    }
    for text in [&arrays, &objects] {
        entries.push(raw_entry("unknown", text));
        entries.push(raw_entry("zone", text));
    }
    for address in [
        "127.0.0.1:70000",
        "127.0.0.1:0",
        "127.0.0.1",
        "0.0.0.0:9",
        "224.0.0.1:9",
        "[::]:9",
        ":9",
        "",
    ] {
        entries.push(entry("address", json!(address)));
    }
    for text in ["", "a\0b", "a\nb=c", "\u{1b}[2J", "\u{202e}x", "x y\"z"] {
        entries.push(entry("service", json!(text)));
        entries.push(entry("zone", json!(text)));
    }
    entries.push(b"\xff\xfe\0".to_vec());
    entries.push(Vec::new());
    let keyed = entries.into_iter().enumerate();
    let mut keyed: Vec<_> = keyed
        .map(|(i, bytes)| (format!("servers/odd-{i}"), bytes))
        .collect();
    let keys = [
        "servers/",
        "servers/a/b",
        "op/evacuate/",
        "op/evacuate/a\0b",
        "op/unknown",
    ];
    let own = [
        "live/hosts/odd",
        "live/crashes/odd",
        "live/traffic/rule/odd",
        "live/traffic/watch/odd",
        "traffic/state/odd",
        "keys/odd",
        "keys/odd/1",
        "odd",
    ];
    let values = [arrays.into_bytes(), b"{}".to_vec(), b"\xff".to_vec()];
    for (i, value) in values.into_iter().enumerate() {
        keyed.extend(keys.map(|key| (key.to_owned(), value.clone())));
        keyed.extend(own.map(|key| (format!("{OWN_PREFIX}{key}-{i}"), value.clone())));
    }
    keyed
}

/// Asserts that a host serves reads, orders and requests with keys.
async fn assert_serves(host: &RouterProcess) {
    let caller = host.caller();
    for i in 0..REQUESTS {
        let read = caller.get("/read/x").await.map(|r| r.status().as_u16());
        let order = caller.post("/order/x").await.map(|r| r.status().as_u16());
        let key = caller
            .key(i as u16 * 9_000)
            .await
            .map(|r| r.status().as_u16());
        let statuses = [read, order, key].map(|status| status.unwrap_or(0));
        assert_eq!(statuses, [200; 3], "{}", host.log());
    }
}

/// Guards against an entry of another writer that ends hosts which read the list of servers, or stops them from following it.
#[test]
fn odd_entries_end_no_host_and_hide_no_server() {
    block_on(async {
        let world = World::start("odd-entries").await;
        world.configure().await;
        let _desk = world.server("d-1", "desk").await;
        let _kits = world.server("k-1", "kits").await;
        let mut hosts = vec![world.router("a").await, world.low_power_router("b").await];
        wait_until("all keys are served", async || {
            hosts[0].serves_all_keys().await && hosts[1].serves_all_keys().await
        })
        .await;
        let entries = odd_entries();
        for (key, value) in &entries {
            // The store refuses some of the keys.
            let _ = world.store.commit(&Txn::default().put(key, value)).await;
        }
        for i in 0..CHANGES {
            let (_, value) = &entries[i % entries.len()];
            let txn = Txn::default().put("servers/changing", value);
            world.store.commit(&txn).await.unwrap();
        }
        let late = world.server("d-2", "desk").await;
        for host in &hosts {
            wait_until("the later server is used", async || {
                let before = late.executed();
                let _ = host.caller().get("/read/x").await;
                late.executed() > before
            })
            .await;
            assert_serves(host).await;
            let log = host.log();
            let is_control = |c: char| c.is_control() && c != '\n';
            assert!(
                !log.contains(is_control) && !log.contains('\u{202e}'),
                "{log:?}"
            );
        }
        for host in &mut hosts {
            assert_eq!(host.exit_code(), None);
        }
    });
}

/// Guards against a value of a configuration at the end of its range that ends the hosts which use it.
#[rstest]
#[case::timeout("/virtual_hosts/0/paths/0/timeout_ms", json!(u64::MAX))]
#[case::latency_target("/virtual_hosts/0/paths/0/target_latency_ms", json!(u64::MAX))]
#[case::large_latency_target("/virtual_hosts/0/paths/0/target_latency_ms", json!(1_u64 << 63))]
#[case::order_timeout("/virtual_hosts/0/paths/1/timeout_ms", json!(u64::MAX))]
#[case::order_latency_target("/virtual_hosts/0/paths/1/target_latency_ms", json!(u64::MAX))]
#[case::key_timeout("/virtual_hosts/0/paths/3/timeout_ms", json!(u64::MAX))]
#[case::key_latency_target("/virtual_hosts/0/paths/3/target_latency_ms", json!(u64::MAX))]
#[case::no_time("/virtual_hosts/0/paths/2/timeout_ms", json!(0))]
#[case::no_latency_target("/virtual_hosts/0/paths/0/target_latency_ms", json!(0))]
#[case::attempts("/virtual_hosts/0/paths/0/attempts", json!(u32::MAX))]
#[case::priority("/virtual_hosts/0/paths/0/priority", json!(u8::MAX))]
#[case::connections("/services/0/max_connections", json!(u32::MAX))]
#[case::key_connections("/services/1/max_connections", json!(u32::MAX))]
#[case::warmup("/services/0/slow_start_s", json!(1e300))]
#[case::warmup_rate("/services/0/cold_per_s", json!(1e300))]
#[case::negative_warmup("/services/0/slow_start_s", json!(-1.0))]
#[case::head_time("/limits/header_timeout_ms", json!(u64::MAX))]
#[case::idle_time("/limits/idle_timeout_ms", json!(u64::MAX))]
#[case::head_bytes("/limits/max_header_bytes", json!(u64::MAX))]
#[case::body_bytes("/limits/max_body_bytes", json!(u64::MAX))]
fn a_value_at_the_end_of_its_range_ends_no_host(#[case] field: &str, #[case] value: Value) {
    block_on(async {
        let world = World::start("odd-config").await;
        let mut config = world.next_config();
        *config.pointer_mut(field).unwrap() = value;
        world.put("op/config", &config).await;
        let _desk = world.server("d-1", "desk").await;
        let _kits = world.server("k-1", "kits").await;
        let mut host = world.router("a").await;
        wait_until("all keys are served", async || host.serves_all_keys().await).await;
        assert_serves(&host).await;
        assert_eq!(host.exit_code(), None);
    });
}

/// Guards against a server's entry with a limit at the end of its range that ends the hosts which add it up.
#[rstest]
#[case::slots("max_concurrency", json!(u32::MAX))]
#[case::warmup("warmup_left_ms", json!(u64::MAX))]
#[case::born("born", json!(u64::MAX))]
fn a_limit_at_the_end_of_its_range_ends_no_host(#[case] field: &str, #[case] value: Value) {
    block_on(async {
        let world = World::start("odd-limit").await;
        world.configure().await;
        let desk = world.server("d-1", "desk").await;
        let _kits = world.server("k-1", "kits").await;
        let mut host = world.router("a").await;
        wait_until("all keys are served", async || host.serves_all_keys().await).await;
        for service in ["desk", "kits"] {
            for i in 0..3 {
                let mut member = json!({"service": service, "address": desk.addr, "zone": "west",
                    "max_concurrency": 2, "state": "ready", "warmup_left_ms": 0, "born": 1});
                member[field] = value.clone();
                world.put(&format!("servers/{service}-{i}"), &member).await;
            }
        }
        wait_until("the entries are read", async || {
            host.log().contains("kits-2")
        })
        .await;
        let caller = host.caller();
        for i in 0..REQUESTS {
            let _ = caller.get("/read/x").await;
            let _ = caller.post("/order/x").await;
            let _ = caller.key(i as u16 * 9_000).await;
        }
        assert_eq!(host.exit_code(), None, "{}", host.log());
    });
}
