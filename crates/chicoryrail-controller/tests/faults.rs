//! Controllers as real processes, with the platform and servers as stand-ins that break.

mod support;

use chicoryrail_core::Millis;
use chicoryrail_ownership::ShardRecord;
use chicoryrail_runtime::Clock;
use nix::sys::signal::Signal;
use rstest::rstest;
use support::Cluster;
use support::Watch;
use support::wait_until;

/// Starts a cluster, waits until every key is served and its shard has a working deputy.
async fn settled(hosts: usize, servers: usize) -> (Cluster, std::rc::Rc<Watch>, usize) {
    let cluster = Cluster::start(hosts, servers);
    let watch = Watch::start(&cluster);
    wait_until("every key is served", async || watch.served() == 64).await;
    Clock::start().sleep(Millis(2_500)).await;
    let holder = cluster.holder().await.unwrap();
    watch.reset();
    (cluster, watch, holder)
}

/// The caller sees nothing. The holder dies, is frozen or is stopped; its deputy renews sessions and
/// routes from 250 ms of silence on, then takes the shard over. A session lasts 700 ms, so no key is
/// without an owner meanwhile.
#[rstest]
#[case::killed(Signal::SIGKILL)]
#[case::frozen(Signal::SIGSTOP)]
#[case::stopped(Signal::SIGTERM)]
fn a_lost_holder_is_not_noticed(#[case] signal: Signal) {
    chicoryrail_runtime::block_on(async move {
        let (cluster, watch, holder) = settled(3, 6).await;
        cluster.signal(holder, signal);
        Clock::start().sleep(Millis(4_000)).await;
        let worst = watch.report(&format!("holder {signal}"));
        let other = async || cluster.holder().await.is_some_and(|h| h != holder);
        wait_until("another holder", other).await;
        if signal == Signal::SIGSTOP {
            cluster.signal(holder, Signal::SIGCONT);
            Clock::start().sleep(Millis(1_500)).await;
        }
        // Without the deputy the keys would be gone from the end of their sessions to the end of the
        // take-over, some 1.3 s; the figure itself is printed, since a busy machine adds to it.
        assert!(worst < Millis(1_000), "{worst}");
        assert_eq!(watch.doubled.get(), 0);
    });
}

/// The caller of the frozen server's keys waits for less than a second. The server stops answering;
/// its session runs out; its slices go to others. When it comes back as if nothing had happened its
/// session is over by its own clock, so it serves no key that it lost.
#[test]
fn a_frozen_server_is_replaced_and_serves_nothing_after() {
    chicoryrail_runtime::block_on(async {
        let (cluster, watch, _) = settled(3, 6).await;
        cluster.targets[0].frozen.set(true);
        Clock::start().sleep(Millis(3_000)).await;
        let worst = watch.report("server frozen");
        let served = watch.served();
        cluster.targets[0].frozen.set(false);
        Clock::start().sleep(Millis(1_000)).await;
        assert_eq!((served, watch.doubled.get()), (64, 0));
        assert!(worst > Millis::ZERO && worst < Millis(2_500), "{worst}");
    });
}

/// The caller waits for the moment of a grant. The server comes back as another run without slices;
/// the answer to the next renewal shows it and the slices are granted again.
#[test]
fn a_restarted_server_is_granted_again() {
    chicoryrail_runtime::block_on(async {
        let (cluster, watch, _) = settled(1, 4).await;
        cluster.targets[0].restart();
        Clock::start().sleep(Millis(1_500)).await;
        watch.report("server restarted");
        assert_eq!((watch.served(), watch.doubled.get()), (64, 0));
    });
}

/// The caller sees nothing. The store answers nothing for 3 s, so nobody may change anything; the
/// witnesses alone keep the holder, and sessions and routes go on.
#[test]
fn a_store_outage_is_not_noticed() {
    chicoryrail_runtime::block_on(async {
        let (cluster, watch, _) = settled(3, 6).await;
        cluster.store.down.set(true);
        Clock::start().sleep(Millis(3_000)).await;
        let worst = watch.report("store down");
        cluster.store.down.set(false);
        assert!(worst < Millis(1_000), "{worst}");
        assert_eq!(watch.doubled.get(), 0);
    });
}

/// The operator and the callers see nothing. The store takes each of the first writes and its answer
/// is lost; the controllers read back, find their own attempt and go on in that epoch.
#[test]
fn lost_answers_of_writes_are_settled() {
    chicoryrail_runtime::block_on(async {
        let cluster = Cluster::start(3, 6);
        cluster.store.lose.set(3);
        let watch = Watch::start(&cluster);
        wait_until("every key is served", async || watch.served() == 64).await;
        let writes = cluster.store.writes.borrow();
        let records = writes.iter().filter(|(k, _)| k == "shard/svc.kits.0");
        let epochs: Vec<u64> = records
            .map(|(_, v)| serde_json::from_str::<ShardRecord>(v).unwrap().epoch.0)
            .collect();
        let expected: Vec<u64> = (1..=epochs.len() as u64).collect();
        assert_eq!((cluster.store.lose.get(), epochs), (0, expected));
    });
}

/// The callers of a slice wait for its handoff. Operators take a data centre out; its servers'
/// slices move a few at a time, and within 3 s none is left there.
#[test]
fn a_data_centre_leaves_within_three_seconds() {
    chicoryrail_runtime::block_on(async {
        let (cluster, watch, _) = settled(3, 6).await;
        cluster.roll(|head| {
            head.outs.data_centres.insert("b".into());
        });
        let left = async || {
            (1..6)
                .step_by(2)
                .all(|i| cluster.targets[i].owned().is_empty())
        };
        let took = wait_until("the data centre is empty", left).await;
        Clock::start().sleep(Millis(500)).await;
        println!("data centre empty after {took}");
        watch.report("data centre out");
        assert_eq!((watch.served(), watch.doubled.get()), (64, 0));
        assert!(took < Millis(3_000), "{took}");
    });
}

/// The platform bills each call. While nothing changes only the watches are made, two for each data
/// centre, however many hosts, servers and keys there are.
#[test]
fn an_idle_system_only_watches() {
    chicoryrail_runtime::block_on(async {
        let (cluster, _watch, _) = settled(5, 6).await;
        let before = cluster.store.calls.get();
        Clock::start().sleep(Millis(4_000)).await;
        let calls = cluster.store.calls.get() - before;
        println!("{calls} store calls in 4 s idle, 5 hosts");
        assert!(calls <= 4, "{calls}");
    });
}

/// Operators roll a version; the controllers that do not watch the store have it too.
#[test]
fn a_roll_reaches_every_controller() {
    chicoryrail_runtime::block_on(async {
        let (cluster, _watch, _) = settled(5, 6).await;
        cluster.roll(|_| {});
        let everywhere = async || {
            for i in 0..5 {
                if cluster.status(i).await.is_none_or(|s| s.own.version < 2) {
                    return false;
                }
            }
            true
        };
        let took = wait_until("version 2 everywhere", everywhere).await;
        println!("in force on 5 hosts after {took}");
    });
}

/// Callers whose requests went through the lost gate go through another one. Its heartbeats end, its
/// routes run out, and only then each of its servers gets its next gate.
#[test]
fn a_lost_gates_servers_are_handed_on() {
    chicoryrail_runtime::block_on(async {
        let (cluster, watch, holder) = settled(3, 6).await;
        let gates = async || {
            let tables = cluster.status(holder).await.map(|s| s.tables);
            let servers = tables.into_iter().flatten().flat_map(|t| t.servers);
            servers.map(|s| s.gate).collect::<Vec<_>>()
        };
        let before = gates().await;
        assert!(before.contains(&Some("h1".into())), "{before:?}");
        cluster.gates[1].cancel();
        let others = async || {
            let now = gates().await;
            now.len() == 6 && now.iter().all(|g| g.is_some() && *g != Some("h1".into()))
        };
        let took = wait_until("no server has the lost gate", others).await;
        println!("lost gate's servers handed on after {took}");
        assert_eq!(watch.doubled.get(), 0);
    });
}

/// The caller sees nothing. Operators take the holder's host out; it makes the next controller its
/// deputy, waits until that has the whole copy, stops acting and says so in the store.
#[test]
fn a_host_taken_out_hands_its_shards_on() {
    chicoryrail_runtime::block_on(async {
        let (cluster, watch, holder) = settled(3, 6).await;
        let name = format!("h{holder}");
        cluster.roll(|head| {
            head.outs.hosts.insert(name.as_str().into());
        });
        let other = async || cluster.holder().await.is_some_and(|h| h != holder);
        let took = wait_until("another holder", other).await;
        Clock::start().sleep(Millis(1_000)).await;
        println!("host out: shard handed on after {took}");
        let worst = watch.report("host out");
        assert!(worst < Millis(1_000), "{worst}");
        assert_eq!((watch.served(), watch.doubled.get()), (64, 0));
    });
}

/// The callers of the lost servers' keys wait until those are taken over; the others notice nothing.
/// A data centre loses its controllers, gates and servers at once; holder and deputy stand in
/// different data centres, and a majority of the witnesses is left.
#[test]
fn a_lost_data_centre_is_replaced() {
    chicoryrail_runtime::block_on(async {
        let (cluster, watch, _) = settled(6, 6).await;
        for i in (1..6).step_by(2) {
            cluster.targets[i].frozen.set(true);
            cluster.gates[i].cancel();
            cluster.signal(i, Signal::SIGKILL);
        }
        let clock = Clock::start();
        wait_until("every key is served", async || watch.served() == 64).await;
        clock.sleep(Millis(3_000)).await;
        let worst = watch.report("data centre lost");
        assert_eq!((watch.served(), watch.doubled.get()), (64, 0));
        assert!(worst < Millis(8_000), "{worst}");
    });
}
