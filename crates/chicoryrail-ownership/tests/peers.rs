//! What a host may conclude from what it hears of the others.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_ownership::HostState;
use chicoryrail_ownership::Peers;
use chicoryrail_ownership::SchedulerHost;
use rstest::rstest;

fn peers(n: u16) -> Peers {
    let mut peers = Peers::default();
    let hosts = (0..n).map(|i| (host(i), addr(i)));
    peers.set(Millis::ZERO, hosts.collect());
    peers
}

fn addr(i: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7_000 + i).into()
}

fn host(i: u16) -> HostName {
    HostName::new(&format!("h{i}"))
}

fn store(store: bool) -> HostState {
    HostState {
        store,
        ..HostState::default()
    }
}

fn power(power: u32) -> HostState {
    HostState {
        power,
        reaches: BTreeSet::from(["east".into(), "west".into()]),
        ..store(true)
    }
}

/// A host with a tenth of a core leads an installation whose requests need two tenths of one at the desk: each
/// waits there until it is too late, at every host. A host of half a core should lead, if it is there and the
/// store answers it; one that is hardly stronger is not worth the change.
#[test]
fn a_much_stronger_host_should_lead() {
    let mut peers = peers(3);
    let now = Millis(1_000);
    let east = BTreeSet::from(["east".into()]);
    peers.heard(now, &host(0), addr(0), power(100));
    peers.heard(now, &host(1), addr(1), power(199));
    assert!(!peers.stronger(now, 100, &east));
    peers.heard(now, &host(2), addr(2), power(500));
    assert!(peers.stronger(now, 100, &east));
    assert!(!peers.stronger(now, 500, &east));
    assert!(!peers.stronger(Millis(2_000), 100, &east));
}

/// The strong host can't reach a data centre that the leader reaches, or the store: it could not lead, and
/// would hand the lead back at once.
#[rstest]
#[case::reaches_less(HostState { reaches: BTreeSet::new(), ..power(500) })]
#[case::without_the_store(HostState { store: false, ..power(500) })]
fn strength_alone_does_not_lead(#[case] said: HostState) {
    let mut peers = peers(1);
    peers.heard(Millis(1_000), &host(0), addr(0), said);
    let mine = BTreeSet::from(["east".into()]);
    assert!(!peers.stronger(Millis(1_000), 100, &mine));
}

/// A leader is cut off from the store. It may go on only while it hears most of the hosts; silence of half
/// of them may mean that they have another leader.
#[test]
fn most_hosts_must_be_heard() {
    let mut peers = peers(9);
    for i in 0..4 {
        peers.heard(Millis(1_000), &host(i), addr(i), store(true));
    }
    assert!(!peers.hears_most(Millis(1_000), Millis(500)));
    peers.heard(Millis(1_000), &host(4), addr(4), store(true));
    assert!(peers.hears_most(Millis(1_400), Millis(500)));
    assert!(!peers.hears_most(Millis(1_600), Millis(500)));
}

/// An old leader goes on sending its term after a new one was heard: the new one stays.
#[test]
fn terms_never_go_back() {
    let mut peers = peers(3);
    assert!(peers.term(5, Some(&host(1))));
    assert!(!peers.term(4, Some(&host(2))));
    assert_eq!(peers.highest_term(), 5);
    assert_eq!(peers.leader_addr(), Some(([127, 0, 0, 1], 7_001).into()));
    assert!(peers.term(6, None));
    assert_eq!(peers.leader_addr(), None);
}

/// The leader is heard, but a question to its desk got no word in time: the desk is at work, and deals out
/// what cold servers bear. Only after a long silence may a host take its own part.
#[test]
fn a_leader_that_was_heard_lately_is_at_work() {
    let mut peers = peers(3);
    assert!(!peers.hears_leader(Millis(5_000), Millis(2_500)));
    peers.heard_leader(Millis(5_000));
    assert!(peers.hears_leader(Millis(7_500), Millis(2_500)));
    assert!(!peers.hears_leader(Millis(7_501), Millis(2_500)));
}

/// A data centre is lost with its strong hosts, or has only weak ones. While it has strong ones, one of them schedules
/// for its servers; a host of another data centre does it then, so callers find a scheduler in either case.
#[test]
fn a_host_near_the_servers_schedules_for_them() {
    let now = Millis(1_000);
    let said = |dc: &str, power| HostState {
        dc: Some(dc.into()),
        schedules: true,
        power,
        ..HostState::default()
    };
    let own = (&host(9), &said("west", 500));
    let mut peers = peers(3);
    peers.heard(now, &host(0), addr(0), said("east", 500));
    peers.heard(now, &host(1), addr(1), said("north", 2));
    let at = |peers: &Peers, dc: &str, n: u32| peers.scheduler(now, own, Some(&dc.into()), &n);
    for n in 0..50 {
        assert_eq!(at(&peers, "east", n), SchedulerHost::At(addr(0)));
        assert_eq!(at(&peers, "west", n), SchedulerHost::Here);
        assert_ne!(at(&peers, "north", n), SchedulerHost::At(addr(1)));
    }
    peers.silent(addr(0));
    assert!((0..50).all(|n| at(&peers, "east", n) != SchedulerHost::At(addr(0))));
}

/// Hosts go and come. A bound over all of them is shared among the most that were ever known: one that
/// went silent may still send.
#[test]
fn bounds_are_shared_among_all_ever_known() {
    let mut peers = peers(10);
    assert_eq!(peers.sharing(), 11);
    peers.set(Millis(60_000), Vec::new());
    assert_eq!(peers.sharing(), 11);
    assert_eq!(Peers::default().sharing(), 8);
}

/// The store is away for all hosts but one, or one has not been heard: that one may lead by now, so the
/// leader must not grant for the time of an outage.
#[test]
fn an_outage_for_all_is_told_by_all() {
    let mut peers = peers(3);
    for i in 0..3 {
        assert!(!peers.all_lost_store(Millis(1_000)));
        peers.heard(Millis(1_000), &host(i), addr(i), store(false));
    }
    assert!(peers.all_lost_store(Millis(1_500)));
    assert!(!peers.all_lost_store(Millis(2_500)));
    peers.heard(Millis(1_600), &host(1), addr(1), store(true));
    assert!(!peers.all_lost_store(Millis(1_600)));
}
