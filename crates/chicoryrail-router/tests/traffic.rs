//! An operator's rules for traffic at running router processes.

mod support;

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_runtime::block_on;
use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use support::RouterProcess;
use support::Server;
use support::World;
use support::wait_until;

/// Key of an operator's rule in the store.
fn rule_key(id: &str) -> String {
    format!("chicoryrail/live/traffic/rule/{id}")
}

fn limit(kind: &str, share: f64) -> Value {
    json!({"type": "limit", "service": "desk", "limited": {"kind": kind}, "share": share})
}

/// Sends requests one after another and returns the number with each of the statuses 200 and 429.
async fn send(router: &RouterProcess, path: &str, requests: u32) -> (u32, u32) {
    let caller = router.caller();
    let (mut served, mut limited) = (0, 0);
    for _ in 0..requests {
        let response = caller.get(path).await.unwrap();
        match response.status().as_u16() {
            200 => served += 1,
            429 => {
                assert_eq!(response.headers()["retry-after"], "1.000");
                limited += 1;
            }
            other => panic!("status {other}"),
        }
    }
    (served, limited)
}

/// Waits until a host's log has a line of this rule with this change.
async fn await_rule(router: &RouterProcess, id: &str, change: &str) {
    wait_until("the rule is logged", async || {
        let line = format!("rule={id} change={change}");
        router
            .log()
            .lines()
            .any(|l| l.contains("log=traffic_rule") && l.contains(&line))
    })
    .await;
}

async fn fleet(world: &World) -> Vec<RouterProcess> {
    let mut hosts = Vec::new();
    for name in ["a", "b", "c"] {
        hosts.push(world.router(name).await);
    }
    hosts.push(world.low_power_router("leaf").await);
    hosts
}

/// Guards against a rule that some host does not apply, against one that is lost with the store or with the leader,
/// and against one that holds for other requests or stays in force when it is released.
#[test]
fn a_limit_is_in_force_at_every_host_through_outages() {
    block_on(async {
        let world = World::start("traffic-fleet").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let mut hosts = fleet(&world).await;
        world.put(&rule_key("r"), &limit("read", 0.25)).await;
        for host in &hosts {
            await_rule(host, "r", "in_force").await;
            assert_eq!(send(host, "/read/1", 20).await, (5, 15), "{}", host.name);
            let order = host.caller().post("/order/1").await.unwrap();
            assert_eq!(order.status(), 200);
        }
        assert_eq!(server.executed(), hosts.len() * 6);
        world.stop_store(Millis(3_000)).await;
        monoio::time::sleep(Millis(1_000).to_duration()).await;
        for host in &hosts {
            assert_eq!(send(host, "/read/1", 8).await, (2, 6), "{}", host.name);
        }
        monoio::time::sleep(Millis(3_000).to_duration()).await;
        let leads = |h: &RouterProcess| h.log().contains("log=leader_won");
        let leader = hosts.iter().position(leads).unwrap();
        hosts.remove(leader).signal(Signal::SIGKILL);
        wait_until("another host leads", async || hosts.iter().any(leads)).await;
        for host in &hosts {
            assert_eq!(send(host, "/read/1", 8).await, (2, 6), "{}", host.name);
        }
        let late = world.router("late").await;
        assert_eq!(send(&late, "/read/1", 8).await, (2, 6));
        world.remove(&rule_key("r")).await;
        for host in &hosts {
            await_rule(host, "r", "released").await;
            assert_eq!(send(host, "/read/1", 8).await, (8, 0), "{}", host.name);
        }
    });
}

/// Guards against a caller who is not held back, and against one who is although the rule names another.
#[test]
fn a_caller_is_limited_by_its_address() {
    block_on(async {
        let world = World::start("traffic-caller").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        let rule = |caller: &str| json!({"type": "limit", "service": "desk", "limited": {"caller": caller}, "share": 0});
        world.put(&rule_key("other"), &rule("10.9.8.7")).await;
        await_rule(&router, "other", "in_force").await;
        assert_eq!(send(&router, "/read/1", 4).await, (4, 0));
        world.put(&rule_key("own"), &rule("127.0.0.1")).await;
        await_rule(&router, "own", "in_force").await;
        assert_eq!(send(&router, "/read/1", 4).await, (0, 4));
        assert_eq!(server.executed(), 4);
        wait_until("the refusals are logged", async || {
            router.log().contains("log=traffic_limited")
        })
        .await;
        let log = router.log();
        let lines: Vec<_> = log
            .lines()
            .filter(|l| l.contains("log=traffic_limited"))
            .collect();
        assert!(!lines.is_empty() && lines.len() <= 2, "{lines:?}");
        assert!(lines[0].contains("rule=own service=desk"), "{lines:?}");
    });
}

/// Guards against entries that can't be read and affect requests or other rules; each is logged once.
#[test]
fn a_rule_that_cannot_be_read_is_logged_once_and_ignored() {
    block_on(async {
        let world = World::start("traffic-bad").await;
        world.configure().await;
        let _server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        world.put(&rule_key("bad"), &limit("read", 7.0)).await;
        world.put(&rule_key("worse"), &json!("stop")).await;
        world.put(&rule_key("good"), &limit("order", 0.0)).await;
        await_rule(&router, "good", "in_force").await;
        assert_eq!(send(&router, "/read/1", 4).await, (4, 0));
        assert_eq!(
            router.caller().post("/order/1").await.unwrap().status(),
            429
        );
        let log = router.log();
        let bad = log.lines().filter(|l| l.contains("log=bad_entry"));
        assert_eq!(bad.count(), 2, "{log}");
        assert!(log.contains("share 7 is not a number from 0 to 1"));
    });
}

/// Guards against a limited server that gets as much as the others, or requests although its share is nothing.
#[test]
fn a_server_gets_its_share() {
    block_on(async {
        let world = World::start("traffic-server").await;
        world.configure().await;
        let servers = [
            world.server("i-1", "desk").await,
            world.server("i-2", "desk").await,
        ];
        let router = world.router("a").await;
        let rule = |share: f64| json!({"type": "server", "server": "i-1", "share": share});
        world.put(&rule_key("s"), &rule(0.5)).await;
        await_rule(&router, "s", "in_force").await;
        servers.iter().for_each(|s| s.set_work(Millis(60)));
        let callers: Vec<_> = (0..12).map(|_| router.caller()).collect();
        let running: Vec<_> = callers
            .into_iter()
            .map(|caller| monoio::spawn(async move { caller.get("/read/1").await }))
            .collect();
        for response in running {
            assert!(response.await.is_ok());
        }
        assert_eq!(servers[0].ledger().max_busy, 1, "one of its two slots");
        world.put(&rule_key("s"), &rule(0.0)).await;
        wait_until("the server is closed", async || {
            router.log().matches("rule=s change=in_force").count() == 2
        })
        .await;
        let before = servers[0].executed();
        assert_eq!(send(&router, "/read/1", 10).await, (10, 0));
        assert_eq!(servers[0].executed(), before);
    });
}

/// Guards against keys that stay where they are or go elsewhere although they are pinned, and against keys without an
/// owner when the pinned server is gone.
#[test]
fn pinned_keys_stay_with_their_server() {
    block_on(async {
        let world = World::start("traffic-pin").await;
        world.configure().await;
        let servers = [
            world.server("k-1", "kits").await,
            world.server("k-2", "kits").await,
        ];
        let router = world.router("a").await;
        wait_until("all keys are served", async || {
            router.serves_all_keys().await
        })
        .await;
        for (at, other) in [(0, 1), (1, 0)] {
            let name = &servers[at].name;
            let rule = json!({"type": "pin", "service": "kits", "first": 0, "last": 40_000, "server": name});
            world.put(&rule_key("p"), &rule).await;
            wait_until("the pinned server serves the keys", async || {
                let before = servers[other].executed();
                let all = serves(&router, &[0, 20_000, 40_000]).await;
                all && servers[other].executed() == before
            })
            .await;
        }
        servers[1].fault(chicoryrail_testkit::TargetFault::Leave);
        let remaining: &Rc<Server> = &servers[0];
        wait_until("the other server serves the keys", async || {
            let before = remaining.executed();
            let all = serves(&router, &[0, 20_000, 40_000]).await;
            all && remaining.executed() == before + 3
        })
        .await;
    });
}

/// Guards against a server that keeps keys although its share is nothing, and against keys that nobody serves meanwhile or
/// a server that gets none when the rule is released.
#[test]
fn a_server_without_a_share_hands_its_keys_over() {
    block_on(async {
        let world = World::start("traffic-keys").await;
        world.configure().await;
        let servers = [
            world.server("k-1", "kits").await,
            world.server("k-2", "kits").await,
        ];
        let router = world.router("a").await;
        wait_until("both serve keys", async || {
            router.serves_all_keys().await && servers.iter().all(|s| s.executed() > 0)
        })
        .await;
        let rule = json!({"type": "server", "server": "k-1", "share": 0});
        world.put(&rule_key("s"), &rule).await;
        await_rule(&router, "s", "in_force").await;
        wait_until("the other server serves all keys", async || {
            let before = servers[0].executed();
            router.serves_all_keys().await && servers[0].executed() == before
        })
        .await;
        world.remove(&rule_key("s")).await;
        wait_until("the server has keys again", async || {
            let before = servers[0].executed();
            router.serves_all_keys().await && servers[0].executed() > before
        })
        .await;
    });
}

/// Guards against pins that end with the leader's term, and against a record that is written again and again while
/// servers are left without keys by a pin.
#[test]
fn the_next_leader_keeps_pins() {
    block_on(async {
        let world = World::start("traffic-pin-next").await;
        world.configure().await;
        let _servers = [
            world.server("k-1", "kits").await,
            world.server("k-2", "kits").await,
            world.server("k-3", "kits").await,
        ];
        let mut hosts = fleet(&world).await;
        let pin = |server: &str| json!({"type": "pin", "service": "kits", "first": 100, "last": 60_000, "server": server});
        let is_pinned_to = async |server: &str| {
            let item = world.store.item("chicoryrail/keys/kits").await.unwrap();
            let record: KeyRecord = serde_json::from_slice(&item.unwrap().value).unwrap();
            let owns = |key: u16| record.owner(key).is_some_and(|o| o.name.as_str() == server);
            (100..=60_000).all(owns)
        };
        wait_until("all keys are served", async || {
            hosts[0].serves_all_keys().await
        })
        .await;
        world.put(&rule_key("p"), &pin("k-2")).await;
        wait_until("the keys are pinned", async || is_pinned_to("k-2").await).await;
        let leads = |h: &RouterProcess| h.log().contains("log=leader_won");
        let leader = hosts.iter().position(leads).unwrap();
        hosts.remove(leader).signal(Signal::SIGKILL);
        wait_until("another host leads", async || hosts.iter().any(leads)).await;
        wait_until("all keys are served", async || {
            hosts[0].serves_all_keys().await
        })
        .await;
        assert!(is_pinned_to("k-2").await);
        world.put(&rule_key("p"), &pin("k-3")).await;
        wait_until("the pin is moved", async || is_pinned_to("k-3").await).await;
        wait_until("all keys are served", async || {
            hosts[0].serves_all_keys().await
        })
        .await;
        // A server without keys is given some of those that are not pinned, in one further change.
        monoio::time::sleep(Millis(2_000).to_duration()).await;
        let planned = hosts
            .iter()
            .map(|h| h.log().matches("log=keys_planned").count());
        let before: usize = planned.sum();
        monoio::time::sleep(Millis(3_000).to_duration()).await;
        let planned = hosts
            .iter()
            .map(|h| h.log().matches("log=keys_planned").count());
        assert_eq!(
            planned.sum::<usize>(),
            before,
            "the record changes without need"
        );
        assert!(is_pinned_to("k-3").await);
    });
}

async fn serves(router: &RouterProcess, keys: &[u16]) -> bool {
    let caller = router.caller();
    for key in keys {
        if !caller.key(*key).await.is_ok_and(|r| r.status() == 200) {
            return false;
        }
    }
    true
}

/// Key of the entry that exists while the service `kits` is watched.
const WATCH: &str = "chicoryrail/live/traffic/watch/kits";

/// Guards against traffic that some host does not report, against reports, writes and watches of the store while nobody
/// watches, which would cost every deployment something at rest, and against a further watch that shows the former one.
#[test]
fn traffic_is_reported_by_every_host_only_while_it_is_watched() {
    block_on(async {
        let world = World::start("traffic-show").await;
        world.configure().await;
        let _servers = [
            world.server("k-1", "kits").await,
            world.server("k-2", "kits").await,
        ];
        let hosts = fleet(&world).await;
        let state = async || {
            let item = world.store.item("chicoryrail/traffic/state/kits").await;
            let item = item.unwrap()?;
            Some((
                item.revision,
                serde_json::from_slice::<Value>(&item.value).unwrap(),
            ))
        };
        wait_until("all keys are served", async || {
            hosts[3].serves_all_keys().await
        })
        .await;
        assert!(state().await.is_none());
        let rule =
            json!({"type": "limit", "service": "kits", "limited": {"kind": "key"}, "share": 0.5});
        world.put(&rule_key("r"), &rule).await;
        for host in &hosts {
            await_rule(host, "r", "in_force").await;
        }
        world.put(WATCH, &json!({})).await;
        wait_until("all hosts are included with their requests", async || {
            for host in &hosts {
                let caller = host.caller();
                for _ in 0..4 {
                    let status = caller.key(7).await.unwrap().status();
                    assert!(status == 200 || status == 429, "{status}");
                }
            }
            let Some((_, state)) = state().await else {
                return false;
            };
            let rate = |pointer: &str| {
                state
                    .pointer(pointer)
                    .and_then(Value::as_f64)
                    .unwrap_or(0.0)
            };
            state["hosts"] == 4
                && rate("/demand") > 0.0
                && rate("/causes/limited") > 0.0
                && rate("/kinds/read") > 0.0
                && state["slots"] == 4
                && state.pointer("/keys/0/key") == Some(&json!(7))
                && state["servers"].as_array().unwrap().len() == 2
        })
        .await;
        world.remove(WATCH).await;
        monoio::time::sleep(Millis(2_500).to_duration()).await;
        let (revision, _) = state().await.unwrap();
        monoio::time::sleep(Millis(2_500).to_duration()).await;
        assert_eq!(state().await.unwrap().0, revision);
        for _ in 0..2 {
            world.put(WATCH, &json!({})).await;
            let former = state().await.unwrap().0;
            wait_until("a new collection has begun", async || {
                let (revision, state) = state().await.unwrap();
                revision > former && state["watched_ms"].as_u64().unwrap() < 1_500
            })
            .await;
            // A collection that goes on has more than the limit above by then. A host may report up to a second before
            // the leader writes.
            monoio::time::sleep(Millis(2_500).to_duration()).await;
        }
    });
}

/// Guards against an operator who sees nothing after the leader is lost: the next one must collect and write.
#[test]
fn the_next_leader_writes_the_traffic() {
    block_on(async {
        let world = World::start("traffic-next").await;
        world.configure().await;
        let _server = world.server("k-1", "kits").await;
        let mut hosts = fleet(&world).await;
        world.put(WATCH, &json!({})).await;
        let state = async || {
            world
                .store
                .item("chicoryrail/traffic/state/kits")
                .await
                .unwrap()
        };
        wait_until("a state is written", async || state().await.is_some()).await;
        let leads = |h: &RouterProcess| h.log().contains("log=leader_won");
        let leader = hosts.iter().position(leads).unwrap();
        hosts.remove(leader).signal(Signal::SIGKILL);
        wait_until("another host leads", async || hosts.iter().any(leads)).await;
        let former = state().await.unwrap().revision;
        wait_until("the others are included", async || {
            let item = state().await.unwrap();
            let state: Value = serde_json::from_slice(&item.value).unwrap();
            item.revision > former && state["hosts"] == 3
        })
        .await;
    });
}
