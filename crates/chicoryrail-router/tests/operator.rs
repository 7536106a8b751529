//! Operator actions on a running router process, and their effect on callers.

mod support;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::StoreFault;
use chicoryrail_testkit::TargetFault;
use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use support::Mode;
use support::World;
use support::wait_until;

/// Guards against a reload of the settings file on SIGHUP that interrupts a running request, closes an open connection
/// or ends the process.
#[test]
fn a_reload_of_settings_interrupts_no_request() {
    block_on(async {
        let world = World::start("hup").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        server.set_work(Millis(200));
        let mut router = world.router("a").await;
        let caller = router.caller();
        let running = monoio::spawn(async move { (caller.get("/read/1").await, caller) });
        wait_until("the request runs", async || server.ledger().max_busy > 0).await;
        router.signal(Signal::SIGHUP);
        let (response, caller) = running.await;
        assert_eq!(response.unwrap().status(), 200);
        assert_eq!(caller.get("/read/2").await.unwrap().status(), 200);
        wait_until("the reload is logged", async || {
            router.log().contains("log=reload")
        })
        .await;
        assert_eq!(router.exit_code(), None);
    });
}

/// Guards against a stop on SIGTERM that loses requests. The process reports at once that it is not ready, answers the
/// running request and one that arrives later, and exits by itself before the grace period ends.
#[test]
fn a_stop_interrupts_no_request() {
    block_on(async {
        let world = World::start("term").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        server.set_work(Millis(400));
        let mut router = world.router("a").await;
        let caller = router.caller();
        let running = monoio::spawn(async move { caller.post("/order/1").await });
        wait_until("the request runs", async || server.ledger().max_busy > 0).await;
        router.signal(Signal::SIGTERM);
        monoio::time::sleep(Millis(50).to_duration()).await;
        assert!(!router.is_ready().await);
        let late = router.caller().get("/read/1").await.unwrap();
        assert_eq!(late.status(), 200);
        assert_eq!(late.headers()["connection"], "close");
        assert_eq!(running.await.unwrap().status(), 200);
        wait_until("the process exited", async || router.exit_code().is_some()).await;
        assert_eq!(router.exit_code(), Some(0));
        assert!(router.log().contains("log=stop "));
    });
}

/// Guards against requests to a server that announced that it drains, and to one whose entry was deleted, while a third
/// server is ready.
#[test]
fn a_draining_or_deleted_server_receives_no_requests() {
    block_on(async {
        let world = World::start("leave").await;
        world.configure().await;
        let draining = world.server("i-1", "desk").await;
        let deleted = world.server("i-2", "desk").await;
        let staying = world.server("i-3", "desk").await;
        let router = world.router("a").await;
        draining.fault(TargetFault::Leave);
        world.remove("servers/i-2").await;
        monoio::time::sleep(Millis(500).to_duration()).await;
        for _ in 0..20 {
            assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 200);
        }
        let runs = [&draining, &deleted, &staying].map(|s| s.executed());
        assert_eq!(runs, [0, 0, 20]);
    });
}

/// Guards against a watch that waits on a dead connection while a server drains. All connections to the store go silent
/// without a reset, and new ones work 1.5 s later. The next successful call must restart the watch.
#[test]
fn a_watch_on_a_dead_connection_restarts_when_the_store_recovers() {
    block_on(async {
        let world = World::start("silent").await;
        world.configure().await;
        let draining = world.server("i-1", "desk").await;
        let staying = world.server("i-2", "desk").await;
        let router = world.router("a").await;
        world.fault(&StoreFault::Silent { for_ms: 1_500 }).await;
        monoio::time::sleep(Millis(4_500).to_duration()).await;
        draining.fault(TargetFault::Leave);
        monoio::time::sleep(Millis(1_000).to_duration()).await;
        for _ in 0..10 {
            assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 200);
        }
        let runs = [&draining, &staying].map(|s| s.executed());
        assert_eq!(runs, [0, 10]);
    });
}

/// Guards against a configuration change that is missed while the store drops its history. Its watches report nothing
/// for a moment, the operator writes a configuration, and then the watches are cut. A watch resumed from the old
/// revision would wait until the next change. A new snapshot must put the configuration in force within two seconds.
#[test]
fn a_change_before_the_store_drops_its_history_is_in_force_in_time() {
    block_on(async {
        let world = World::start("forgets").await;
        world.configure().await;
        let _server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        monoio::time::sleep(Millis(1_500).to_duration()).await;
        world.stall_watches(Millis(500)).await;
        world.configure().await;
        monoio::time::sleep(Millis(2_000).to_duration()).await;
        assert!(
            router.log().contains("version=6"),
            "the new configuration is not in force"
        );
    });
}

/// Guards against invalid entries that affect other traffic: a server's entry and a configuration that can't be parsed,
/// and a configuration older than the one in force. Each is logged in one line for each write, also for an unchanged
/// one, and requests are served as before.
#[test]
fn invalid_entries_affect_no_other_traffic() {
    block_on(async {
        let world = World::start("entries").await;
        world.configure().await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        for _ in 0..2 {
            world
                .put("servers/i-2", &json!({"service": "desk", "address": 7}))
                .await;
        }
        world.put("op/config", &json!({"version": "newest"})).await;
        world
            .put(
                "op/config",
                &json!({"version": "r3", "services": [], "virtual_hosts": [],
            "limits": {"max_header_bytes": 1, "max_body_bytes": 1, "header_timeout_ms": 1,
                       "idle_timeout_ms": 1}}),
            )
            .await;
        wait_until("all entries are logged", async || {
            let log = router.log();
            log.matches("log=bad_entry").count() >= 3 && log.contains("log=config_not_newer")
        })
        .await;
        for _ in 0..5 {
            assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 200);
        }
        assert_eq!(server.executed(), 5);
        let log = router.log();
        assert_eq!(log.matches("entry=servers/i-2 field=address").count(), 2);
        assert!(log.contains("entry=op/config"));
        assert!(!log.contains("from=6 version=3"));
    });
}

/// Guards against a configuration that is rejected because newer tools wrote an unknown kind of route. The version must
/// be in force, with its other routes and a new one. A request on the unknown route whose response is lost is not
/// retried, since it may not be idempotent. The unknown value is logged once for each version, also when it is
/// rewritten.
#[test]
fn an_unknown_kind_of_route_affects_only_that_route() {
    block_on(async {
        let world = World::start("unknown-kind").await;
        world.configure().await;
        let servers = [
            world.server("i-1", "desk").await,
            world.server("i-2", "desk").await,
        ];
        let router = world.router("a").await;
        let mut config = world.next_config();
        let paths = config.pointer_mut("/virtual_hosts/0/paths").unwrap();
        let paths = paths.as_array_mut().unwrap();
        let mut added = paths[0].clone();
        added["name"] = json!("added");
        added["prefix"] = json!("/added/");
        paths[0]["type"] = json!("stream");
        paths.push(added);
        for _ in 0..2 {
            world.put("op/config", &config).await;
        }
        wait_until("the version is in force", async || {
            router.caller().get("/added/1").await.unwrap().status() == 200
        })
        .await;
        assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 200);
        let before: usize = servers.iter().map(|s| s.executed()).sum();
        servers.iter().for_each(|s| s.set_mode(Mode::LoseResponse));
        assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 502);
        let after: usize = servers.iter().map(|s| s.executed()).sum();
        assert_eq!(after - before, 1);
        wait_until("the last request is logged", async || {
            router.log().contains("status=502")
        })
        .await;
        let log = router.log();
        assert_eq!(log.matches("log=config_unknown_word").count(), 1, "{log}");
    });
}

/// Guards against requests to servers of a data centre that the operator took out of service, until it is back in
/// service.
#[test]
fn a_data_centre_out_of_service_receives_no_requests() {
    block_on(async {
        let world = World::start("dc").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        world.put("op/evacuate/west", &json!({})).await;
        monoio::time::sleep(Millis(400).to_duration()).await;
        let refused = router.caller().get("/read/1").await.unwrap();
        assert_eq!(refused.status(), 503);
        assert!(server.executed() == 0);
        world.remove("op/evacuate/west").await;
        monoio::time::sleep(Millis(400).to_duration()).await;
        assert_eq!(router.caller().get("/read/2").await.unwrap().status(), 200);
    });
}

/// Guards against a read that is lost because it is abandoned at a slow server while the process stops. At other times
/// such a read is retried at another server; during a stop the router waits for the first server's response.
#[test]
fn a_stopping_router_waits_for_a_slow_server() {
    block_on(async {
        let world = World::start("slow").await;
        world.configure().await;
        let servers = [
            world.server("i-1", "desk").await,
            world.server("i-2", "desk").await,
        ];
        let router = world.router("a").await;
        servers.iter().for_each(|s| s.set_work(Millis(1_200)));
        router.signal(Signal::SIGTERM);
        monoio::time::sleep(Millis(50).to_duration()).await;
        let response = router.caller().get("/read/1").await.unwrap();
        assert_eq!(response.status(), 200);
        let runs: usize = servers.iter().map(|s| s.executed()).sum();
        assert_eq!(runs, 1);
    });
}

/// Guards against key records that end the hosts' watches. A record is written often while busy keys move, and every
/// watch that returns costs a call to the store. The leader sends changed records to the hosts instead.
#[test]
fn a_write_of_a_key_record_ends_no_watch() {
    block_on(async {
        let world = World::start("wakes").await;
        world.configure().await;
        let _server = world.server("i-1", "desk").await;
        let _router = world.router("a").await;
        monoio::time::sleep(Millis(500).to_duration()).await;
        let before = world.watch_requests().await;
        for fence in 1..=10 {
            world.put("chicoryrail/keys/other", &record(fence)).await;
            monoio::time::sleep(Millis(200).to_duration()).await;
        }
        let watches = world.watch_requests().await - before;
        assert!(watches <= 2, "{watches} watches");
    });
}

/// Guards against requests to former owners of keys at a host that receives no heartbeats from a leader, because there
/// is none or they are lost. The host must read changed key records from the store.
#[test]
fn a_host_without_leader_heartbeats_reads_the_key_records() {
    block_on(async {
        let world = World::start("unheard").await;
        world.configure().await;
        let _server = world.server("i-1", "desk").await;
        world.put("chicoryrail/live/leader", &json!("ghost")).await;
        world.put("chicoryrail/keys/kits", &record(5)).await;
        let router = world.router("a").await;
        for fence in [5, 7] {
            world.put("chicoryrail/keys/kits", &record(fence)).await;
            wait_until("the key record is read", async || {
                router.log().contains(&format!("fence={fence} "))
            })
            .await;
        }
    });
}

fn record(fence: u64) -> Value {
    json!({"fence": fence, "attempt": 1, "loose": [], "spans": [
        {"span": {"first": 0, "last": 65_535}, "owner": {"name": "k-1", "born": 7}}]})
}
