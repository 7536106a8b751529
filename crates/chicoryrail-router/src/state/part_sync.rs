//! Up to which change a scheduler knows the servers of its part.

use std::collections::BTreeMap;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_policy::ServerId;

use crate::state::Target;

/// What a scheduler has seen of its part's servers.
#[derive(Debug, Default)]
pub(crate) struct PartSync {
    /// Number of the last change.
    pub(crate) seen: u64,
    /// When every server was last looked at.
    pub(crate) full_at: Millis,
    pub(crate) rules: SyncRules,
    /// Servers whose state changes with time: those that drain, or advertise a rate limit.
    pub(crate) timed: BTreeMap<ServerId, Rc<Target>>,
}

/// What concerns all servers of a part.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SyncRules {
    /// Whether draining servers get no requests, since others are ready.
    pub(crate) ready_only: bool,
    /// Bound on requests per second from this host, and those that it sees, to a server that is warming up.
    pub(crate) warmup_rate_max: f64,
    /// Part of the rate limits that servers advertise that is for this host and those that it sees.
    pub(crate) visible_share: f64,
}
