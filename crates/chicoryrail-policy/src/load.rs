//! The load in front of a gate's servers, as other gates are told.

use serde::Deserialize;
use serde::Serialize;

/// The load in front of a gate's servers of one service.
///
/// A gate computes it exactly for its own queue and hands it on with each answer that it forwards;
/// for the others it is a hint that ages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Slots that would take a lookup at once; a suspected server's slots don't count.
    pub free: u32,
    /// Slots in all, without those of suspected servers.
    pub slots: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Expected wait of a further lookup in microseconds; 0 while slots are free.
    pub wait_us: u32,
    /// Expected service time of a lookup in microseconds.
    pub service_us: u32,
    /// Whether a suspected server waits for a lookup as a probe; heeded only by its own gate.
    pub probe: bool,
}
