//! Limits on callers' connections and requests.

use crate::Millis;

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub head: usize,
    /// Maximum size of a request body in bytes.
    pub body: u64,
    /// Maximum time for a request head to arrive.
    pub head_time: Millis,
    /// Time after which an idle connection may be closed.
    pub idle: Millis,
}

impl Default for CallerLimits {
    /// Returns the limits of a configuration file that sets none.
    ///
    /// They are as large as usual limits. A host without a configuration uses the same head size and times and has no
    /// limit on bodies, so it refuses no caller that stays within the configuration it doesn't know yet.
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 64 << 20,
            head_time: Millis(3_000),
            idle: Millis(15_000),
        }
    }
}
