//! A host.

use chicoryrail_core::Millis;
use chicoryrail_ownership::term::Supporter;

use crate::HostSet;
use crate::Leader;

/// What a host does.
#[derive(Clone, Debug, Default)]
pub enum Role {
    /// It waits for the leader's key to end.
    #[default]
    Follower,
    /// It has read the record of the last term.
    Candidate {
        /// When it began to campaign and to open its lease.
        sent_at: Millis,
        /// Revision of the record that it has read.
        revision: u64,
        /// Recorded voters.
        voters: HostSet,
    },
    /// It was elected.
    Leader(Leader),
}

/// A host with its memory.
#[derive(Clone, Debug, Default)]
pub struct Host {
    /// Whether the process stands still.
    pub paused: bool,
    /// Highest term that it knows.
    pub highest_term: u64,
    /// Whether the process has read the record of the last term since its start.
    pub has_read: bool,
    /// Whether it replies to queries.
    pub supporter: Supporter,
    /// Hosts that it believes to be listed.
    pub listed: HostSet,
    /// What it does.
    pub role: Role,
}

impl Host {
    /// Returns its leadership.
    #[must_use]
    pub const fn leader(&self) -> Option<&Leader> {
        match &self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }
}
