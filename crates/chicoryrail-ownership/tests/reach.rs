//! Which host should lead where data centres do not all reach each other.

use std::collections::BTreeSet;

use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_ownership::HostState;
use chicoryrail_ownership::Peers;
use chicoryrail_ownership::Reach;
use rstest::rstest;

const NOW: Millis = Millis(10_000);

fn dcs(names: &str) -> BTreeSet<DcName> {
    names.split_whitespace().map(DcName::new).collect()
}

/// Another host that said at `heard` which data centres it reaches.
fn peers(heard: u64, reaches: &str) -> Peers {
    peers_with(heard, reaches, true)
}

fn peers_with(heard: u64, reaches: &str, store: bool) -> Peers {
    let host = HostName::new("other");
    let mut peers = Peers::default();
    let addr = ([127, 0, 0, 1], 7_000).into();
    peers.set(Millis::ZERO, vec![(host.clone(), addr)]);
    let said = HostState {
        store,
        reaches: dcs(reaches),
        ..HostState::default()
    };
    peers.heard(Millis(heard), &host, addr, said);
    peers
}

/// Packets of east do not reach west, where the leader is: none of east's servers answers it. A host in a third
/// data centre reaches all of them, so it should lead; were the leader to stay, it would give the keys of
/// east's servers to others, although most callers reach them.
#[rstest]
#[case::another_reaches_all(9_900, "west east north", 1_200, 2, true)]
#[case::the_other_reaches_less(9_900, "east", 1_200, 2, false)]
#[case::nobody_reaches_it(9_900, "west north", 1_200, 2, false)]
#[case::its_word_is_old(9_000, "west east north", 1_200, 2, false)]
#[case::silent_for_a_moment(9_900, "west east north", 700, 2, false)]
#[case::one_server_alone(9_900, "west east north", 1_200, 1, false)]
fn a_leader_makes_way_for_one_that_reaches_more(
    #[case] heard: u64,
    #[case] reaches: &str,
    #[case] silent: u64,
    #[case] servers: usize,
    #[case] expected: bool,
) {
    let mut reach = Reach::default();
    reach.answered(Millis(9_800), &"west".into());
    reach.answered(Millis(9_700), &"north".into());
    reach.answered(Millis(8_500), &"east".into());
    let (east, west) = (DcName::new("east"), DcName::new("west"));
    let since = Some(Millis(NOW.0 - silent));
    let lost = std::iter::repeat_n((&east, since), servers);
    let all = lost.chain([(&west, None), (&west, None)]);
    let found = reach.out_of_reach(NOW, all, &peers(heard, reaches));
    assert_eq!(found.is_some(), expected);
}

/// The other host reaches everything, but the store does not answer it: it could not lead.
#[test]
fn a_host_without_the_store_is_no_better_leader() {
    let mut reach = Reach::default();
    reach.answered(Millis(9_800), &"west".into());
    let east = DcName::new("east");
    let since = Some(Millis(NOW.0 - 1_200));
    let all = [(&east, since), (&east, since)];
    let peers = |store| peers_with(9_900, "west east", store);
    let found = |store| reach.out_of_reach(NOW, all.into_iter(), &peers(store));
    assert_eq!((found(true), found(false)), (Some(east.clone()), None));
}

/// One server of the data centre answers, so it is reached.
#[test]
fn a_data_centre_with_one_answer_is_reached() {
    let reach = Reach::default();
    let east = DcName::new("east");
    let since = Some(Millis(NOW.0 - 2_000));
    let all = [(&east, since), (&east, None), (&east, since)];
    let peers = peers(9_900, "east");
    assert_eq!(reach.out_of_reach(NOW, all.into_iter(), &peers), None);
}

#[test]
fn who_reaches_less_than_another_knows_it() {
    let peers = peers(9_900, "west east");
    assert!(peers.reach_more(NOW, &dcs("west")));
    assert!(!peers.reach_more(NOW, &dcs("west east")));
    assert!(!peers.reach_more(Millis(20_000), &dcs("west")));
}
