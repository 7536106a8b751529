//! Sizes of responses: which one is far longer than the others of its route.

use chicoryrail_policy::ResponseSizes;
use rstest::rstest;

/// Guards against a response without an end that passes for a long one, and against a long one that is taken for it before
/// the usual sizes are known.
#[rstest]
#[case::usual(32, 30_000, 30_001, false)]
#[case::twice_the_largest(32, 30_000, 60_000, false)]
#[case::longer(32, 30_000, 60_001, true)]
#[case::few_observations(31, 30_000, 10_000_000, false)]
#[case::none(0, 0, 10_000_000, false)]
#[case::long_ones_are_usual(32, 500_000, 700_000, false)]
fn a_response_far_longer_than_all_others_is_unusual(
    #[case] responses: u32,
    #[case] largest: u64,
    #[case] bytes: u64,
    #[case] is_unusual: bool,
) {
    let mut sizes = ResponseSizes::default();
    for _ in 0..responses {
        sizes.record(largest);
    }
    assert_eq!(sizes.is_unusual(bytes), is_unusual);
}

/// Guards against a route whose long responses stay unusual: the first complete one makes its length usual.
#[test]
fn a_complete_response_makes_its_length_usual() {
    let mut sizes = ResponseSizes::default();
    for _ in 0..100 {
        sizes.record(400);
    }
    assert!(sizes.is_unusual(300_000));
    sizes.record(300_000);
    assert!(!sizes.is_unusual(300_000));
}
