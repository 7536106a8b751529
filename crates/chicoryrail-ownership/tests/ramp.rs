//! Ramps of cold servers.

use chicoryrail_core::Millis;
use chicoryrail_ownership::Ramp;
use chicoryrail_ownership::Seen;
use rstest::rstest;

const WARM: u32 = 1_000;

fn seen(sent: u32, failed: u32, latency: u32) -> Seen {
    Seen {
        sent,
        failed,
        latency,
        waiting: 0,
    }
}

/// Feeds one report each 100 ms and returns the slots after each.
fn run(ramp: &mut Ramp, slots: u32, reports: &[Seen]) -> Vec<u32> {
    let step = |(i, seen): (usize, &Seen)| {
        ramp.seen(Millis(100 * (i as u64 + 1)), *seen, slots);
        ramp.slots(slots)
    };
    reports.iter().enumerate().map(step).collect()
}

#[rstest]
#[case::successes(&[seen(4, 0, WARM), seen(8, 0, WARM), seen(16, 0, WARM)], &[2, 4, 8])]
#[case::too_few(&[seen(3, 0, WARM), seen(1, 0, WARM), seen(7, 0, WARM)], &[1, 2, 2])]
#[case::a_failure_halves(&[seen(4, 0, WARM), seen(8, 0, WARM), seen(9, 1, WARM)], &[2, 4, 2])]
#[case::never_below_one(&[seen(1, 1, WARM), seen(1, 1, WARM)], &[1, 1])]
fn a_cold_server_gets_what_it_has_proven(#[case] reports: &[Seen], #[case] expected: &[u32]) {
    let mut ramp = Ramp::default();
    ramp.chill(Millis(0));
    assert_eq!(run(&mut ramp, 8, reports), expected);
}

#[rstest]
#[case::a_moments_straggler(10, false)]
#[case::without_warning(25, true)]
fn only_lasting_slowness_counts_as_cold(#[case] slow: usize, #[case] cold: bool) {
    let mut ramp = Ramp::default();
    let mut reports = vec![seen(10, 0, WARM); 5];
    reports.extend(vec![seen(10, 0, 10 * WARM); slow]);
    run(&mut ramp, 2, &reports);
    assert_eq!(ramp.is_cold(), cold);
}

#[test]
fn a_server_without_traffic_gets_two_after_two_seconds() {
    let mut ramp = Ramp::default();
    ramp.chill(Millis(0));
    let slots = run(&mut ramp, 4, &[seen(0, 0, 0); 25]);
    assert_eq!((slots[18], slots[24], ramp.is_cold()), (1, 2, true));
}
