//! From whom this host hears what the store says.

use std::cell::Cell;
use std::net::SocketAddr;

use chicoryrail_core::Millis;
use chicoryrail_runtime::Signal;

/// From whom this host hears what the store says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Source {
    /// From nobody yet.
    #[default]
    Unknown,
    /// From the store, which it watches.
    Store,
    /// From another host.
    Relay(SocketAddr),
}

/// This host's part among the others, and its source.
#[derive(Debug, Default)]
pub(crate) struct SourceState {
    /// Whether this is a core host: one that the store lists, and that schedules and may lead.
    pub(crate) core: Cell<bool>,
    /// Since when it is known which core hosts there are; `None` at the start.
    pub(crate) listed: Cell<Option<Millis>>,
    pub(crate) source: Cell<Source>,
    /// Notified when the source changes.
    pub(crate) changed: Signal,
    /// When a relay last replied.
    pub(crate) replied: Cell<Millis>,
}

impl SourceState {
    /// Tells whether this host watches the store itself.
    pub(crate) fn watches(&self) -> bool {
        self.source.get() == Source::Store
    }
}
