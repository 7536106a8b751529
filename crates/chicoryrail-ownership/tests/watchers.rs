//! Selection of store watchers and of the hosts that others follow.

use std::net::SocketAddr;

use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_ownership::CoreHost;
use chicoryrail_ownership::HostState;
use chicoryrail_ownership::Peers;
use chicoryrail_ownership::should_join_core;
use rstest::rstest;

const NOW: Millis = Millis(10_000);

/// Core hosts in three data centres: `h00` in `dc0`, `h01` in `dc1` and so on; `h03` is in `dc0` again.
struct CoreHosts {
    hosts: Vec<(HostName, HostState)>,
}

impl CoreHosts {
    fn new(hosts: usize) -> Self {
        let hosts = (0..hosts).map(|i| {
            let state = HostState {
                store_reachable: true,
                schedules: true,
                power: 500,
                dc: Some(dc(i)),
                ..HostState::default()
            };
            (HostName::new(&format!("h{i:02}")), state)
        });
        Self {
            hosts: hosts.collect(),
        }
    }

    /// Returns the peer table of a host that receives heartbeats from all others except `unreachable`.
    fn peers_of(&self, own: usize, unreachable: &[usize]) -> Peers {
        let mut peers = Peers::default();
        for (i, (name, state)) in self.hosts.iter().enumerate() {
            if i != own && !unreachable.contains(&i) {
                peers.record_heartbeat(NOW, name, addr(i), state.clone());
            }
        }
        peers
    }

    /// Returns the hosts that watch the store while no host receives heartbeats from `unreachable`.
    fn watchers(&self, unreachable: &[usize]) -> Vec<usize> {
        let alive = (0..self.hosts.len()).filter(|i| !unreachable.contains(i));
        let watches = |i: &usize| {
            let (name, state) = &self.hosts[*i];
            let peers = self.peers_of(*i, unreachable);
            peers.should_watch(NOW, (name, state))
        };
        alive.filter(watches).collect()
    }
}

fn dc(i: usize) -> DcName {
    DcName::new(&format!("dc{}", i % 3))
}

fn addr(i: usize) -> SocketAddr {
    ([10, 0, 0, i as u8], 7_200).into()
}

/// Guards against every host watching the store, which would cost a call per host for each change: two hosts in
/// different data centres watch, however many hosts there are.
#[rstest]
#[case::few(3)]
#[case::ten(10)]
#[case::many(24)]
fn two_hosts_of_different_data_centres_watch(#[case] hosts: usize) {
    let watchers = CoreHosts::new(hosts).watchers(&[]);
    let mut dcs: Vec<DcName> = watchers.iter().map(|i| dc(*i)).collect();
    dcs.sort();
    dcs.dedup();
    assert_eq!((watchers.len(), dcs.len()), (2, 2));
}

/// A watcher is lost, by itself or with its whole data centre. Guards against stale data: once the watcher's
/// heartbeats stop, another host watches instead.
#[test]
fn another_host_watches_in_place_of_a_lost_one() {
    let core_hosts = CoreHosts::new(9);
    let before = core_hosts.watchers(&[]);
    let one = core_hosts.watchers(&before[..1]);
    assert_eq!(one.len(), 2);
    let lost: Vec<usize> = (0..9).filter(|i| dc(*i) == dc(before[0])).collect();
    let after = core_hosts.watchers(&lost);
    assert_eq!(after.len(), 2);
    assert!(after.iter().all(|i| !lost.contains(i)));
}

/// The store answers some hosts only. Those without a response leave watching to others; if it answers none, the
/// previous watchers keep trying.
#[test]
fn hosts_without_the_store_do_not_watch() {
    let mut core_hosts = CoreHosts::new(9);
    let before = core_hosts.watchers(&[]);
    for i in &before {
        core_hosts.hosts[*i].1.store_reachable = false;
    }
    let after = core_hosts.watchers(&[]);
    assert_eq!(after.len(), 2);
    assert!(after.iter().all(|i| !before.contains(i)));
    for (_, state) in &mut core_hosts.hosts {
        state.store_reachable = false;
    }
    assert_eq!(core_hosts.watchers(&[]), before);
}

/// Guards against a leader with outdated knowledge of the servers: the leader watches the store itself, even if
/// other hosts would be selected before it by name.
#[test]
fn the_leader_watches() {
    let core_hosts = CoreHosts::new(9);
    let (name, state) = &core_hosts.hosts[8];
    let mut peers = core_hosts.peers_of(8, &[]);
    assert!(!peers.should_watch(NOW, (name, state)));
    peers.observe_term(7, Some(name));
    assert!(peers.should_watch(NOW, (name, state)));
}

/// A leaf host follows a core host of its own data centre, and one elsewhere only if all of these have failed.
#[test]
fn a_leaf_host_follows_a_core_host_of_its_data_centre() {
    let core_hosts = CoreHosts::new(9);
    let mut peers = core_hosts.peers_of(9, &[]);
    let leaf = HostName::new("leaf");
    for _ in 0..3 {
        let relay = peers.select_core_host(NOW, &leaf, &dc(1)).unwrap();
        assert!([addr(1), addr(4), addr(7)].contains(&relay));
        peers.record_relay_failure(NOW, relay);
    }
    let far = peers.select_core_host(NOW, &leaf, &dc(1)).unwrap();
    assert!(![addr(1), addr(4), addr(7)].contains(&far));
}

/// At its start a leaf host knows the core hosts only from the store and has no heartbeats. Guards against
/// finding none to follow: the leaf host selects one of the listed hosts.
#[test]
fn a_starting_leaf_host_follows_a_listed_core_host() {
    let mut peers = Peers::default();
    let leaf = HostName::new("leaf");
    assert_eq!(peers.select_core_host(NOW, &leaf, &dc(0)), None);
    peers.set_listed(NOW, vec![(HostName::new("h00"), addr(0))]);
    assert_eq!(peers.select_core_host(NOW, &leaf, &dc(0)), Some(addr(0)));
}

/// Strong hosts join the core up to a limit; weak hosts join only if the strong ones have too little power.
#[rstest]
#[case::the_first(500, &[], true)]
#[case::a_weak_one_alone(2, &[], true)]
#[case::strong_beside_strong(500, &[500; 18], true)]
#[case::weak_beside_strong(2, &[500; 18], false)]
#[case::weak_beside_weak(2, &[2; 20], true)]
#[case::too_many_strong(500, &[500; 24], false)]
#[case::too_many_weak(2, &[2; 24], false)]
fn few_strong_hosts_are_core_hosts(
    #[case] power: u32,
    #[case] listed: &[u32],
    #[case] joins: bool,
) {
    let listed = listed.iter().map(|power| CoreHost {
        addr: addr(1),
        power: *power,
    });
    assert_eq!(should_join_core(power, listed), joins);
}

/// A value written by an older version has no power; a value in another format names no host.
#[test]
fn a_listed_host_is_parsed() {
    let host = CoreHost {
        addr: addr(3),
        power: 500,
    };
    assert_eq!(CoreHost::from_value(host.to_value().as_bytes()), Some(host));
    let old = CoreHost::from_value(b"10.0.0.3:7200").unwrap();
    assert_eq!((old.addr, old.power), (addr(3), 0));
    assert_eq!(CoreHost::from_value(b"nobody"), None);
    assert_eq!(CoreHost::from_value(&[0xff]), None);
}
