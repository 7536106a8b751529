//! Orders: each runs at most once.
//!
//! The controller that holds an order id's shard keeps a bounded window of claims and outcomes. A
//! gate sends an order only after the holder has given it the one claim for the id.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;

/// Asks for the right to send an order.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct OrderClaim {
    /// The caller's order id.
    pub order: String,
    /// Service that the order is for.
    pub service: ServiceName,
    /// XXH3 of method, path and content length; another value under the same id is a caller's error.
    pub print: u64,
    /// Gate that would send.
    pub gate: HostName,
    /// Random number of the claim; a claim repeated after a lost reply carries the same one.
    pub token: u64,
    /// Longest time the holder may keep the call waiting for a running order's outcome.
    pub wait: Millis,
}

/// A whole answer kept for duplicates.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct OrderAnswer {
    /// HTTP status of the server's answer.
    pub status: u16,
    /// `content-type` of the answer, where it had one.
    pub content_type: Option<String>,
    /// The body; `None` where it was larger than the window keeps.
    pub body: Option<Vec<u8>>,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum OrderOutcome {
    /// The server answered; the answer is kept.
    Done(OrderAnswer),
    /// No server ran it and none will under this claim; the id may be claimed again.
    NotRun,
    /// It may have run; it is never sent again.
    Unknown,
}

/// Reports what became of a claimed order.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct OrderClose {
    /// The caller's order id.
    pub order: String,
    /// Token of the claim.
    pub token: u64,
    /// What became of it.
    pub outcome: OrderOutcome,
}

/// Copies a change of the window to the shard's deputy.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct OrderCopy {
    /// Part of the order id space.
    pub part: u32,
    /// Epoch of the holder that copies.
    pub epoch: u64,
    /// The claim, as it was granted.
    pub claim: OrderClaim,
    /// The outcome, where the order is closed.
    pub outcome: Option<OrderOutcome>,
}

/// What the holder of the order's shard says.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum OrderReply {
    /// The gate holds the one claim and may send.
    Send,
    /// Another claim is open and did not end within the wait.
    Running,
    /// The outcome is known.
    Closed(OrderOutcome),
    /// The id was used for another order.
    Reused,
    /// Nothing is known of the id.
    Nothing,
}
