//! Where this host reads the content of the store from.

use std::cell::Cell;
use std::net::SocketAddr;

use chicoryrail_core::Millis;
use chicoryrail_runtime::ChangeSignal;

/// Where this host reads the content of the store from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Source {
    /// Not chosen yet.
    #[default]
    Unknown,
    /// Watches of the store itself.
    Store,
    /// The relay of another host, at this address.
    Relay(SocketAddr),
}

/// Role of this host, core or leaf, and its source.
#[derive(Debug, Default)]
pub(crate) struct SourceState {
    /// Whether this is a core host: it is listed in the store, schedules requests and may lead.
    pub(crate) core: Cell<bool>,
    /// When the list of core hosts was first read; `None` before that.
    pub(crate) core_known_at: Cell<Option<Millis>>,
    pub(crate) source: Cell<Source>,
    /// Notified when the source changes.
    pub(crate) changed: ChangeSignal,
    /// Time of the last reply of a relay.
    pub(crate) last_reply: Cell<Millis>,
}

impl SourceState {
    /// Returns whether this host watches the store itself.
    pub(crate) fn watches(&self) -> bool {
        self.source.get() == Source::Store
    }
}
