//! A place in a source file that breaks a rule.

use std::fmt;

/// A place in a source file that breaks a rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceFault {
    /// Path of the file, relative to the root of the repository.
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// The rule that is broken.
    pub reason: String,
}

impl fmt::Display for SourceFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.reason)
    }
}
