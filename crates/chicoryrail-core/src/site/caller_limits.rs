//! What a caller may send.

use crate::Millis;

/// Bounds on callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub head: usize,
    /// Largest body of a request in bytes.
    pub body: u64,
    /// Time in which a head must arrive.
    pub head_time: Millis,
    /// Time after which an unused connection may be closed.
    pub idle: Millis,
}

impl Default for CallerLimits {
    /// The limits in force until the first configuration: as large as the usual ones, so that no
    /// caller that keeps to its configuration is turned away by a host that does not know it yet.
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 64 << 20,
            head_time: Millis(3_000),
            idle: Millis(15_000),
        }
    }
}
