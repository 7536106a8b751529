//! A request at a server, as hosts report it to a new scheduler.

use chicoryrail_core::Millis;

/// A request that a host has at a server, as the host reports it to the server's new scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldRequest {
    /// Identifies the request among all hosts.
    pub ticket: u64,
    /// Time at which the host cancels it.
    pub deadline: Millis,
    /// Time that a usual server needs for the request, in microseconds.
    pub work_us: f64,
    /// Declared length of the body; 0 without one.
    pub body_bytes: u64,
}
