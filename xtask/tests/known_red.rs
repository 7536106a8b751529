//! Parsing of the list of tests that are known to fail.

use rstest::rstest;
use xtask::known_red;
use xtask::skip_args;

#[test]
fn only_listed_tests_are_skipped() {
    let list =
        "# comment\n\nfloods::one | cargo test, seed 3 | two holders | 35\n- | hunt | x | 36\n";
    let list = known_red(list).unwrap();
    assert_eq!(list.len(), 2);
    let args = ["--", "--exact", "--skip", "floods::one"];
    assert_eq!(skip_args(&list), args);
}

#[test]
fn an_empty_list_skips_nothing() {
    let list = known_red("# None.\n").unwrap();
    assert!(skip_args(&list).is_empty());
}

#[rstest]
#[case("a test | no issue", "line 1: 2 fields")]
#[case("# x\na | b |  | 3", "line 2: field 3 is empty")]
fn a_broken_entry_is_an_error(#[case] list: &str, #[case] message: &str) {
    let error = known_red(list).unwrap_err().to_string();
    assert!(error.starts_with(message), "{error}");
}

#[test]
fn the_list_of_the_repository_can_be_read() {
    let list = include_str!("../../KNOWN-RED.txt");
    assert!(known_red(list).is_ok());
}
