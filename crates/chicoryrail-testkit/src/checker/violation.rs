//! Violations of the guarantees.

use serde::Deserialize;
use serde::Serialize;

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Violation {
    /// Two servers ran requests for a key at the same time.
    OwnersOverlap {
        /// The key.
        key: u16,
        /// The two servers.
        servers: [String; 2],
        /// Wall-clock time in microseconds.
        time: u64,
    },
    /// A key moved to another server under a fence that is not higher than the previous one.
    FenceBack {
        /// The key.
        key: u16,
        /// The two servers.
        servers: [String; 2],
        /// The previous fence and the new one.
        fences: [u64; 2],
        /// Wall-clock time in microseconds.
        time: u64,
    },
    /// A server ran a request for a key that no record stored before had assigned to it.
    OwnerNotStored {
        /// The key.
        key: u16,
        /// The server.
        server: String,
        /// Wall-clock time in microseconds.
        time: u64,
    },
    /// An order ran more than once.
    OrderTwice {
        /// Id of the request.
        request: String,
        /// The servers that ran it.
        servers: Vec<String>,
    },
    /// An order was reported done to its caller, and never ran.
    OrderLost {
        /// Id of the request.
        request: String,
    },
    /// A request was reported as not run to its caller, and ran.
    NotRunRan {
        /// Id of the request.
        request: String,
        /// The servers that ran it.
        servers: Vec<String>,
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
    /// A planned stop of a router cut a request.
    CutByStop {
        /// Id of the request.
        request: String,
    },
    /// The fence of a key record decreased, or the record was deleted or is unreadable.
    StoredBack {
        /// Store key of the record.
        key: String,
        /// Version of the write.
        version: u64,
    },
    /// A configuration was replaced by one whose version is not higher.
    ConfigBack {
        /// Previous version.
        before: u64,
        /// Version written; 0 if it is unreadable.
        after: u64,
    },
    /// A server got a request while it was out of service.
    WorkWhileOut {
        /// The server.
        server: String,
        /// Id of the request.
        request: String,
        /// Time from the end of the delay allowed after the announcement to the start of the request, in milliseconds.
        after_ms: u64,
    },
    /// A request ran although its API key is invalid, or for another organisation than that of its API key.
    UnauthorisedRan {
        /// Id of the request.
        request: String,
        /// Organisation that was reported to the server.
        organisation: Option<String>,
    },
    /// A caller's API key reached a server.
    KeyLeaked {
        /// Id of the request.
        request: String,
    },
    /// More requests of an organisation ran in a window than its quota allows.
    OverQuota {
        /// The organisation.
        organisation: String,
        /// Requests that ran in the window with the most.
        ran: u64,
        /// Requests that the quota allows in a window.
        allowed: u64,
    },
    /// A server got more requests than its advertised limit allows.
    LimitOverrun {
        /// The server.
        server: String,
        /// Time since the server first advertised its limit, in milliseconds.
        limited_ms: u64,
        /// Requests that arrived in the preceding window.
        arrived: u32,
        /// Requests that may arrive in a window.
        allowed: u32,
    },
    /// A server that was warming up got more requests than it can handle.
    ColdOverrun {
        /// The server.
        server: String,
        /// Time since the warm-up began, in milliseconds.
        cold_ms: u64,
        /// Requests that arrived in the preceding second.
        arrived: u32,
        /// Requests that the server can handle in a second.
        bears: u32,
    },
}
