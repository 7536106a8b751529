//! Tests that the checker finds keys that two servers hold, by the grants and releases that the servers recorded.

use chicoryrail_testkit::Evidence;
use chicoryrail_testkit::HoldChange;
use chicoryrail_testkit::HoldKind;
use chicoryrail_testkit::ServerEnd;
use chicoryrail_testkit::ServerStart;
use chicoryrail_testkit::Violation;
use rstest::rstest;

/// Length of the leases, in milliseconds.
const LEASE_MS: u64 = 2_000;

/// Returns a grant of the keys from `first` to `last` under a fence; the time is in milliseconds.
fn grant(server: &str, time: u64, first: u16, last: u16, fence: u64) -> HoldChange {
    HoldChange {
        server: server.to_owned(),
        service: "kits".to_owned(),
        born: 7,
        received: time * 1000,
        time: time * 1000,
        first,
        last,
        fence,
        length_ms: LEASE_MS,
        kind: HoldKind::Granted,
    }
}

fn release(server: &str, time: u64, first: u16, last: u16, fence: u64) -> HoldChange {
    HoldChange {
        length_ms: 0,
        kind: HoldKind::Released,
        ..grant(server, time, first, last, fence)
    }
}

fn refused(server: &str, time: u64, first: u16, last: u16, fence: u64) -> HoldChange {
    HoldChange {
        kind: HoldKind::Refused,
        ..grant(server, time, first, last, fence)
    }
}

/// Returns the grants of a server that holds keys 100 to 199 under fence 5 from `from` on and renews them every 600 ms
/// until `until`.
fn renewals(server: &str, from: u64, until: u64) -> Vec<HoldChange> {
    let times = (from..=until).step_by(600);
    times.map(|t| grant(server, t, 100, 199, 5)).collect()
}

/// Returns evidence of `kits-1` that holds keys 100 to 199 from 0 ms, renewed for the last time at 3,000 ms, and of other
/// changes.
fn evidence(others: Vec<HoldChange>) -> Evidence {
    Evidence {
        holds: [renewals("kits-1", 0, 3_000), others].concat(),
        ..Evidence::default()
    }
}

fn killed(server: &str, time: u64) -> ServerEnd {
    ServerEnd {
        server: server.to_owned(),
        time: time * 1000,
    }
}

fn started(server: &str, time: u64) -> ServerStart {
    ServerStart {
        server: server.to_owned(),
        born: time,
        time: time * 1000,
    }
}

fn held_twice(keys: &[[u16; 2]], time: u64, overlap_ms: u64) -> Violation {
    Violation::HeldTwice {
        keys: keys.to_vec(),
        servers: ["kits-1".to_owned(), "kits-2".to_owned()],
        fences: [5, 6],
        time: time * 1000,
        overlap_ms,
    }
}

/// Returns the time of each overlap and its length, in milliseconds.
fn overlaps(evidence: &Evidence) -> Vec<(u64, u64)> {
    let times = Violation::find(evidence).into_iter().map(|v| match v {
        Violation::HeldTwice {
            time, overlap_ms, ..
        } => (time / 1000, overlap_ms),
        other => panic!("{other:?}"),
    });
    times.collect()
}

#[test]
fn finds_keys_that_two_servers_hold() {
    let evidence = evidence(vec![grant("kits-2", 3_200, 150, 299, 6)]);
    let expected = held_twice(&[[150, 199]], 3_200, 1_800);
    assert_eq!(Violation::find(&evidence), [expected]);
}

#[rstest]
#[case::after_the_last_lease(vec![grant("kits-2", 5_000, 100, 199, 6)], None)]
#[case::overlap_as_long_as_allowed(vec![grant("kits-2", 4_500, 100, 199, 6)], None)]
#[case::overlap_longer_than_allowed(vec![grant("kits-2", 4_499, 100, 199, 6)], Some((4_499, 501)))]
#[case::other_keys(vec![grant("kits-2", 10, 200, 299, 6)], None)]
#[case::one_common_key(vec![grant("kits-2", 3_000, 199, 299, 6)], Some((3_000, 2_000)))]
#[case::before_a_renewal(vec![grant("kits-2", 100, 100, 199, 6)], Some((100, 2_000)))]
#[case::handed_over(
    vec![release("kits-1", 3_100, 100, 199, 6), grant("kits-2", 3_101, 100, 199, 6)],
    None
)]
#[case::released_late(
    vec![grant("kits-2", 3_100, 100, 199, 6), release("kits-1", 3_700, 100, 199, 6)],
    Some((3_100, 600))
)]
#[case::released_in_time(
    vec![grant("kits-2", 3_100, 100, 199, 6), release("kits-1", 3_600, 100, 199, 6)],
    None
)]
#[case::released_in_part(
    vec![release("kits-1", 3_100, 100, 149, 6), grant("kits-2", 3_200, 100, 199, 6)],
    Some((3_200, 1_800))
)]
#[case::granted_the_released_part(
    vec![release("kits-1", 3_100, 100, 149, 6), grant("kits-2", 3_200, 100, 149, 6)],
    None
)]
#[case::granted_again_after_the_release(
    vec![
        release("kits-1", 3_100, 100, 199, 6),
        grant("kits-2", 3_200, 100, 199, 6),
        grant("kits-1", 3_300, 100, 199, 7),
    ],
    Some((3_300, 1_900))
)]
#[case::renewal_refused(
    vec![refused("kits-1", 3_500, 100, 199, 4), grant("kits-2", 5_000, 100, 199, 6)],
    None
)]
#[case::grant_refused(vec![refused("kits-2", 100, 100, 199, 4)], None)]
#[case::shortened_by_a_renewal(
    vec![
        HoldChange { length_ms: 100, ..grant("kits-1", 3_100, 100, 199, 5) },
        grant("kits-2", 3_300, 100, 199, 6),
    ],
    None
)]
#[case::other_service(
    vec![HoldChange { service: "carts".to_owned(), ..grant("carts-1", 100, 100, 199, 6) }],
    None
)]
fn two_servers_hold_a_key_for_half_a_second_at_most(
    #[case] others: Vec<HoldChange>,
    #[case] expected: Option<(u64, u64)>,
) {
    let found = overlaps(&evidence(others));
    assert_eq!(found, Vec::from_iter(expected));
}

#[rstest]
#[case::killed(vec![killed("kits-1", 3_100)], vec![], None)]
#[case::killed_late(vec![killed("kits-1", 3_801)], vec![], Some((3_200, 601)))]
#[case::killed_in_time(vec![killed("kits-1", 3_700)], vec![], None)]
#[case::other_server_killed(vec![killed("kits-3", 3_100)], vec![], Some((3_200, 1_800)))]
#[case::killed_before_its_last_grant(vec![killed("kits-1", 2_900)], vec![], Some((3_200, 1_800)))]
#[case::restarted(vec![], vec![started("kits-1", 3_150)], None)]
#[case::started_before(vec![], vec![started("kits-1", 0)], Some((3_200, 1_800)))]
#[case::paused(vec![], vec![], Some((3_200, 1_800)))]
fn a_process_that_has_ended_holds_nothing(
    #[case] ended: Vec<ServerEnd>,
    #[case] starts: Vec<ServerStart>,
    #[case] expected: Option<(u64, u64)>,
) {
    let evidence = Evidence {
        ended,
        starts,
        ..evidence(vec![grant("kits-2", 3_200, 100, 199, 6)])
    };
    assert_eq!(overlaps(&evidence), Vec::from_iter(expected));
}

/// Guards against a renewal meant for a server's former process that the next one accepts, while the keys are granted to
/// another server because the former process has ended.
#[test]
fn finds_keys_that_a_restarted_server_took_by_a_renewal() {
    let evidence = Evidence {
        ended: vec![killed("kits-1", 3_100)],
        starts: vec![started("kits-1", 3_300)],
        ..evidence(vec![
            grant("kits-1", 3_400, 100, 199, 5),
            grant("kits-2", 3_500, 100, 199, 6),
        ])
    };
    let expected = held_twice(&[[100, 199]], 3_500, 1_900);
    assert_eq!(Violation::find(&evidence), [expected]);
}

/// A violation is reported once for a contiguous time, however many grants are part of it.
#[test]
fn an_overlap_is_reported_once_for_a_pair_of_servers() {
    let evidence = evidence(vec![
        grant("kits-2", 3_100, 100, 119, 6),
        grant("kits-2", 3_200, 140, 199, 6),
        grant("kits-2", 3_800, 100, 119, 6),
        grant("kits-2", 3_900, 140, 199, 6),
        grant("kits-3", 3_900, 130, 135, 6),
        grant("kits-1", 10_000, 100, 199, 7),
        grant("kits-2", 10_000, 100, 199, 8),
    ]);
    let found = Violation::find(&evidence);
    assert_eq!(found.len(), 3, "{found:?}");
    assert_eq!(
        found[0],
        held_twice(&[[100, 119], [140, 199]], 3_100, 1_900)
    );
    assert_eq!(overlaps(&evidence)[1..], [(10_000, 2_000), (3_900, 1_100)]);
}

/// The ledgers are read one after the other: a release after the first read may be missing.
#[test]
fn holds_after_the_ledgers_were_read_are_not_compared() {
    let read_at = |time: u64| Evidence {
        complete_until: Some(time * 1000),
        ..evidence(vec![grant("kits-2", 3_200, 100, 199, 6)])
    };
    assert_eq!(overlaps(&read_at(3_700)), []);
    assert_eq!(overlaps(&read_at(3_701)), [(3_200, 501)]);
    assert_eq!(overlaps(&read_at(3_100)), []);
}

/// Keys 100 to 199 move from `kits-1`, fence 5, to `kits-2` after the last lease has ended.
#[rstest]
#[case::higher(vec![grant("kits-2", 6_000, 100, 199, 6)], None)]
#[case::same(vec![grant("kits-2", 6_000, 150, 250, 5)], Some((150, "kits-1", "kits-2", [5, 5])))]
#[case::lower(vec![grant("kits-2", 6_000, 50, 110, 4)], Some((100, "kits-1", "kits-2", [5, 4])))]
#[case::lower_of_other_keys(vec![grant("kits-2", 6_000, 200, 250, 4)], None)]
#[case::refused(vec![refused("kits-2", 6_000, 100, 199, 4)], None)]
#[case::same_server_again(vec![grant("kits-1", 6_000, 120, 130, 5)], None)]
#[case::renewed_after_it_moved(
    vec![grant("kits-2", 6_000, 100, 199, 6), grant("kits-1", 9_000, 100, 150, 5)],
    None
)]
#[case::next_process_after_it_moved(
    vec![
        grant("kits-2", 6_000, 100, 199, 6),
        HoldChange { born: 8, ..grant("kits-1", 9_000, 100, 150, 5) },
    ],
    Some((100, "kits-2", "kits-1", [6, 5]))
)]
#[case::below_the_last_but_one(
    vec![grant("kits-2", 6_000, 100, 199, 8), grant("kits-3", 9_000, 100, 199, 7)],
    Some((100, "kits-2", "kits-3", [8, 7]))
)]
#[case::back_with_a_higher_one(
    vec![grant("kits-2", 6_000, 100, 199, 6), grant("kits-1", 9_000, 100, 199, 7)],
    None
)]
fn a_key_moves_with_a_higher_fence(
    #[case] others: Vec<HoldChange>,
    #[case] expected: Option<(u16, &str, &str, [u64; 2])>,
) {
    let expected = expected.map(|(key, old, new, fences)| Violation::FenceBack {
        key,
        servers: [old.to_owned(), new.to_owned()],
        fences,
        time: others.last().map_or(0, |c| c.time),
    });
    assert_eq!(Violation::find(&evidence(others)), Vec::from_iter(expected));
}

/// With 100 servers that renew their keys every 600 ms for ten minutes, the check takes seconds at most, and finds the
/// one overlap among them.
#[test]
fn the_check_copes_with_many_servers_and_renewals() {
    let mut holds = Vec::new();
    for server in 0..100_u16 {
        let name = format!("kits-{server:03}");
        let (first, last) = (server * 655, server * 655 + 654);
        for time in (0..600_000).step_by(600) {
            holds.push(grant(&name, time + u64::from(server), first, last, 5));
        }
    }
    holds.push(grant("kits-000", 300_000, 700, 700, 6));
    let evidence = Evidence {
        holds,
        ..Evidence::default()
    };
    assert_eq!(overlaps(&evidence), [(300_000, 2_000)]);
}
