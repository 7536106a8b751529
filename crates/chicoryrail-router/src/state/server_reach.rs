//! Whether requests of this host find a way to servers.

use std::cell::Cell;

use chicoryrail_core::Millis;

/// Time without a way to any server, directly or through other hosts, after which this host is not ready.
const NO_WAY_TIME_MAX: Millis = Millis(1_000);

/// Whether this host finds any way to servers.
#[derive(Debug, Default)]
pub(crate) struct ServerReach {
    /// Since when every request found no way; `None` if the last one found one.
    blocked_since: Cell<Option<Millis>>,
}

impl ServerReach {
    /// Records that a server was reached, directly or through another host.
    pub(crate) fn record_way(&self) {
        self.blocked_since.set(None);
    }

    /// Records that a request found no way to its server.
    pub(crate) fn record_no_way(&self, now: Millis) {
        let since = self.blocked_since.get().unwrap_or(now);
        self.blocked_since.set(Some(since));
    }

    /// Returns `true` if requests have found no way for so long that callers should use other hosts.
    pub(crate) fn is_blocked(&self, now: Millis) -> bool {
        let since = self.blocked_since.get();
        since.is_some_and(|at| now.since(at) > NO_WAY_TIME_MAX)
    }
}
