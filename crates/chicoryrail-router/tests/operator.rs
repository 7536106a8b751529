//! What an operator does to a real process, and what its callers see of it.

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

/// The operator changes the settings file and tells the process. Callers see nothing: the process reads
/// the file again and goes on serving, also on the connections that were open.
#[test]
fn a_changed_settings_file_cuts_nobody() {
    block_on(async {
        let world = World::start("hup").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        server.takes(Millis(200));
        let mut router = world.router("a").await;
        let caller = router.caller();
        let running = monoio::spawn(async move { (caller.get("/read/1").await, caller) });
        wait_until("it runs", async || server.ledger().max_busy > 0).await;
        router.signal(Signal::SIGHUP);
        let (answer, caller) = running.await;
        assert_eq!(answer.unwrap().status(), 200);
        assert_eq!(caller.get("/read/2").await.unwrap().status(), 200);
        wait_until("it is logged", async || router.log().contains("log=reload")).await;
        assert_eq!(router.ended(), None);
    });
}

/// The operator stops the process while a request runs. The balancer is told at once; the request and one
/// that still comes on the open connection are answered; then the process ends by itself, before the
/// grace time is over.
#[test]
fn a_stop_cuts_no_request() {
    block_on(async {
        let world = World::start("term").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        server.takes(Millis(400));
        let mut router = world.router("a").await;
        let caller = router.caller();
        let running = monoio::spawn(async move { caller.post("/order/1").await });
        wait_until("it runs", async || server.ledger().max_busy > 0).await;
        router.signal(Signal::SIGTERM);
        monoio::time::sleep(Millis(50).duration()).await;
        assert!(!router.is_ready().await);
        let late = router.caller().get("/read/1").await.unwrap();
        assert_eq!(late.status(), 200);
        assert_eq!(late.headers()["connection"], "close");
        assert_eq!(running.await.unwrap().status(), 200);
        wait_until("it ended", async || router.ended().is_some()).await;
        assert_eq!(router.ended(), Some(0));
        assert!(router.log().contains("log=stop "));
    });
}

/// A server announces its leave, and later another one's entry is deleted. Nothing more goes to either
/// while there is a third.
#[test]
fn a_leaving_server_gets_nothing_more() {
    block_on(async {
        let world = World::start("leave").await;
        world.configure().await;
        let draining = world.server("i-1", "desk").await;
        let deleted = world.server("i-2", "desk").await;
        let stays = world.server("i-3", "desk").await;
        let router = world.router("a").await;
        draining.fault(TargetFault::Leave);
        world.remove("servers/i-2").await;
        monoio::time::sleep(Millis(500).duration()).await;
        for _ in 0..20 {
            assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 200);
        }
        let runs = [&draining, &deleted, &stays].map(|s| s.runs());
        assert_eq!(runs, [0, 0, 20]);
    });
}

/// All connections to the store go silent without a reset, and new ones work a second later. The host's
/// watch would wait on its dead connection for as long as a watch may last; meanwhile a server leaves.
/// The next call that is answered shows that the store is back, and the watch begins anew.
#[test]
fn a_silent_watch_is_given_up_when_the_store_is_back() {
    block_on(async {
        let world = World::start("silent").await;
        world.configure().await;
        let leaving = world.server("i-1", "desk").await;
        let stays = world.server("i-2", "desk").await;
        let router = world.router("a").await;
        world.fault(&StoreFault::Silent { for_ms: 1_500 }).await;
        monoio::time::sleep(Millis(4_500).duration()).await;
        leaving.fault(TargetFault::Leave);
        monoio::time::sleep(Millis(1_000).duration()).await;
        for _ in 0..10 {
            assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 200);
        }
        let runs = [&leaving, &stays].map(|s| s.runs());
        assert_eq!(runs, [0, 10]);
    });
}

/// The store is about to forget its history: for a moment its watches hear nothing, an operator puts a configuration,
/// and then the watches are cut. One that is sent again at once from the revision of before would hang until the next
/// change, and callers would be served by the old configuration. Everything is read again instead, within the two
/// seconds in which a configuration must be in force.
#[test]
fn a_change_before_the_history_is_forgotten_is_in_force_in_time() {
    block_on(async {
        let world = World::start("forgets").await;
        world.configure().await;
        let _server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        monoio::time::sleep(Millis(1_500).duration()).await;
        world.deafen(Millis(500)).await;
        world.configure().await;
        monoio::time::sleep(Millis(2_000).duration()).await;
        assert!(router.log().contains("version=6"), "not in force");
    });
}

/// Another writer leaves an entry of a server that can't be read, and a configuration that can't, and then one
/// that is older than the one in force. Each is told in one line; callers of everything else are served as
/// before, also after the entries were written again unchanged.
#[test]
fn entries_that_can_not_be_read_harm_nobody() {
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
        wait_until("all are told", async || {
            let log = router.log();
            log.matches("log=bad_entry").count() >= 3 && log.contains("log=config_not_newer")
        })
        .await;
        for _ in 0..5 {
            assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 200);
        }
        assert_eq!(server.runs(), 5);
        let log = router.log();
        assert_eq!(log.matches("entry=servers/i-2 field=address").count(), 2);
        assert!(log.contains("entry=op/config"));
        assert!(!log.contains("from=6 version=3"));
    });
}

/// The operator's newer tools write a kind of route that this program does not know. The version comes into
/// force all the same: callers of its other routes and of a route that is new in it are served, and a request
/// of the unknown kind whose answer is lost is not sent again, since it may be one that runs once. The word
/// is told once for the version, also when the same version is written again.
#[test]
fn an_unknown_kind_of_route_harms_that_route_alone() {
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
        let before: usize = servers.iter().map(|s| s.runs()).sum();
        servers.iter().for_each(|s| s.does(Mode::LoseAnswer));
        assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 502);
        let after: usize = servers.iter().map(|s| s.runs()).sum();
        assert_eq!(after - before, 1);
        wait_until("the last request is logged", async || {
            router.log().contains("status=502")
        })
        .await;
        let log = router.log();
        assert_eq!(log.matches("log=config_unknown_word").count(), 1, "{log}");
    });
}

/// A data centre is taken out and back. Its servers get nothing in between.
#[test]
fn a_data_centre_that_is_out_gets_nothing() {
    block_on(async {
        let world = World::start("dc").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        world.put("op/evacuate/west", &json!({})).await;
        monoio::time::sleep(Millis(400).duration()).await;
        let refused = router.caller().get("/read/1").await.unwrap();
        assert_eq!(refused.status(), 503);
        assert!(server.runs() == 0);
        world.remove("op/evacuate/west").await;
        monoio::time::sleep(Millis(400).duration()).await;
        assert_eq!(router.caller().get("/read/2").await.unwrap().status(), 200);
    });
}

/// The operator stops the process, and a read reaches a server that is slower than usual by far. At other
/// times the read would be tried at another server; now an answer of the first one is waited for, since
/// breaking it off would be a request lost to the stop.
#[test]
fn a_slow_server_is_waited_for_while_stopping() {
    block_on(async {
        let world = World::start("slow").await;
        world.configure().await;
        let servers = [
            world.server("i-1", "desk").await,
            world.server("i-2", "desk").await,
        ];
        let router = world.router("a").await;
        servers.iter().for_each(|s| s.takes(Millis(1_200)));
        router.signal(Signal::SIGTERM);
        monoio::time::sleep(Millis(50).duration()).await;
        let answer = router.caller().get("/read/1").await.unwrap();
        assert_eq!(answer.status(), 200);
        let ran: usize = servers.iter().map(|s| s.runs()).sum();
        assert_eq!(ran, 1);
    });
}

/// The record of who holds which keys is written again and again, as it is where busy keys change. The leader
/// tells the hosts of it, so none of them is woken by the store, where each call of each host is paid for.
#[test]
fn a_write_of_a_record_wakes_no_host() {
    block_on(async {
        let world = World::start("wakes").await;
        world.configure().await;
        let _server = world.server("i-1", "desk").await;
        let _router = world.router("a").await;
        monoio::time::sleep(Millis(500).duration()).await;
        let before = world.watches().await;
        for fence in 1..=10 {
            world.put("chicoryrail/keys/other", &record(fence)).await;
            monoio::time::sleep(Millis(200).duration()).await;
        }
        let woken = world.watches().await - before;
        assert!(woken <= 2, "{woken} watches");
    });
}

/// A host hears no leader, be it that there is none or that its words do not arrive. Another one changed who
/// holds which keys; the host reads it from the store, and does not send to former holders for long.
#[test]
fn a_host_that_hears_no_leader_reads_the_records() {
    block_on(async {
        let world = World::start("unheard").await;
        world.configure().await;
        let _server = world.server("i-1", "desk").await;
        world.put("chicoryrail/live/leader", &json!("ghost")).await;
        world.put("chicoryrail/keys/kits", &record(5)).await;
        let router = world.router("a").await;
        for fence in [5, 7] {
            world.put("chicoryrail/keys/kits", &record(fence)).await;
            wait_until("the record is read", async || {
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
