//! Typed events of the time line.

use chicoryrail_core::HostName;
use serde::Deserialize;
use serde::Serialize;

/// A hybrid logical time: the wall clock, raised where needed so that a reply's stamp is above its
/// request's.
///
/// It orders the time line and nothing else: no decision reads it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Milliseconds since 1970.
    pub wall: u64,
    /// Order within the millisecond.
    pub count: u32,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The process started.
    Started,
    /// The process takes no new work any more.
    Leaving,
    /// The process ends.
    Stopped,
    /// The process noticed that it had been paused.
    Paused,
    /// A configuration came into force.
    ConfigApplied,
    /// The store stopped answering.
    StoreLost,
    /// The store answers again.
    StoreBack,
    /// A shard was taken.
    ShardTaken,
    /// A shard was lost or released.
    ShardLost,
    /// A slice starts to move.
    MoveStarted,
    /// A slice has its new owner.
    MoveEnded,
    /// A grant was given to a server.
    Granted,
    /// A server released slices.
    Released,
    /// A server changed its state.
    ServerState,
    /// A peer changed its state.
    PeerState,
    /// A route table came into force.
    RoutesApplied,
    /// An order was claimed.
    OrderClaimed,
    /// An order's outcome became known.
    OrderClosed,
    /// A request ended in an error.
    RequestFailed,
    /// A server was ejected or let back in by a gate.
    Ejection,
    /// An operator acted.
    Operator,
    /// An invariant did not hold.
    Violation,
}

/// An event of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Hybrid logical time.
    pub stamp: Stamp,
    /// Number within the process, without gaps.
    pub seq: u64,
    /// Host of the process.
    pub host: HostName,
    /// Name of the program.
    pub program: String,
    /// What happened.
    pub kind: EventKind,
    /// What it happened to: a server, shard, request id, data centre or key.
    pub subject: String,
    /// Details, `name=value` separated by spaces.
    pub detail: String,
}
