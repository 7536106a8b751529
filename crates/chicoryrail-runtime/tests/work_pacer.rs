//! Pacing of repeated work by its own cost.

use chicoryrail_core::Millis;
use chicoryrail_runtime::WorkPacer;
use rstest::rstest;

/// Guards against a step over all servers that takes the whole processor once there are enough of them.
#[rstest]
#[case::small_fleet(0, 1_000)]
#[case::large_fleet(20, 100)]
#[case::twice_as_large(40, 100)]
#[case::far_too_large(4_000, 100)]
fn a_step_uses_a_bounded_part_of_the_time(#[case] cost: u64, #[case] polls: u64) {
    let mut pacer = WorkPacer::new(8);
    let (mut now, mut worked) = (Millis::ZERO, 0);
    for _ in 0..polls {
        if pacer.is_due(now) {
            let begun = now;
            now = now + Millis(cost);
            pacer.record(begun, now);
            worked += cost;
        }
        now = now + pacer.rest(now).max(Millis(10));
    }
    assert!(worked * 9 <= now.0, "{worked} of {now}");
}

/// Guards against a cheap step that is delayed.
#[test]
fn a_step_without_cost_is_always_due() {
    let mut pacer = WorkPacer::new(8);
    assert!(pacer.is_due(Millis::ZERO));
    pacer.record(Millis(5), Millis(5));
    assert!(pacer.is_due(Millis(5)));
    assert_eq!(pacer.rest(Millis(5)), Millis::ZERO);
}
