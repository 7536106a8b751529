//! Source of the store's content, and this host's role, which determines it.

use std::cell::Cell;
use std::net::SocketAddr;

use chicoryrail_core::Millis;
use chicoryrail_runtime::ChangeSignal;

use crate::messages::CrashVersion;
use crate::messages::FEED_COUNT;

/// Where this host reads the content of the store from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Source {
    /// Not chosen yet.
    #[default]
    Unknown,
    /// Watches of the store itself.
    Store,
    /// Another host, at this address, which forwards the store's changes (relay).
    Relay(SocketAddr),
}

/// Source of the store's content, and the role of this host, core or leaf.
#[derive(Debug, Default)]
pub(crate) struct SourceState {
    /// Whether this is a core host: it is listed in the store, schedules requests and may lead.
    pub(crate) is_core_host: Cell<bool>,
    /// When this host became a core host; zero before that.
    pub(crate) core_since: Cell<Millis>,
    /// Notified when this host becomes a core host.
    became_core: ChangeSignal,
    /// When the list of core hosts was first read; `None` before that.
    pub(crate) core_hosts_read_at: Cell<Option<Millis>>,
    pub(crate) source: Cell<Source>,
    /// Notified when the source changes.
    pub(crate) changed: ChangeSignal,
    /// Version of the news of requests that end servers that a relay sent last.
    pub(crate) crash_version: Cell<CrashVersion>,
    /// When a host that watches the store read the configuration in force, by this host's clock; `None` if that is not
    /// known.
    pub(crate) config_read_at: Cell<Option<Millis>>,
    /// For each feed, whether this host holds other items than its relay at the same revision, and reads all of them again.
    pub(crate) diverged: [Cell<bool>; FEED_COUNT],
    /// Time of the last reply of a relay.
    pub(crate) last_relay_reply: Cell<Millis>,
}

impl SourceState {
    /// Records that this host is a core host from `now` on.
    pub(crate) fn set_core_host(&self, now: Millis) {
        self.is_core_host.set(true);
        self.core_since.set(now);
        self.became_core.notify();
    }

    /// Waits until this host is a core host.
    pub(crate) async fn wait_until_core(&self) {
        while !self.is_core_host.get() {
            self.became_core.wait_past(self.became_core.version()).await;
        }
    }

    /// Returns `true` if this host watches the store itself.
    pub(crate) fn watches(&self) -> bool {
        self.source.get() == Source::Store
    }
}
