//! Limits on callers' connections and requests.

use crate::Millis;

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub max_head: usize,
    /// Maximum size of a request body in bytes.
    pub max_body: u64,
    /// Maximum time for a request head to arrive.
    pub head_timeout: Millis,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    /// Returns the limits of a configuration file that sets none.
    ///
    /// They are as large as usual limits. A host without a configuration uses the same head size and times and has no
    /// limit on bodies, so it refuses no caller that stays within the configuration it doesn't know yet.
    fn default() -> Self {
        Self {
            max_head: 16 << 10,
            max_body: 64 << 20,
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}
