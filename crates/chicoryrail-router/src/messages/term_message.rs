//! Queries of the leader whether the other core hosts know of a later one.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;

/// Query of the leader.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct TermQuery {
    /// The leader.
    pub(crate) host: HostName,
    /// Term of the leader.
    pub(crate) term: u64,
    /// When the query is sent, by the leader's clock; only returned to the leader.
    pub(crate) sent_at: Millis,
}

/// Reply of a core host.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct TermAnswer {
    pub(crate) host: HostName,
    /// Highest leadership term that the host knows.
    pub(crate) term: u64,
    /// `sent_at` of the query.
    pub(crate) asked_at: Millis,
    /// Whether the store answers the host.
    pub(crate) store: bool,
}
