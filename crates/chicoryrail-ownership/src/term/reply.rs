//! Evidence of a leader that another core host knows of no later one.

use chicoryrail_core::Millis;

/// Reply of a core host to a query of the leader.
///
/// Its age counts from the sending of the query, by the leader's own clock. However long the query or the reply waited, also
/// in the receive buffer of a suspended process, the host knew of no later term when the query was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TermReply {
    /// Highest term of leadership that the host knows.
    pub term: u64,
    /// When the leader sent the query, by the leader's clock.
    pub asked_at: Millis,
    /// Whether the store answers the host's calls.
    pub store_reachable: bool,
}

impl TermReply {
    pub(super) fn is_within(&self, now: Millis, age: Millis) -> bool {
        now.since(self.asked_at) <= age
    }
}
