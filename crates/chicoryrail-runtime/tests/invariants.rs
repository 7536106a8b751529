//! Tests that invariant violations are counted and exported.

use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::Process;
use rstest::rstest;

#[rstest]
#[case::rises(2, 0)]
#[case::unchanged(1, 1)]
#[case::falls(0, 1)]
fn a_broken_invariant_is_counted(#[case] new: u64, #[case] expected: u64) {
    let process = Process::new();
    let holds = process
        .invariants
        .check_increases(Invariant::ConfigForward, &1, &new);
    assert_eq!(holds, expected == 0);
    assert_eq!(process.invariants.count(Invariant::ConfigForward), expected);
}

#[test]
fn every_invariant_is_in_the_metrics_from_the_start() {
    let process = Process::new();
    let text = String::from_utf8(process.metrics.render()).unwrap();
    for invariant in Invariant::ALL {
        let line = format!(
            "chicoryrail_invariant_violations_total{{invariant=\"{}\"}} 0",
            invariant.name()
        );
        assert!(text.contains(&line), "{line}");
    }
}
