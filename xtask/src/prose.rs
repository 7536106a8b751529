//! Checks the wording of comments and the length of files.

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;

/// Maximum lines of a file; a longer one is to be split by responsibility.
const FILE_LINES_MAX: usize = 300;

/// Files that may be longer, and the one responsibility that needs the length.
const LONG_FILES: [(&str, &str); 8] = [
    (
        "crates/chicoryrail-core/src/site/file.rs",
        "one format, read field by field",
    ),
    (
        "crates/chicoryrail-ownership/src/keys/assignment.rs",
        "one plan in steps that share its loads",
    ),
    (
        "crates/chicoryrail-ownership/src/keys/key_leases.rs",
        "one state machine, each input a method",
    ),
    (
        "crates/chicoryrail-ownership/src/peers.rs",
        "one table of hosts and the queries on it",
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

/// A comment or file that breaks a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProseFault {
    /// Path of the file, relative to the root of the repository.
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// The rule that is broken.
    pub reason: String,
}

impl fmt::Display for ProseFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.reason)
    }
}

/// Returns the faults in the comments of a file and in its length.
#[must_use]
pub fn prose_faults(file: &str, text: &str) -> Vec<ProseFault> {
    let comments = text.lines().enumerate().filter(|(_, l)| is_comment(l));
    let mut faults: Vec<ProseFault> = comments
        .filter_map(|(i, comment)| {
            let reason = comment_fault(comment)?;
            let (file, line) = (file.to_owned(), i + 1);
            Some(ProseFault { file, line, reason })
        })
        .collect();
    let lines = text.lines().count();
    if lines > FILE_LINES_MAX && !LONG_FILES.iter().any(|(long, _)| *long == file) {
        faults.push(ProseFault {
            file: file.to_owned(),
            line: lines,
            reason: format!("more than {FILE_LINES_MAX} lines: split it by responsibility"),
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

/// Returns whether a text contains a date in the form YYYY-MM-DD.
fn has_date(text: &str) -> bool {
    let bytes = text.as_bytes();
    bytes.windows(10).any(|w| {
        let digits = |range: std::ops::Range<usize>| w[range].iter().all(u8::is_ascii_digit);
        digits(0..4) && w[4] == b'-' && digits(5..7) && w[7] == b'-' && digits(8..10)
    })
}

/// Checks all source files below `crates` and `platform/src` of the repository, but for tests.
///
/// # Errors
///
/// Returns an error if a file or directory can't be read.
pub fn check_sources(root: &Path) -> io::Result<Vec<ProseFault>> {
    let mut faults = Vec::new();
    let mut directories = vec![root.join("crates"), root.join("platform/src")];
    while let Some(directory) = directories.pop() {
        for entry in fs::read_dir(directory)? {
            let path = entry?.path();
            if path.is_dir() {
                directories.push(path);
            } else if is_source(&path) {
                let name = path.strip_prefix(root).unwrap_or(&path);
                let name = name.display().to_string();
                faults.extend(prose_faults(&name, &fs::read_to_string(&path)?));
            }
        }
    }
    faults.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
    Ok(faults)
}

/// Returns whether a file is a source file that is checked. Tests are not: they may be long, as they have many cases.
fn is_source(path: &Path) -> bool {
    let is_test = path.components().any(|c| c.as_os_str() == "tests");
    !is_test && path.extension().is_some_and(|e| e == "rs")
}
