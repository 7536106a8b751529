//! Division of a load among servers of unequal speed.

use chicoryrail_ownership::keys::load_shares;
use rstest::rstest;

/// Capacities of a fast, two usual and a slow server with six slots each.
const CAPACITIES: [f64; 4] = [12.0, 6.0, 6.0, 4.0];

/// Mean time of a request at servers with these loads, relative to a usual idle server, where a server of capacity `c` works
/// on one request after the other.
fn mean_response(loads: &[f64]) -> f64 {
    let total: f64 = loads.iter().sum();
    let servers = loads.iter().zip(CAPACITIES);
    servers.map(|(load, c)| load / total / (c - load)).sum()
}

/// Guards against requests at slow servers while fast ones are idle.
#[rstest]
#[case::quiet(4.0, 0.8)]
#[case::usual(9.0, 0.95)]
#[case::busy(20.0, 1.0)]
fn unequal_servers_respond_sooner_than_by_capacity(#[case] load: f64, #[case] ratio: f64) {
    let shares = load_shares(&CAPACITIES, load);
    assert!(
        (shares.iter().sum::<f64>() - load).abs() < 0.01,
        "{shares:?}"
    );
    let total: f64 = CAPACITIES.iter().sum();
    let proportional = CAPACITIES.map(|c| c * load / total);
    assert!(mean_response(&shares) <= mean_response(&proportional) * ratio);
}

/// Guards against a server without requests, whose speed nobody observes.
#[rstest]
#[case::idle(0.1)]
#[case::quiet(4.0)]
#[case::saturated(28.0)]
#[case::overloaded(60.0)]
fn every_server_gets_a_share(#[case] load: f64) {
    let shares = load_shares(&CAPACITIES, load);
    assert!(shares.iter().all(|s| *s > 0.0), "{shares:?}");
    assert!(shares.is_sorted_by(|a, b| a >= b), "{shares:?}");
}

/// Guards against unequal loads of equal servers, and against values that are no numbers.
#[test]
fn equal_servers_get_equal_loads() {
    assert!(
        load_shares(&[4.0; 5], 10.0)
            .iter()
            .all(|s| (s - 2.0).abs() < 0.01)
    );
    assert!(load_shares(&[], 10.0).is_empty());
    assert!(load_shares(&[4.0], 0.0).iter().all(|s| s.abs() < 0.01));
}
