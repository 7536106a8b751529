//! What a broken invariant leaves behind.

use chicoryrail_runtime::EventKind;
use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::Process;
use rstest::rstest;

#[rstest]
#[case::rises(2, 0)]
#[case::stands_still(1, 1)]
fn a_broken_invariant_is_counted_and_recorded(#[case] new: u64, #[case] expected: u64) {
    let process = Process::new(&"h1".into(), "test");
    let held = process.invariants.rises(Invariant::ConfigForward, &1, &new);
    assert_eq!(held, expected == 0);
    assert_eq!(process.invariants.count(Invariant::ConfigForward), expected);
    let events = process.events.since(0, 100);
    let broken = events.iter().filter(|e| e.kind == EventKind::Violation);
    let broken: Vec<_> = broken
        .map(|e| (e.subject.as_str(), e.detail.as_str()))
        .collect();
    let expected = vec![("config-forward", "old=1 new=1"); expected as usize];
    assert_eq!(broken, expected);
}

#[test]
fn every_invariant_is_in_the_metrics_from_the_start() {
    let process = Process::new(&"h1".into(), "test");
    let text = String::from_utf8(process.metrics.render()).unwrap();
    for invariant in Invariant::ALL {
        let line = format!(
            "chicoryrail_invariant_violations_total{{invariant=\"{}\"}} 0",
            invariant.name()
        );
        assert!(text.contains(&line), "{line}");
    }
}
