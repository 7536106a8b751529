//! What a host knows of its own path to one server.

use chicoryrail_core::Millis;

/// Time after a failed connection in which the server is asked through other hosts at once, and this host says to them
/// that it can't reach the server. After it the server may be back.
const FAILURE_MEMORY: Millis = Millis(500);

/// Minimum time between two checks whether a lost path is back.
const CHECK_INTERVAL: Millis = Millis(300);

/// Maximum age of the last direct contact for a path to count as working while the paths to other servers of the same
/// service are lost.
const CONTACT_AGE_MAX: Millis = Millis(1_000);

/// How a host should send a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChoice {
    /// Directly.
    Direct,
    /// Through another host; the server may be unreachable for all hosts.
    ForwardUnconfirmed,
    /// Through another host: others reach the server, or are likely to.
    Forward,
}

/// Path of one host to one server.
///
/// A failed connection alone does not tell whether the server or the path has failed. A host that can't connect
/// therefore asks other hosts: if one of them reaches the server, the path is lost, which says nothing of the server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerPath {
    /// Time of the last failed connection, if there was no contact since.
    failed_at: Option<Millis>,
    /// Whether another host reached the server after this one could not.
    lost: bool,
    /// Time of the last direct contact.
    contact_at: Option<Millis>,
    checked_at: Option<Millis>,
}

impl ServerPath {
    /// Records a response or a new connection of the server.
    pub const fn record_contact(&mut self, now: Millis) {
        self.contact_at = Some(now);
        self.failed_at = None;
        self.lost = false;
    }

    /// Records that no connection could be opened.
    pub const fn record_failure(&mut self, now: Millis) {
        self.failed_at = Some(now);
    }

    /// Records that another host reached the server. Returns `true` if the path counts as lost from now on.
    pub const fn record_forwarded(&mut self) -> bool {
        let is_new = !self.lost && self.failed_at.is_some();
        self.lost |= is_new;
        is_new
    }

    /// Records that other hosts could not reach the server either: the server has failed rather than the path.
    pub const fn record_server_failure(&mut self, now: Millis) {
        self.lost = false;
        self.failed_at = Some(now);
    }

    /// Returns `true` if other hosts reach the server and this one does not.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.lost
    }

    /// Returns `true` if this host could not reach the server within the last second, and has not since.
    #[must_use]
    pub fn failed_lately(&self, now: Millis) -> bool {
        self.lost || is_within(now, self.failed_at, CONTACT_AGE_MAX)
    }

    /// Returns `true` if this host reached the server within the last second.
    #[must_use]
    pub fn reached_lately(&self, now: Millis) -> bool {
        self.failed_at.is_none() && is_within(now, self.contact_at, CONTACT_AGE_MAX)
    }

    /// Returns how to send a request now. `others_lost` is `true` while the paths to several other servers of the same
    /// service are lost: the path to this one is then likely to be lost as well, unless it was used lately.
    #[must_use]
    pub fn choose(&self, now: Millis, others_lost: bool) -> PathChoice {
        let is_doubted = others_lost && !is_within(now, self.contact_at, CONTACT_AGE_MAX);
        if self.lost || is_doubted {
            PathChoice::Forward
        } else if is_within(now, self.failed_at, FAILURE_MEMORY) {
            PathChoice::ForwardUnconfirmed
        } else {
            PathChoice::Direct
        }
    }

    /// Returns `true` if the path should be checked now, and counts the check.
    pub fn begin_check(&mut self, now: Millis) -> bool {
        let is_due = self
            .checked_at
            .is_none_or(|at| now.since(at) >= CHECK_INTERVAL);
        if is_due {
            self.checked_at = Some(now);
        }
        is_due
    }
}

fn is_within(now: Millis, at: Option<Millis>, age: Millis) -> bool {
    at.is_some_and(|at| now.since(at) <= age)
}
