//! Stand-in for the store.

use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::KeyRecord;

use crate::HostSet;

/// The leader's key, which exists as long as its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaderKey {
    /// Leader.
    pub host: usize,
    /// Number of the term.
    pub term: u64,
    /// End of the lease.
    pub until: Millis,
}

/// Contents of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Store {
    /// Revision of the last write of the term's record; 0 if there is none.
    pub revision: u64,
    /// Number of the last term.
    pub term: u64,
    /// Recorded voters.
    pub voters: HostSet,
    /// The leader's key.
    pub leader: Option<LeaderKey>,
    /// Record of the keys.
    pub keys: KeyRecord,
    /// Hosts that are listed.
    pub listed: HostSet,
}

impl Store {
    /// Returns `true` if the leader's key belongs to a term.
    #[must_use]
    pub fn is_led(&self, term: u64) -> bool {
        self.leader.is_some_and(|l| l.term == term)
    }
}
