//! How plans respond to the observed load.

use crate::keys::KeyHistory;

/// How plans respond to the observed load.
#[derive(Clone, Copy, Debug)]
pub enum PlanPolicy<'a> {
    /// Each plan looks at the present load only.
    Immediate,
    /// For services whose callers have time to wait: plans also take into account what earlier ones observed. An
    /// overloaded key gets a fast server of its own.
    Steady(&'a KeyHistory),
}
