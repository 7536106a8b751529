//! Messages about requests that end servers, and about the runs of suspected ones.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::Fingerprint;
use chicoryrail_core::Life;
use chicoryrail_core::ServiceName;
use chicoryrail_policy::CrashRecord;

/// What a host knows of requests under which servers ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct CrashNews {
    pub(crate) records: Vec<RequestRecord>,
    /// Servers that accept connections although a host reported their end.
    pub(crate) alive: Vec<Life>,
    /// Whether the ends were seen just now. Those who hear of them check whether they reach the servers.
    pub(crate) is_new: bool,
}

/// Evidence against one request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct RequestRecord {
    pub(crate) request: Fingerprint,
    pub(crate) record: CrashRecord,
}

/// A call to the host that lets the suspected requests of a service run.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) enum ProbeCall {
    /// Asks to run a request.
    Begin(ProbeQuery),
    /// Reports that a run has ended, and what is known of the request now.
    End { ticket: u64, news: CrashNews },
}

/// A request that is about to be sent to a server.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct ProbeQuery {
    pub(crate) ticket: u64,
    pub(crate) service: ServiceName,
    pub(crate) request: Fingerprint,
    /// Time left until the request's deadline, in milliseconds.
    pub(crate) left: u64,
    /// What the calling host knows.
    pub(crate) news: CrashNews,
}

/// Reply to a [`ProbeCall`].
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct ProbeReply {
    pub(crate) granted: bool,
    /// What the replying host knows of the request.
    pub(crate) news: CrashNews,
}
