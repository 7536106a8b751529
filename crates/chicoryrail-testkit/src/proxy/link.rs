//! A link: the address that callers use, the upstream process and the current fault.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::LinkFault;

/// Interval at which a link's fault and resets are polled. Another thread may change them.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Statistics of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStats {
    /// Number of accepted connections.
    pub accepted: u64,
    /// Number of open connections.
    pub open: u64,
    /// Number of connections closed by a fault, a reset or an I/O error.
    pub broken: u64,
    /// Bytes forwarded up.
    pub up: u64,
    /// Bytes forwarded down.
    pub down: u64,
}

/// A link whose fault any thread may change; clones share its state.
#[derive(Clone, Debug)]
pub struct Link {
    name: Arc<str>,
    addr: SocketAddr,
    upstream: SocketAddr,
    seed: u64,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    fault: LinkFault,
    /// Number of calls of [`Link::reset_connections`].
    resets: u64,
    stats: LinkStats,
}

impl Link {
    pub(crate) fn new(name: &str, addr: SocketAddr, upstream: SocketAddr, seed: u64) -> Self {
        Self {
            name: name.into(),
            addr,
            upstream,
            seed,
            state: Arc::default(),
        }
    }

    /// Returns the name of the link.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address that callers use.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the address of the process behind the link.
    #[must_use]
    pub const fn upstream(&self) -> SocketAddr {
        self.upstream
    }

    /// Replaces the fault of the link; it applies to open connections too.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state().fault = fault;
    }

    /// Ends the fault.
    pub fn clear_fault(&self) {
        self.set_fault(LinkFault::default());
    }

    /// Closes the open connections.
    pub fn reset_connections(&self) {
        self.state().resets += 1;
    }

    /// Returns the current fault.
    #[must_use]
    pub fn fault(&self) -> LinkFault {
        self.state().fault.clone()
    }

    /// Returns the statistics of the link.
    #[must_use]
    pub fn stats(&self) -> LinkStats {
        self.state().stats
    }

    /// Returns the seed of the link's random choices.
    pub(crate) const fn seed(&self) -> u64 {
        self.seed
    }

    /// Returns the number of resets so far.
    pub(crate) fn resets(&self) -> u64 {
        self.state().resets
    }

    pub(crate) fn update_stats(&self, update: impl FnOnce(&mut LinkStats)) {
        update(&mut self.state().stats);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
