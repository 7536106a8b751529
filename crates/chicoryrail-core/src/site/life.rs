//! One start of a server, its incarnation.

use std::fmt;

use bincode::Decode;
use bincode::Encode;
use serde::Deserialize;
use serde::Serialize;

use crate::ServerName;

/// One start of a server, its incarnation.
///
/// A server may start again under the same name. It then has none of the keys and state of its previous start, so only
/// the name and the start time together identify a process.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct Life {
    /// Name of the server.
    pub name: ServerName,
    /// Start time of the process in Unix milliseconds, by the server's own clock; 0 if the server doesn't report it.
    pub born: u64,
}

impl Life {
    /// Creates an incarnation from the server's name and start time.
    #[must_use]
    pub const fn new(name: ServerName, born: u64) -> Self {
        Self { name, born }
    }

    /// Returns whether this is a later start of the same server, which means that `other` has ended.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.name == other.name && self.born > other.born
    }
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.born)
    }
}
