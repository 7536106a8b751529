//! Support of a leader by the other core hosts.

use chicoryrail_core::Millis;

/// Other core hosts that count for a leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Support {
    /// Number of these hosts.
    pub hosts: usize,
    /// Age of the oldest evidence counted.
    pub oldest: Millis,
}

impl Support {
    /// Adds a host with evidence of this age.
    #[must_use]
    pub fn with(self, age: Millis) -> Self {
        Self {
            hosts: self.hosts + 1,
            oldest: self.oldest.max(age),
        }
    }

    /// Returns `true` if these hosts and the leader are more than half of all `core_hosts`.
    #[must_use]
    pub const fn is_majority_of(&self, core_hosts: usize) -> bool {
        (self.hosts + 1) * 2 > core_hosts
    }
}
