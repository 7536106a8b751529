//! Requests of callers, and their tries.

use chicoryrail_core::Class;

/// A caller's request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) class: Class,
    pub(crate) key: u64,
    /// Whether it asks for the most wanted key.
    pub(crate) hot: bool,
    /// Server that owns the key; `None` for a free service.
    pub(crate) owner: Option<usize>,
    /// Gate that the caller's request came to.
    pub(crate) home: usize,
    pub(crate) at: u64,
    pub(crate) deadline: u64,
    pub(crate) work: u64,
    pub(crate) done: bool,
    pub(crate) retried: bool,
    pub(crate) copies: Vec<usize>,
    pub(crate) tries: u32,
    pub(crate) runs: u32,
}

/// One try of a request; the index is its ticket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Copy {
    pub(crate) request: usize,
    /// Gate that holds the queue it is offered to.
    pub(crate) gate: usize,
    pub(crate) server: usize,
    pub(crate) sent: u64,
    pub(crate) state: State,
}

/// Where a copy is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Asked,
    Waiting,
    Running,
    /// Its end is on the way to the home gate.
    Returning,
    Ended,
}

/// How a copy ended at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum End {
    Answered,
    /// Refused before it ran, certainly.
    Refused,
    /// The connection broke; it may have run.
    Cut,
}
