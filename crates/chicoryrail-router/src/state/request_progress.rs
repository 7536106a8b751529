//! What a request in progress waits for.

use std::cell::Cell;
use std::net::SocketAddr;

use chicoryrail_core::Millis;

/// What a request in progress waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The start of its body.
    #[default]
    Body,
    /// A scheduler's first reply.
    Slot,
    /// Its turn in a scheduler's queue.
    Queue,
    /// A server, selected by this host.
    Server,
    /// Its turn to run, since servers ended under it.
    Turn,
    /// A connection to its server, or to a host that passes it on.
    Connection,
    /// The response.
    Response,
    /// The rest of a response that is streamed to the caller.
    Streaming,
}

impl Stage {
    /// Returns the name in logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::Slot => "slot",
            Self::Queue => "queue",
            Self::Server => "server",
            Self::Turn => "turn",
            Self::Connection => "connection",
            Self::Response => "response",
            Self::Streaming => "streaming",
        }
    }
}

/// Progress of a request at this host.
#[derive(Debug)]
pub(crate) struct RequestProgress {
    /// The caller's request id, for logs.
    pub(crate) id: String,
    pub(crate) arrived: Millis,
    pub(crate) stage: Cell<Stage>,
    /// Host of the scheduler that was last queried; `None` if it is this host.
    pub(crate) scheduler: Cell<Option<SocketAddr>>,
    /// Number of times that the request was written to a connection.
    pub(crate) writes: Cell<u32>,
    /// Time of the last write; zero before the first.
    pub(crate) written_at: Cell<Millis>,
}

impl RequestProgress {
    /// Returns the progress of a request that has arrived.
    pub(crate) fn new(id: &str, arrived: Millis) -> Self {
        Self {
            id: id.to_owned(),
            arrived,
            stage: Cell::default(),
            scheduler: Cell::default(),
            writes: Cell::default(),
            written_at: Cell::default(),
        }
    }

    /// Records that the request is being written to a connection.
    pub(crate) fn record_write(&self, now: Millis) {
        self.written_at.set(now);
        self.writes.set(self.writes.get() + 1);
        self.stage.set(Stage::Response);
    }
}
