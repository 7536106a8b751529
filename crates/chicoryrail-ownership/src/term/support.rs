//! Support of a leader by its voters.

use chicoryrail_core::Millis;

/// Voters that count for a leader, itself included if it votes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Support {
    /// Number of these voters.
    pub hosts: usize,
    /// Number of all voters.
    pub voters: usize,
    /// Age of the oldest evidence counted.
    pub oldest: Millis,
}

impl Support {
    /// Adds a voter with evidence of this age.
    #[must_use]
    pub(super) fn with(self, age: Millis) -> Self {
        Self {
            hosts: self.hosts + 1,
            oldest: self.oldest.max(age),
            ..self
        }
    }
}
