//! The kinds of violations that the checks report.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// A violation of one of the router's guarantees, as found by [`Violation::find`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Violation {
    /// Two servers ran requests for a key at the same time.
    OwnersOverlap {
        /// Key of the requests.
        key: u16,
        /// The server whose request started first, then the other.
        servers: [String; 2],
        /// Start of the later request in microseconds since 1970.
        time: u64,
    },
    /// A key moved to another server with a fencing token that is not higher than that of a previous owner, by the runs
    /// of requests or by the grants that servers accepted.
    FenceBack {
        /// Key that moved.
        key: u16,
        /// A previous owner and the new one.
        servers: [String; 2],
        /// Fencing token of the previous owner and that of the new one.
        fences: [u64; 2],
        /// Start of the new owner's first request, or time of the grant, in microseconds since 1970.
        time: u64,
    },
    /// Two servers that were up held the same keys for longer than is allowed, with requests or without.
    HeldTwice {
        /// Ranges of the keys, first and last key, inclusive.
        keys: Vec<[u16; 2]>,
        /// The server that held them first, then the other.
        servers: [String; 2],
        /// Fencing tokens of the two servers at the start of the overlap.
        fences: [u64; 2],
        /// Start of the overlap in microseconds since 1970.
        time: u64,
        /// Longest time for which both servers held a key, in milliseconds.
        overlap_ms: u64,
    },
    /// A server ran a request for a key before any stored key record had assigned the key to it.
    OwnerNotStored {
        /// Key of the request.
        key: u16,
        /// Server that ran the request.
        server: String,
        /// Start of the request in microseconds since 1970.
        time: u64,
    },
    /// An order ran more than once.
    OrderTwice {
        /// Id of the request.
        request: String,
        /// The servers that ran it.
        servers: Vec<String>,
    },
    /// An order was reported done to its caller, but never ran.
    OrderLost {
        /// Id of the request.
        request: String,
    },
    /// A request was reported as not run to its caller, but ran.
    NotRunRan {
        /// Id of the request.
        request: String,
        /// The servers that ran it.
        servers: Vec<String>,
    },
    /// A server ran a request with another body than its caller sent.
    BodyChanged {
        /// Id of the request.
        request: String,
        /// Server that ran it.
        server: String,
        /// Bytes of the body that the caller sent.
        sent: u64,
        /// Bytes of the body that the server ran.
        ran: u64,
    },
    /// A caller got an incomplete response, or the response to another request.
    AnswerWrong {
        /// Id of the request.
        request: String,
        /// What is wrong with the response.
        reason: String,
    },
    /// A caller got no response within a second after its deadline.
    Hung {
        /// Id of the request.
        request: String,
    },
    /// Callers of a host that had lost its paths to all servers were served far less often than those of the others.
    CutHostStarved {
        /// Address of the host's listener for callers.
        host: SocketAddr,
        /// Requests served at the host, and all requests there.
        served: [usize; 2],
        /// The same at the hosts in touch.
        others: [usize; 2],
    },
    /// A request ended without a complete response while its router was stopped as planned, or just after.
    CutByStop {
        /// Id of the request.
        request: String,
    },
    /// A caller got an error of its host although a server that was running the request would have responded in time.
    Abandoned {
        /// Id of the request.
        request: String,
        /// Server that was running it.
        server: String,
        /// Time from the start of the run until it was abandoned, in milliseconds.
        ran_ms: u64,
        /// Time that the caller had left then, in milliseconds.
        left_ms: u64,
    },
    /// The fencing token of a key record decreased, or the record was deleted or is unreadable.
    StoredBack {
        /// Store key of the record.
        key: String,
        /// Store revision of the write.
        version: u64,
    },
    /// A configuration was replaced by one whose version is not higher.
    ConfigBack {
        /// Previous version; 0 if the configuration was deleted or unreadable.
        before: u64,
        /// Version written; 0 if the configuration was deleted or is unreadable.
        after: u64,
    },
    /// A server started a request in a period in which it must receive none ([`crate::OutPeriod`]).
    WorkWhileOut {
        /// Server that ran the request.
        server: String,
        /// Id of the request.
        request: String,
        /// Time from the start of that period to the start of the request, in milliseconds.
        after_ms: u64,
    },
    /// A request reached a server from a host to which the server had said that it is draining.
    SentAfterDrain {
        /// Server that got the request.
        server: String,
        /// Id of the request.
        request: String,
        /// Time from the end of the first response with the notice to the send of the request by its caller, in
        /// milliseconds.
        after_ms: u64,
    },
    /// A host sent more requests to a server than may be on their way while the server wanted nothing from it.
    SentInBackoff {
        /// Server that got the requests.
        server: String,
        /// Address of the host's listener for callers.
        host: SocketAddr,
        /// Time for which the server had asked the host for nothing, in milliseconds.
        asked_ms: u64,
        /// Number of requests that arrived in that time.
        arrived: usize,
    },
    /// A request ran although its API key is invalid, or was attributed to an organisation other than that of its API
    /// key, or to any although it had no API key.
    UnauthorisedRan {
        /// Id of the request.
        request: String,
        /// Organisation that was reported to the server; `None` if none was.
        organisation: Option<String>,
    },
    /// A caller's API key reached a server.
    KeyLeaked {
        /// Id of the request.
        request: String,
    },
    /// More requests of an organisation ran in a window than its quota allows.
    OverQuota {
        /// Name of the organisation.
        organisation: String,
        /// Largest number of requests that ran in any window.
        ran: u64,
        /// Requests that the quota allows in a window.
        allowed: u64,
    },
    /// A server got more requests than its advertised limit allows.
    LimitOverrun {
        /// Server that advertised the limit.
        server: String,
        /// Time since the server first advertised its limit, in milliseconds.
        limited_ms: u64,
        /// Requests that arrived in the sliding window of the target's limit check.
        arrived: u32,
        /// Requests that may arrive in a window.
        allowed: u32,
    },
    /// A server that was warming up got more requests than it can handle.
    ColdOverrun {
        /// Server that was warming up.
        server: String,
        /// Time since the warm-up began, in milliseconds.
        cold_ms: u64,
        /// Requests that arrived in the preceding second.
        arrived: u32,
        /// Requests that the server can handle in a second.
        bears: u32,
    },
}
