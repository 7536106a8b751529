//! What is said of the hosts: accepted, pending, owners, load, and reads during a store outage.

mod bench;

use bench::Bench;
use bench::MemoryStore;
use bench::bundle;
use bench::hosts::Hosts;
use bench::hosts::seen;
use bench::hosts::table;
use chicoryrail_core::Bundle;
use chicoryrail_core::Config;
use chicoryrail_core::Epoch;
use chicoryrail_core::Fence;
use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::ShardId;
use chicoryrail_core::Slice;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use chicoryrail_wire::Role;
use chicoryrail_wire::RouteEntry;
use chicoryrail_wire::RouteTable;
use chicoryrail_wire::ServerRoute;
use chicoryrail_wire::ServerState;
use chicoryrail_wire::SliceState;
use rstest::rstest;
use serde_json::json;

const IDLE: &str = "";

/// Each question shows 10,000 more requests of 10 ms.
const BUSY: &str = "chicoryrail_gate_requests_total{class=\"interactive\",code=\"0\",service=\"kits\"} {n}0000\n\
    chicoryrail_gate_interactive_seconds_sum {n}00\n\
    chicoryrail_gate_interactive_seconds_count {n}0000\n";

fn bench(hosts: &Hosts) -> Bench {
    Bench::among(MemoryStore::default(), Vec::new(), hosts.list)
}

#[test]
fn a_roll_is_accepted_when_every_process_has_it_in_force() {
    block_on(async {
        let hosts = Hosts::start(&["entry-1", "entry-2"], IDLE);
        let bench = bench(&hosts);
        bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        let before = bench.get("/v1/pending").await;
        let names: Vec<_> = before.body["missing"]
            .as_array()
            .unwrap()
            .iter()
            .map(|m| format!("{}/{}", m["host"], m["program"]).replace('"', ""))
            .collect();
        let all = [
            "entry-1/gate",
            "entry-1/controller",
            "entry-2/gate",
            "entry-2/controller",
        ];
        assert_eq!(
            (names, before.body["accepted"].clone()),
            (all.map(String::from).to_vec(), false.into())
        );
        hosts.set_version(1);
        let after = bench.get("/v1/pending").await;
        assert_eq!(
            after.body,
            json!({ "version": 1, "accepted": true, "missing": [] })
        );
        let change = bench.post("alice", "/v1/servers/kits-0/in", "").await;
        assert_eq!(change.result(), (200, 0));
    });
}

/// A gate has lost its way to the others but goes on serving callers with the older version for as
/// long as its routes are valid. A second of silence proves nothing; after more than a holder's
/// validity and then its routes' or sessions', with the margins of both, it can't act any more.
#[rstest]
#[case::just_silent(1_000, false)]
#[case::at_the_bound(1_346, false)]
#[case::safely_silent(1_347, true)]
fn a_silent_process_counts_until_it_can_hold_nothing(#[case] silent: u64, #[case] accepted: bool) {
    block_on(async {
        let hosts = Hosts::start(&["entry-1"], IDLE);
        let bench = bench(&hosts);
        bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        hosts.set_version(1);
        let peers = vec![
            seen("entry-9", Role::Gate, 0, silent),
            seen("entry-9", Role::Controller, 0, silent),
        ];
        hosts.hosts[0].said.borrow_mut().peers = peers;
        let pending = bench.get("/v1/pending").await;
        assert_eq!(pending.body["accepted"], accepted, "{pending:?}");
    });
}

/// A listed host that no controller has ever heard is missing: how long it has been silent is only
/// known from when this process first asked.
#[test]
fn a_host_that_nobody_heard_is_missing() {
    block_on(async {
        let hosts = Hosts::start(&["entry-1", "entry-2"], IDLE);
        let bench = bench(&hosts);
        bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        hosts.set_version(1);
        hosts.hosts[1].said.borrow_mut().mute = true;
        let pending = bench.get("/v1/pending").await;
        let first = &pending.body["missing"][0];
        assert_eq!(
            (&first["host"], &first["version"]),
            (&json!("entry-2"), &json!(null))
        );
    });
}

/// The list has dropped a host that is still there: the controllers' heartbeats keep it counted.
#[test]
fn a_host_that_the_list_forgot_still_counts() {
    block_on(async {
        let hosts = Hosts::start(&["entry-1", "entry-2"], IDLE);
        let bench = bench(&hosts);
        bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        hosts.set_version(1);
        hosts.unlist("entry-2");
        hosts.hosts[0].said.borrow_mut().peers = vec![seen("entry-2", Role::Controller, 0, 100)];
        let pending = bench.get("/v1/pending").await;
        assert_eq!(pending.body["accepted"], false, "{pending:?}");
    });
}

/// Hosts of which the last one never answers, after a roll that all others have in force.
async fn three_hosts() -> (Hosts, Bench) {
    let hosts = Hosts::start(&["entry-1", "entry-2", "entry-3"], IDLE);
    let bench = bench(&hosts);
    bench
        .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
        .await;
    hosts.set_version(1);
    hosts.hosts[2].said.borrow_mut().mute = true;
    (hosts, bench)
}

/// Asks until the version is accepted or `ms` have passed, and returns whether it was.
async fn accepted_within(bench: &Bench, ms: u64) -> bool {
    let clock = Clock::start();
    while clock.now() < Millis(ms) {
        if bench.get("/v1/pending").await.body["accepted"] == true {
            return true;
        }
        clock.sleep(Millis(100)).await;
    }
    false
}

/// A host is silent from the start. Up to the moment that a majority has the version, the others may
/// have confirmed it; after that silence it can hold nothing. Once accepted, the version stays so:
/// a host that restarts finds it at any majority.
#[test]
fn a_silent_host_is_waited_for_and_accepted_never_reverts() {
    block_on(async {
        let (hosts, bench) = three_hosts().await;
        let first = bench.get("/v1/pending").await;
        assert_eq!(first.body["accepted"], false, "{first:?}");
        assert!(accepted_within(&bench, 20_000).await);
        hosts.hosts[0].said.borrow_mut().version = 0;
        hosts.hosts[0].said.borrow_mut().restarts = 1;
        let after = bench.get("/v1/pending").await;
        let all = json!({ "version": 1, "accepted": true, "missing": [] });
        assert_eq!(after.body, all);
    });
}

/// One host of three has the version; the others have been silent for seconds, cut off together. One
/// of them restarts and takes the older version from the other, late one, and both work on with it.
/// Silence without a majority that has the version proves nothing, however long it is.
#[test]
fn one_host_and_long_silence_accept_nothing() {
    block_on(async {
        let (hosts, bench) = three_hosts().await;
        hosts.hosts[1].said.borrow_mut().mute = true;
        let cut = ["entry-2", "entry-3"].map(|host| {
            [Role::Gate, Role::Controller].map(|program| seen(host, program, 0, 60_000))
        });
        hosts.hosts[0].said.borrow_mut().peers = cut.concat();
        assert!(!accepted_within(&bench, 4_000).await);
    });
}

/// Two hosts of three report the version, once. One of them restarts, loses it with its memory, and
/// falls silent. The other is no majority, and the restarted host may take the older version from the
/// third: a single report of each is no proof that a majority had it at one time.
#[test]
fn a_report_that_a_restart_outdates_accepts_nothing() {
    block_on(async {
        let (hosts, bench) = three_hosts().await;
        let first = bench.get("/v1/pending").await;
        assert_eq!(first.body["accepted"], false, "{first:?}");
        hosts.hosts[1].said.borrow_mut().mute = true;
        assert!(!accepted_within(&bench, 4_000).await);
    });
}

/// A host restarts between its two reports and has fetched the version again. The reports are of two
/// runs, so a majority may never have had it at one time, and the silence of the third host counts
/// from the new majority on.
#[test]
fn a_restarted_host_starts_the_count_again() {
    block_on(async {
        let (hosts, bench) = three_hosts().await;
        let _ = bench.get("/v1/pending").await;
        Clock::start().sleep(Millis(3_100)).await;
        hosts.hosts[1].said.borrow_mut().restarts = 1;
        let restarted = bench.get("/v1/pending").await;
        assert_eq!(restarted.body["accepted"], false, "{restarted:?}");
        assert!(accepted_within(&bench, 20_000).await);
    });
}

/// A controller has the version and nobody has heard its host's gate: cut off, it may still act on
/// the routes that it has, for as long as they are valid after the roll.
#[test]
fn a_gate_that_nobody_heard_is_missing() {
    block_on(async {
        let hosts = Hosts::start(&["entry-1"], IDLE);
        let bench = bench(&hosts);
        bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        hosts.set_version(1);
        hosts.hosts[0].said.borrow_mut().no_gate = true;
        let first = bench.get("/v1/pending").await;
        let gate =
            json!([{ "host": "entry-1", "program": "gate", "version": null, "silent_ms": 0 }]);
        assert_eq!(first.body["missing"], gate);
        assert!(accepted_within(&bench, 20_000).await);
    });
}

fn owning(epoch: u64, server: &str, state: SliceState) -> RouteTable {
    let fence = Fence {
        epoch: Epoch(epoch),
        version: 5,
    };
    let shard = ShardId::Service {
        service: "kits".into(),
        part: 0,
    };
    RouteTable {
        servers: vec![ServerRoute {
            name: server.into(),
            dc: "b".into(),
            addr: "127.0.0.1:9001".parse().unwrap(),
            state: ServerState::Up,
            gate: Some("entry-1".into()),
            slots: 2,
        }],
        entries: vec![RouteEntry {
            slice: Slice::FULL,
            owner: 0,
            state,
        }],
        ..table(shard, fence)
    }
}

/// A controller that was paused still shows its older table. The one with the higher fence counts.
#[test]
fn the_owner_is_read_from_the_newest_table() {
    block_on(async {
        let hosts = Hosts::start(&["entry-1", "entry-2"], IDLE);
        let bench = bench(&hosts);
        bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        hosts.hosts[0].said.borrow_mut().tables = vec![owning(3, "kits-0", SliceState::Settled)];
        hosts.hosts[1].said.borrow_mut().tables = vec![owning(4, "kits-1", SliceState::Moving)];
        let owner = bench.get("/v1/owner?service=kits&key=k%2F1").await;
        let expected = json!({
            "shard": "svc.kits.0", "holder": "entry-2", "fence": "4.5",
            "position": KeyHash::of("k/1").to_string(),
            "slice": "0000000000000000-ffffffffffffffff", "moving": true, "server": "kits-1",
            "data_centre": "b", "state": "up", "gate": "entry-1",
        });
        assert_eq!((owner.result(), owner.body), ((200, 0), expected));
    });
}

/// The store is down. Status, pending and owner are answered from what controllers know; a roll and
/// the list of bundles, which only the store holds, are refused with 3000.
#[test]
fn reads_are_answered_from_controllers_during_a_store_outage() {
    block_on(async {
        let hosts = Hosts::start(&["entry-1", "entry-2"], IDLE);
        let bench = bench(&hosts);
        let text = bundle("updraft", "kits", 3, 9000);
        let digest = bench.rolled("alice", "bob", &text).await;
        let parsed = Bundle::parse(&text).unwrap();
        let config = Config {
            head: bench.store.head(),
            bundles: [(parsed.team.clone(), parsed)].into(),
        };
        hosts.set_version(1);
        hosts.hosts[1].said.borrow_mut().config = Some(config);
        hosts.hosts[1].said.borrow_mut().tables = vec![owning(1, "kits-0", SliceState::Settled)];
        bench.store.down(true);
        let status = bench.get("/v1/status").await;
        let fields = (
            &status.body["version"],
            &status.body["source"],
            &status.body["bundles"]["updraft"],
        );
        assert_eq!(fields, (&json!(1), &json!("controllers"), &json!(digest)));
        assert_eq!(bench.get("/v1/pending").await.body["accepted"], true);
        assert_eq!(bench.get("/v1/owner?service=kits&key=1").await.status, 200);
        assert_eq!(bench.get("/v1/bundles").await.code, 3000);
        assert_eq!(bench.roll("alice", &digest).await.code, 3000);
    });
}

/// Two hosts each answer 10,000 requests of 10 ms between the two readings, which lie half a second
/// apart: about 400 slots in use. Taking one of three data centres leaves 4 of 6 slots.
#[test]
fn a_take_out_under_load_is_refused_with_the_figures() {
    block_on(async {
        let hosts = Hosts::start(&["entry-1", "entry-2"], BUSY);
        let bench = bench(&hosts);
        bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        let out = bench.post("alice", "/v1/data-centres/a/out", "").await;
        assert_eq!(out.result(), (409, 2008));
        assert!(
            out.error().starts_with("data centre a: service kits: "),
            "{out:?}"
        );
        assert!(
            out.error()
                .ends_with("slots are in use and 4.0 of 6.0 would be left"),
            "{out:?}"
        );
        let forced = bench
            .post("alice", "/v1/data-centres/a/out", r#"{"force":true}"#)
            .await;
        assert_eq!(
            (
                forced.code,
                forced.body["warnings"].as_array().unwrap().len()
            ),
            (2007, 1)
        );
    });
}

/// Nothing is in use. More than half may go, with a note; the last server may not.
#[test]
fn a_take_out_without_load_is_noted() {
    block_on(async {
        let hosts = Hosts::start(&["entry-1"], IDLE);
        let bench = bench(&hosts);
        bench
            .rolled("alice", "bob", &bundle("updraft", "kits", 3, 9000))
            .await;
        let mut results = Vec::new();
        for dc in ["a", "b", "c"] {
            let out = bench
                .post("alice", &format!("/v1/data-centres/{dc}/out"), "")
                .await;
            results.push((
                out.code,
                out.body["warnings"][0].as_str().map(ToOwned::to_owned),
            ));
        }
        let note = "service kits: 2.0 of 6.0 slots are left; 0.0 were in use".to_owned();
        assert_eq!(results, [(2007, None), (2007, Some(note)), (2008, None)]);
        assert_eq!(*hosts.hosts[0].scrapes.borrow(), 6);
    });
}

#[test]
fn the_last_host_is_not_taken_out() {
    block_on(async {
        let hosts = Hosts::start(&["entry-1", "entry-2"], IDLE);
        let bench = bench(&hosts);
        let first = bench.post("alice", "/v1/hosts/entry-1/out", "").await;
        let last = bench.post("alice", "/v1/hosts/entry-2/out", "").await;
        assert_eq!((first.code, last.code), (2007, 2008));
    });
}
