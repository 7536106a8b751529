//! The record of the requests that a target ran, which the checker evaluates.

use std::collections::VecDeque;
use std::io;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use crate::BodyMark;
use crate::HoldChange;
use crate::ServerStart;

/// A request that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Name of the server.
    pub server: String,
    /// Service of the server.
    pub service: String,
    /// Key of the request; `None` for a service without keys.
    pub key: Option<u16>,
    /// Id of the request.
    pub request: String,
    /// Whether the request is an order, which must run at most once.
    pub order: bool,
    /// Organisation named by the host, if any.
    #[serde(default)]
    pub organisation: Option<String>,
    /// The request's body; `None` if it is not known.
    #[serde(default)]
    pub body: Option<BodyMark>,
    /// Whether the request carried the caller's API key, which must not reach a server.
    #[serde(default)]
    pub key_leaked: bool,
    /// Fencing token of the server's lease on the key; `None` for a service without keys.
    pub fence: Option<u64>,
    /// Start of the run in microseconds since 1970.
    pub start: u64,
    /// End of the run in microseconds since 1970: the time at which it took effect.
    pub end: u64,
}

/// A lookup that was cancelled while it ran: its connection was closed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelledRun {
    /// Name of the server.
    pub server: String,
    /// Id of the request.
    pub request: String,
    /// Start of the run in microseconds since 1970.
    pub start: u64,
    /// Time at which the run would have ended, in microseconds since 1970.
    pub due: u64,
    /// Time at which the run was cancelled, in microseconds since 1970.
    pub time: u64,
}

/// More requests arrived at a server that is warming up than it can serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overrun {
    /// Name of the server.
    pub server: String,
    /// Time of the last arrival in microseconds since 1970.
    pub time: u64,
    /// Time since the start of the warm-up in milliseconds.
    pub cold_ms: u64,
    /// Number of requests that arrived in the last second.
    pub arrived: u32,
    /// Number of requests that may arrive in a second.
    pub bears: u32,
}

/// More requests arrived at a server than the rate limit that it advertises allows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitOverrun {
    /// Name of the server.
    pub server: String,
    /// Time of the last arrival in microseconds since 1970.
    pub time: u64,
    /// Time since the server first advertised a limit, in milliseconds.
    pub limited_ms: u64,
    /// Number of requests that arrived in the last window.
    pub arrived: u32,
    /// Number of requests that may arrive in a window.
    pub allowed: u32,
}

/// A response in which a server asked the host that sent the request for something.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Name of the server.
    pub server: String,
    /// Start of the server's process in milliseconds since 1970.
    pub born: u64,
    /// Id of the request.
    pub request: String,
    /// Time of the response in microseconds since 1970.
    pub time: u64,
    /// What the server asked for.
    pub kind: NoticeKind,
}

/// A request that arrived at a server while the server wanted nothing from at least one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// Name of the server.
    pub server: String,
    /// Start of the server's process in milliseconds since 1970.
    pub born: u64,
    /// Id of the request.
    pub request: String,
    /// Time of the arrival in microseconds since 1970.
    pub time: u64,
}

/// What a server asks of a host in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NoticeKind {
    /// The server is draining and wants no more requests after its drain timeout.
    Draining,
    /// The server refused the request and wants nothing from the host for a time.
    Backoff {
        /// Length of the time in milliseconds.
        for_ms: u64,
    },
}

/// The record of a target; the JSON response to `GET /testkit/ledger`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Requests that took effect, oldest first. A target keeps the last 200,000.
    pub runs: VecDeque<Run>,
    /// Lookups cancelled while they ran, and while the server still owned their keys. A target keeps the first 200,000.
    #[serde(default)]
    pub cancelled_runs: Vec<CancelledRun>,
    /// Overruns during warm-ups. A target keeps the first 1,000.
    pub overruns: Vec<Overrun>,
    /// Overruns of the advertised rate limit. A target keeps the first 1,000.
    #[serde(default)]
    pub limit_overruns: Vec<LimitOverrun>,
    /// Responses with a notice to the host. A target keeps the first 200,000.
    #[serde(default)]
    pub notices: Vec<Notice>,
    /// Requests that arrived while the server wanted nothing from at least one host. A target keeps the first 200,000.
    #[serde(default)]
    pub arrivals: Vec<Arrival>,
    /// Grants and releases of keys. A target keeps the first 200,000.
    #[serde(default)]
    pub holds: Vec<HoldChange>,
    /// Starts of the server's process. The file has one for each process that wrote to it.
    #[serde(default)]
    pub starts: Vec<ServerStart>,
    /// Total number of requests that took effect.
    pub done: u64,
    /// Requests refused because the server does not own the key.
    pub not_held: u64,
    /// Requests shed because the queue was full.
    pub shed: u64,
    /// Requests not run because their deadline had passed.
    pub late: u64,
    /// Lookups cancelled because their caller disconnected.
    pub cancelled: u64,
    /// Grants applied.
    pub grants: u64,
    /// Releases applied.
    pub releases: u64,
    /// Highest number of requests in flight, including queued ones.
    pub max_busy: u32,
    /// Connections closed because of the limit on open connections.
    pub connections_refused: u64,
}

/// A line of the ledger's file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Line {
    Run(Run),
    CancelledRun(CancelledRun),
    Overrun(Overrun),
    LimitOverrun(LimitOverrun),
    Notice(Notice),
    Arrival(Arrival),
    Hold(HoldChange),
    Started(ServerStart),
}

impl Ledger {
    /// Reads the records of a ledger's file; the counters other than that of the runs stay 0.
    ///
    /// An unterminated last line, left by a process that was killed while it wrote, is ignored.
    ///
    /// # Errors
    ///
    /// Returns the system's error, or `InvalidData` or `UnexpectedEof` for a terminated line that can't be parsed.
    pub fn read(path: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        let mut ledger = Self::default();
        for line in text.split_inclusive('\n').filter(|l| l.ends_with('\n')) {
            match serde_json::from_str(line).map_err(io::Error::from)? {
                Line::Run(run) => ledger.runs.push_back(run),
                Line::CancelledRun(run) => ledger.cancelled_runs.push(run),
                Line::Overrun(overrun) => ledger.overruns.push(overrun),
                Line::LimitOverrun(overrun) => ledger.limit_overruns.push(overrun),
                Line::Notice(notice) => ledger.notices.push(notice),
                Line::Arrival(arrival) => ledger.arrivals.push(arrival),
                Line::Hold(change) => ledger.holds.push(change),
                Line::Started(start) => ledger.starts.push(start),
            }
        }
        ledger.done = ledger.runs.len() as u64;
        Ok(ledger)
    }
}
