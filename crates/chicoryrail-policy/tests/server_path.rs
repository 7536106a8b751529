//! Paths of a host to servers, and the choice of hosts that pass requests on.

use chicoryrail_core::Millis;
use chicoryrail_policy::ForwarderLoad;
use chicoryrail_policy::PathChoice;
use chicoryrail_policy::ServerPath;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const NOW: Millis = Millis(10_000);

fn failed() -> ServerPath {
    let mut path = ServerPath::default();
    path.record_failure(NOW);
    path
}

fn lost() -> ServerPath {
    let mut path = failed();
    assert!(path.record_forwarded());
    path
}

fn contacted() -> ServerPath {
    let mut path = ServerPath::default();
    path.record_contact(NOW);
    path
}

#[rstest]
#[case::never_used(ServerPath::default(), 0, false, PathChoice::Direct)]
#[case::failed(failed(), 100, false, PathChoice::ForwardUnconfirmed)]
#[case::failed_before(failed(), 600, false, PathChoice::Direct)]
#[case::lost(lost(), 60_000, false, PathChoice::Forward)]
#[case::others_lost(ServerPath::default(), 0, true, PathChoice::Forward)]
#[case::others_lost_but_used(contacted(), 900, true, PathChoice::Direct)]
#[case::others_lost_and_used_before(contacted(), 1_100, true, PathChoice::Forward)]
fn path_is_chosen_by_what_is_known(
    #[case] path: ServerPath,
    #[case] later_ms: u64,
    #[case] others_lost: bool,
    #[case] expected: PathChoice,
) {
    let choice = path.choose(NOW + Millis(later_ms), others_lost);
    assert_eq!(choice, expected);
}

/// Guards against a lost path that is used no more although it is back.
#[test]
fn a_contact_restores_a_lost_path() {
    let mut path = lost();
    path.record_contact(NOW + Millis(1));
    assert!(!path.is_lost());
    assert_eq!(path.choose(NOW + Millis(2), false), PathChoice::Direct);
}

/// Guards against a failed server that counts as sound because the path to it was lost before.
#[test]
fn a_failed_server_is_no_lost_path() {
    let mut path = lost();
    path.record_server_failure(NOW + Millis(1));
    assert!(!path.is_lost());
    let choice = path.choose(NOW + Millis(2), false);
    assert_eq!(choice, PathChoice::ForwardUnconfirmed);
}

/// Guards against a burst of connections to servers whose paths are lost.
#[test]
fn checks_of_a_path_are_spaced() {
    let mut path = lost();
    let checks = (0..1_000_u64).filter(|ms| path.begin_check(NOW + Millis(*ms)));
    assert_eq!(checks.count(), 4);
}

/// Plays 2,000 requests of one host: near and strong hosts pass on more, and each at least half of its weighted share.
#[test]
fn forwarders_share_the_load_by_power_and_distance() {
    let loads = [(500, true), (100, true), (500, false), (100, false)];
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut passed = [0_u32; 4];
    let mut in_flight = [0_u32; 4];
    for request in 0..2_000 {
        let score = |i: usize, rng: &mut Pcg64Mcg| {
            let (power, is_local) = loads[i];
            let load = ForwarderLoad {
                power,
                is_local,
                in_flight: in_flight[i],
            };
            load.score(rng)
        };
        let scores: Vec<f64> = (0..4).map(|i| score(i, &mut rng)).collect();
        let chosen = (0..4).max_by(|a, b| scores[*a].total_cmp(&scores[*b]));
        let chosen = chosen.unwrap();
        passed[chosen] += 1;
        in_flight[chosen] += 1;
        // Eight requests are passed on at a time.
        if request >= 8 {
            let oldest = (0..4).max_by_key(|i| in_flight[*i]).unwrap();
            in_flight[oldest] -= 1;
        }
    }
    assert!(passed[0] > passed[1] && passed[0] > passed[2], "{passed:?}");
    let weights = [4.0 * 500.0, 4.0 * 100.0, 500.0, 100.0];
    let share = |i: usize| 2_000.0 * weights[i] / weights.iter().sum::<f64>();
    let least = (0..4).all(|i| f64::from(passed[i]) >= share(i) / 2.0);
    assert!(least, "{passed:?}");
}
