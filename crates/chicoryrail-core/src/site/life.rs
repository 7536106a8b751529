//! One life of a server.

use std::fmt;

use bincode::Decode;
use bincode::Encode;
use serde::Deserialize;
use serde::Serialize;

use crate::ServerName;

/// One start of a server.
///
/// A server may start again under its old name; it then holds nothing of before. Only name and time
/// of birth together say which process is meant.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct Life {
    /// Name of the server.
    pub name: ServerName,
    /// Start of the process in Unix milliseconds, by the server's own clock; 0 where it is not told.
    pub born: u64,
}

impl Life {
    /// Builds a life from the server's name and its time of birth.
    #[must_use]
    pub const fn new(name: ServerName, born: u64) -> Self {
        Self { name, born }
    }

    /// Tells whether this is a later life of the same server, so that `other` has ended.
    #[must_use]
    pub fn succeeds(&self, other: &Self) -> bool {
        self.name == other.name && self.born > other.born
    }
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.born)
    }
}
