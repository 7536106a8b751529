//! The ways in which a request ends at a server.

/// How a request ended at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    Done,
    /// The request ran and took effect, but after its deadline.
    DoneLate,
    NotOwner,
    /// The queue was full, or a fault refuses the request.
    Refused,
    /// The deadline passed before the run.
    Expired,
    Cancelled,
    /// The server ended before the request did.
    Crashed,
}
