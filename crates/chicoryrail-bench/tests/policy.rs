//! Short fixed seeds of the policy bench; deterministic, so a change of a decision shows at once.

use chicoryrail_bench::policy::Case;
use chicoryrail_bench::policy::Scheme;
use chicoryrail_bench::policy::run;
use chicoryrail_bench::policy::run_once;
use rstest::rstest;

#[rstest]
fn same_seed_gives_the_same_figures() {
    let case = Case::all().remove(0).seconds(3);
    let once = || format!("{:?}", run_once(&case, Scheme::Ours, 7));
    assert_eq!(once(), once());
}

#[rstest]
fn unknown_case_names_the_known_ones() {
    let error = run(Some("nothing"), 1, 1).expect_err("no such case");
    assert!(error.to_string().contains("straggler"));
}
