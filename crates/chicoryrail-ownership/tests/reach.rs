//! Selection of the leader while some data centres can't reach each other.

use std::collections::BTreeSet;

use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_ownership::DcReachability;
use chicoryrail_ownership::HostState;
use chicoryrail_ownership::Peers;
use rstest::rstest;

const NOW: Millis = Millis(10_000);

fn dcs(names: &str) -> BTreeSet<DcName> {
    names.split_whitespace().map(DcName::new).collect()
}

/// Returns peers with one other host that advertised its reachable data centres at `seen_ms`.
fn peers(seen_ms: u64, reaches: &str) -> Peers {
    peers_with(seen_ms, reaches, true)
}

/// As `peers`; `store` is `true` if the store answers the other host.
fn peers_with(seen_ms: u64, reaches: &str, store: bool) -> Peers {
    let host = HostName::new("other");
    let mut peers = Peers::default();
    let addr = ([127, 0, 0, 1], 7_000).into();
    peers.set_listed(Millis::ZERO, vec![(host.clone(), addr)]);
    let state = HostState {
        store_reachable: store,
        reachable_dcs: dcs(reaches),
        ..HostState::default()
    };
    peers.record_heartbeat(Millis(seen_ms), &host, addr, state);
    peers
}

/// The leader in west gets no response from east's servers, since packets pass in one direction only. Guards
/// against a leader that reassigns their keys although most callers reach them: a host in a third data centre
/// that reaches all of them should lead.
#[rstest]
#[case::another_reaches_all(9_900, "west east north", 1_200, 2, true)]
#[case::the_other_reaches_less(9_900, "east", 1_200, 2, false)]
#[case::no_host_reaches_it(9_900, "west north", 1_200, 2, false)]
#[case::its_state_is_outdated(9_000, "west east north", 1_200, 2, false)]
#[case::unanswered_only_briefly(9_900, "west east north", 700, 2, false)]
#[case::a_single_server(9_900, "west east north", 1_200, 1, false)]
fn a_leader_steps_down_for_one_that_reaches_more(
    #[case] seen_ms: u64,
    #[case] reaches: &str,
    #[case] unanswered_ms: u64,
    #[case] servers: usize,
    #[case] expected: bool,
) {
    let mut reach = DcReachability::default();
    reach.record_response(Millis(9_800), &"west".into());
    reach.record_response(Millis(9_700), &"north".into());
    reach.record_response(Millis(8_500), &"east".into());
    let (east, west) = (DcName::new("east"), DcName::new("west"));
    let since = Some(Millis(NOW.0 - unanswered_ms));
    let lost = std::iter::repeat_n((&east, since), servers);
    let all = lost.chain([(&west, None), (&west, None)]);
    let found = reach.find_unreachable_dc(NOW, all, &peers(seen_ms, reaches));
    assert_eq!(found.is_some(), expected);
}

/// Guards against choosing a host that reaches every data centre but not the store: such a host could not lead.
#[test]
fn a_host_without_the_store_is_no_better_leader() {
    let mut reach = DcReachability::default();
    reach.record_response(Millis(9_800), &"west".into());
    let east = DcName::new("east");
    let since = Some(Millis(NOW.0 - 1_200));
    let all = [(&east, since), (&east, since)];
    let peers = |store| peers_with(9_900, "west east", store);
    let found = |store| reach.find_unreachable_dc(NOW, all.into_iter(), &peers(store));
    assert_eq!((found(true), found(false)), (Some(east.clone()), None));
}

/// Guards against treating a data centre as unreachable while one of its servers responds.
#[test]
fn a_data_centre_with_one_response_is_reachable() {
    let reach = DcReachability::default();
    let east = DcName::new("east");
    let since = Some(Millis(NOW.0 - 2_000));
    let all = [(&east, since), (&east, None), (&east, since)];
    let peers = peers(9_900, "east");
    assert_eq!(
        reach.find_unreachable_dc(NOW, all.into_iter(), &peers),
        None
    );
}

/// Guards against a host that does not notice that another one reaches more data centres, and against using an
/// outdated heartbeat for it.
#[test]
fn a_host_that_reaches_less_than_another_detects_it() {
    let peers = peers(9_900, "west east");
    assert!(peers.any_reaches_more(NOW, &dcs("west")));
    assert!(!peers.any_reaches_more(NOW, &dcs("west east")));
    assert!(!peers.any_reaches_more(Millis(20_000), &dcs("west")));
}

/// Guards against a host without paths to servers with keys that is elected because servers without keys answer it.
#[test]
fn a_host_that_misses_servers_reaches_no_data_centre() {
    let mut reach = DcReachability::default();
    reach.record_response(Millis(1_000), &DcName::new("west"));
    reach.set_misses_servers(true);
    assert!(reach.reachable_dcs(Millis(1_100)).is_empty());
    reach.set_misses_servers(false);
    assert_eq!(reach.reachable_dcs(Millis(1_100)).len(), 1);
}
