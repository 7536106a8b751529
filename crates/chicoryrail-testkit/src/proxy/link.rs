//! One link: a listener and the process behind it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::LinkFault;

/// Wait between two looks at a link's fault, which another thread may change.
pub(crate) const LOOK: Duration = Duration::from_millis(5);

/// Counts of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStats {
    /// Connections accepted.
    pub accepted: u64,
    /// Connections open.
    pub open: u64,
    /// Connections ended by a fault.
    pub broken: u64,
    /// Bytes passed up.
    pub up: u64,
    /// Bytes passed down.
    pub down: u64,
}

/// A link, which any thread may script; clones share it.
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

    /// Returns the name.
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

    /// Sets what the link does from now on, to open connections too.
    pub fn set(&self, fault: LinkFault) {
        self.state().fault = fault;
    }

    /// Lets everything pass again.
    pub fn heal(&self) {
        self.set(LinkFault::default());
    }

    /// Ends the open connections.
    pub fn reset(&self) {
        self.state().resets += 1;
    }

    /// Returns what the link does now.
    #[must_use]
    pub fn fault(&self) -> LinkFault {
        self.state().fault.clone()
    }

    /// Returns the counts.
    #[must_use]
    pub fn stats(&self) -> LinkStats {
        self.state().stats
    }

    /// Returns the seed of the draws on the link.
    pub(crate) const fn seed(&self) -> u64 {
        self.seed
    }

    pub(crate) fn resets(&self) -> u64 {
        self.state().resets
    }

    pub(crate) fn count(&self, count: impl FnOnce(&mut LinkStats)) {
        count(&mut self.state().stats);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
