//! What a comment must not hold, and how long a file may be.

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;

/// Lines of a file from which on it is to be split by job.
const LONGEST: usize = 300;

/// Files that are longer, and why one job takes so much.
const LONG: [(&str, &str); 8] = [
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
        "one table of hosts and the questions to it",
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
        "crates/chicoryrail-testkit/src/chaos/act.rs",
        "one list of faults and how each is done",
    ),
    (
        "crates/chicoryrail-testkit/src/store/server.rs",
        "one protocol, each call a method",
    ),
];

/// Words that no comment holds: pictures that were given up, and what the code must not know of.
const BANNED: [&str; 8] = [
    "fleetbench",
    "the bench",
    "mean worth",
    "keeper",
    "keeping of keys",
    "the desk",
    "issue #",
    "letter 4",
];

/// A place in the sources that a newcomer would stumble on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProseFault {
    /// File, from the root of the repository.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for ProseFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.reason)
    }
}

/// Returns what is wrong with the comments and the length of a file.
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
    if lines > LONGEST && !LONG.iter().any(|(long, _)| *long == file) {
        faults.push(ProseFault {
            file: file.to_owned(),
            line: lines,
            reason: format!("more than {LONGEST} lines: split it by job"),
        });
    }
    faults
}

fn is_comment(line: &str) -> bool {
    line.trim_start().starts_with("//")
}

fn comment_fault(comment: &str) -> Option<String> {
    let lower = comment.to_lowercase();
    if let Some(word) = BANNED.iter().find(|w| lower.contains(*w)) {
        return Some(format!("a comment holds {word:?}"));
    }
    has_date(comment).then(|| "a comment holds a date".to_owned())
}

/// Tells whether a text holds a date like the first day of a century's year, written year, month, day.
fn has_date(text: &str) -> bool {
    let bytes = text.as_bytes();
    bytes.windows(10).any(|w| {
        let digits = |range: std::ops::Range<usize>| w[range].iter().all(u8::is_ascii_digit);
        digits(0..4) && w[4] == b'-' && digits(5..7) && w[7] == b'-' && digits(8..10)
    })
}

/// Checks all sources below the root of the repository.
///
/// # Errors
///
/// Returns why a file or folder can't be read.
pub fn check_sources(root: &Path) -> io::Result<Vec<ProseFault>> {
    let mut faults = Vec::new();
    let mut folders = vec![root.join("crates"), root.join("platform/src")];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.is_dir() {
                folders.push(path);
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

/// Tells whether a file is a source of a program; a test may be as long as its cases are many.
fn is_source(path: &Path) -> bool {
    let is_test = path.components().any(|c| c.as_os_str() == "tests");
    !is_test && path.extension().is_some_and(|e| e == "rs")
}
