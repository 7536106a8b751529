//! What a queue answers to an offered request.

use crate::Refusal;
use crate::ServerId;

/// What a queue answers to an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to the server now; the slot is taken.
    Send(ServerId),
    /// It waits; [`ServerQueue::poll`](crate::ServerQueue::poll) brings it out again.
    Wait,
    /// Answer it with the refusal now; it has not run.
    Refuse(Refusal),
}
