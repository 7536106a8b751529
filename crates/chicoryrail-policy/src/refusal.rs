//! A request that is given up before it ran.

use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;

use crate::Ticket;

/// Shortest advice: an earlier return would meet the same queue.
const SHORTEST: Millis = Millis(100);
/// Longest advice: by then servers were replaced or the load has moved; a caller that is told to
/// stay away longer would miss the recovery.
const LONGEST: Millis = Millis(5_000);

/// The final answer to a request that has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// `Overloaded`, `DeadlinePassed` or `NoServer`; each says "not run" and is true.
    pub code: ResultCode,
    /// When a return makes sense, counted from the refusal: the `retry-after` of the answer.
    pub retry: Millis,
}

impl Refusal {
    /// Advises a return when a backlog of `drain_us` has been worked off.
    ///
    /// Load: a burst is refused within milliseconds. Harm prevented: its callers return as the same
    /// burst. The advice is therefore spread over one to two times the base by the ticket; no
    /// answer is held back for it.
    #[must_use]
    pub fn new(code: ResultCode, drain_us: u64, ticket: Ticket) -> Self {
        let base = Millis(drain_us / 1_000).clamp(SHORTEST, LONGEST);
        let spread = ticket.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 54;
        Self {
            code,
            retry: Millis(base.0 + base.0 * spread / 1_024),
        }
    }
}
