//! What a queue wants done with a request that waited in it.

use crate::Refusal;
use crate::ServerId;
use crate::Ticket;

/// What a queue wants done with a request that waited in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send it to the server now; the slot is taken.
    Send(Ticket, ServerId),
    /// Answer it with the refusal now; it has not run.
    Refuse(Ticket, Refusal),
}
