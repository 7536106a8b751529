//! Evidence of a leader that the other core hosts know of no later one.

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;

use crate::Peers;
use crate::Support;

/// Maximum age of a query for the reply to count that the store is unavailable.
const STORE_REPLY_AGE_MAX: Millis = Millis(1_300);

/// Reply of a core host to a query of the leader.
///
/// Its age counts from the sending of the query, by the leader's own clock. However long the query or the reply waited, also
/// in the receive buffer of a suspended process, the host knew of no later term when the query was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermReply {
    /// Highest term of leadership that the host knows.
    pub term: u64,
    /// When the leader sent the query, by the leader's clock.
    pub asked_at: Millis,
    /// Whether the store answers the host's calls.
    pub store_reachable: bool,
}

impl TermReply {
    fn is_within(&self, now: Millis, age: Millis) -> bool {
        now.since(self.asked_at) <= age
    }
}

impl Peers {
    /// Records a host's reply to a query of this host. Replies of earlier terms, and replies to earlier queries than the
    /// last one that the host replied to, are ignored. Returns `true` if the reply reports a higher term than any before.
    pub fn record_reply(&mut self, now: Millis, host: &HostName, reply: TermReply) -> bool {
        // A query from the future was sent by an earlier process at this address.
        if reply.term < self.highest_term() || reply.asked_at > now {
            return false;
        }
        if let Some(peer) = self.hosts.get_mut(host) {
            let known = peer.reply.filter(|known| known.asked_at > reply.asked_at);
            peer.reply = Some(known.unwrap_or(reply));
        }
        self.observe_term(reply.term, None)
    }

    /// Returns the other hosts that replied to a query at most `age` old that they know no later term than `term`.
    #[must_use]
    pub fn support(&self, now: Millis, term: u64, age: Millis) -> Support {
        let replies = self.hosts.values().filter_map(|p| p.reply);
        let counted = replies.filter(|r| r.term == term && r.is_within(now, age));
        let ages = counted.map(|r| now.since(r.asked_at));
        ages.fold(Support::default(), Support::with)
    }

    /// Returns `true` if every other host replied to a recent query that the store is unavailable. A host without such a
    /// reply may still reach the store.
    #[must_use]
    pub fn all_lost_store(&self, now: Millis) -> bool {
        let lost = |r: TermReply| !r.store_reachable && r.is_within(now, STORE_REPLY_AGE_MAX);
        self.hosts.values().all(|p| p.reply.is_some_and(lost))
    }
}
