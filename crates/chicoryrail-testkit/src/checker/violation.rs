//! Broken promises.

use serde::Deserialize;
use serde::Serialize;

/// A promise that was broken.
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
    /// A key went to another server under a fence that is not above the one before.
    FenceBack {
        /// The key.
        key: u16,
        /// The two servers.
        servers: [String; 2],
        /// The two fences.
        fences: [u64; 2],
        /// Wall-clock time in microseconds.
        time: u64,
    },
    /// A server ran a request for a key that no stored record had given it.
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
    /// A caller was told that an order is done, and it never ran.
    OrderLost {
        /// Id of the request.
        request: String,
    },
    /// A caller was told that a request was not run, and it ran.
    NotRunRan {
        /// Id of the request.
        request: String,
        /// The servers that ran it.
        servers: Vec<String>,
    },
    /// A caller was given an answer that is not its own or not whole.
    AnswerWrong {
        /// Id of the request.
        request: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A caller was kept waiting past its deadline.
    Hung {
        /// Id of the request.
        request: String,
    },
    /// A planned stop of a router cut a request.
    CutByStop {
        /// Id of the request.
        request: String,
    },
    /// The fence of a key record went back, or the record was deleted.
    StoredBack {
        /// Key of the record.
        key: String,
        /// Version of the write.
        version: u64,
    },
    /// A configuration was replaced by one that is not higher.
    ConfigBack {
        /// Version before.
        before: u64,
        /// Version written; 0 where it can't be read.
        after: u64,
    },
    /// A server got work although it was out of service.
    WorkWhileOut {
        /// The server.
        server: String,
        /// Id of the request.
        request: String,
        /// Time since nothing more should have come, in milliseconds.
        after_ms: u64,
    },
    /// A request ran whose API key opens nothing, or in the name of another organisation than its key's.
    UnauthorisedRan {
        /// Id of the request.
        request: String,
        /// Organisation that the server was told.
        organisation: Option<String>,
    },
    /// A server was given a caller's API key.
    KeyLeaked {
        /// Id of the request.
        request: String,
    },
    /// More requests of an organisation ran in a window than its limit allows.
    OverQuota {
        /// The organisation.
        organisation: String,
        /// Requests that ran in the fullest window.
        ran: u64,
        /// Requests that it allows.
        allowed: u64,
    },
    /// A server was given more than the rate that it named allows.
    LimitOverrun {
        /// The server.
        server: String,
        /// Time since it first named its limit, in milliseconds.
        limited_ms: u64,
        /// Requests that arrived in the window before.
        arrived: u32,
        /// Requests that may arrive in a window.
        allowed: u32,
    },
    /// A cold server was given more than it can bear.
    ColdOverrun {
        /// The server.
        server: String,
        /// Time since it turned cold, in milliseconds.
        cold_ms: u64,
        /// Requests that arrived in the second before.
        arrived: u32,
        /// Requests that it bears in a second.
        bears: u32,
    },
}
