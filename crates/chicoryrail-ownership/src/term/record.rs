//! A term as the store records it.

use chicoryrail_core::HostName;
use serde::Deserialize;
use serde::Serialize;

use crate::term::Voters;

/// Last term of leadership and its voters, kept in the store also when the leader's lease has ended.
///
/// A leader is elected by writing the leader's key and this record in one transaction, which fails if the record has
/// changed since it was read. So a successor knows the voters that its predecessor counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// Number of the term; `None` in the election's own write, whose revision is the number.
    pub term: Option<u64>,
    /// Leader of the term.
    pub leader: HostName,
    /// Hosts whose support counts in this term.
    pub voters: Voters,
}

impl TermRecord {
    /// Returns the number of the term of a record that was read at this revision.
    #[must_use]
    pub fn term_at(&self, revision: u64) -> u64 {
        self.term.unwrap_or(revision)
    }
}
