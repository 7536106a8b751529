//! Checks the wording of comments and the length of files.

use std::io;
use std::path::Path;

use crate::SourceFault;
use crate::source_files::source_files;

/// Maximum number of lines of a file; a longer one is to be split by responsibility.
const MAX_FILE_LINES: usize = 300;

/// Files that may be longer, and the one responsibility that needs the length.
const LONG_FILES: [(&str, &str); 5] = [
    (
        "crates/chicoryrail-core/src/site/file.rs",
        "one format, read field by field",
    ),
    (
        "crates/chicoryrail-router/src/state/router.rs",
        "the state that all tasks share",
    ),
    (
        "crates/chicoryrail-router/src/state/view.rs",
        "one view, each kind of entry a method",
    ),
    (
        "crates/chicoryrail-testkit/src/chaos/inject.rs",
        "one list of faults and how each is done",
    ),
    (
        "crates/chicoryrail-testkit/src/store/server.rs",
        "one protocol, each call a method",
    ),
];

/// Phrases that no comment may contain: retired figures of speech, and things outside the code that it must not refer
/// to.
const BANNED_PHRASES: [&str; 8] = [
    "fleetbench",
    "the bench",
    "mean worth",
    "keeper",
    "keeping of keys",
    "the desk",
    "issue #",
    "letter 4",
];

/// Returns the faults in the comments of a file and in its length.
#[must_use]
pub fn prose_faults(file: &str, text: &str) -> Vec<SourceFault> {
    let comments = text.lines().enumerate().filter(|(_, l)| is_comment(l));
    let mut faults: Vec<SourceFault> = comments
        .filter_map(|(i, comment)| {
            let reason = comment_fault(comment)?;
            let (file, line) = (file.to_owned(), i + 1);
            Some(SourceFault { file, line, reason })
        })
        .collect();
    let lines = text.lines().count();
    if lines > MAX_FILE_LINES && !LONG_FILES.iter().any(|(long, _)| *long == file) {
        faults.push(SourceFault {
            file: file.to_owned(),
            line: lines,
            reason: format!("more than {MAX_FILE_LINES} lines: split it by responsibility"),
        });
    }
    faults
}

fn is_comment(line: &str) -> bool {
    line.trim_start().starts_with("//")
}

fn comment_fault(comment: &str) -> Option<String> {
    let lower = comment.to_lowercase();
    if let Some(phrase) = BANNED_PHRASES.iter().find(|p| lower.contains(*p)) {
        return Some(format!("a comment contains {phrase:?}"));
    }
    has_date(comment).then(|| "a comment contains a date".to_owned())
}

/// Returns `true` if a text contains a date in the form YYYY-MM-DD.
fn has_date(text: &str) -> bool {
    let bytes = text.as_bytes();
    bytes.windows(10).any(|w| {
        let digits = |range: std::ops::Range<usize>| w[range].iter().all(u8::is_ascii_digit);
        digits(0..4) && w[4] == b'-' && digits(5..7) && w[7] == b'-' && digits(8..10)
    })
}

/// Checks all source files below `crates` and `platform/src` of the repository, except for tests.
///
/// # Errors
///
/// Returns an error if a file or directory can't be read.
pub fn check_sources(root: &Path) -> io::Result<Vec<SourceFault>> {
    let files = source_files(root, &["crates", "platform/src"])?;
    let checked = files.iter().filter(|f| !is_test(&f.name));
    Ok(checked
        .flat_map(|f| prose_faults(&f.name, &f.text))
        .collect())
}

/// Returns `true` if a file holds tests. Their wording and length are not checked, since a file of tests may be long: it
/// has many cases.
fn is_test(name: &str) -> bool {
    let mut parts = Path::new(name).components();
    parts.any(|c| c.as_os_str() == "tests")
}
