//! Limits that a configuration sets for callers.

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
    /// They are as large as usual limits. A host that has no configuration yet applies the same head size and times,
    /// and no limit on bodies: it should not refuse a request that its configuration may allow.
    fn default() -> Self {
        Self {
            max_head: 16 << 10,
            max_body: 64 << 20,
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}
