//! Messages on their way.

use std::fmt;

use chicoryrail_core::Millis;

/// Message on its way. It arrives at any later time or never, also over a link that was cut after it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// Query of a leader to a host.
    Query {
        /// Leader.
        from: usize,
        /// Host that is asked.
        to: usize,
        /// Term of the leader.
        term: u64,
        /// When the leader sent it.
        asked_at: Millis,
    },
    /// Reply of a host to a leader.
    Reply {
        /// Host that replies.
        from: usize,
        /// Leader.
        to: usize,
        /// Highest term that the host knows.
        term: u64,
        /// When the leader sent the query.
        asked_at: Millis,
        /// Whether the host reaches the store.
        store_reachable: bool,
    },
    /// Grant of the key to a server. It is lost if it has not arrived when its call ends.
    Grant {
        /// Leader.
        from: usize,
        /// Term of the leader.
        term: u64,
        /// Server.
        server: usize,
        /// Fencing token.
        fence: u64,
        /// When the call ends.
        until: Millis,
    },
}

impl fmt::Display for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Query { from, to, term, .. } => {
                write!(f, "the query of h{from} in term {term} to h{to}")
            }
            Self::Reply { from, to, term, .. } => {
                write!(
                    f,
                    "the reply of h{from} to h{to}, that it knows term {term},"
                )
            }
            Self::Grant { server, fence, .. } => {
                write!(f, "the grant to s{server} under fence {fence}")
            }
        }
    }
}
