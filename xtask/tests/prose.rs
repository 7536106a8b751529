//! The check of comments and file lengths, on samples and on the source files.

use std::path::Path;

use rstest::rstest;
use xtask::check_sources;
use xtask::prose_faults;

/// Comments with a date, a banned reference or a retired figure of speech are found; the same text in code, and
/// ordinary comments, are not.
#[rstest]
#[case::date("// Since 2026-01-31 it is so.\n", 1)]
#[case::bench("/// Played on the bench.\n", 1)]
#[case::picture("fn a() {}\n    // The keeper waits.\n", 1)]
#[case::issue("//! See issue #7.\n", 1)]
#[case::code("let keeper = \"2026-01-31\";\n", 0)]
#[case::ordinary("// A lost reply is asked for again.\n", 0)]
fn banned_comments_are_found(#[case] text: &str, #[case] faults: usize) {
    assert_eq!(prose_faults("src/a.rs", text).len(), faults);
}

#[test]
fn a_file_that_is_too_long_is_found() {
    let text = "fn a() {}\n".repeat(301);
    assert_eq!(prose_faults("src/a.rs", &text).len(), 1);
}

#[test]
fn source_files_have_no_faults() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let faults = check_sources(root).unwrap();
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert!(lines.is_empty(), "{}", lines.join("\n"));
}
