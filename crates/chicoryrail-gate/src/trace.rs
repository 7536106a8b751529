//! What is known of the sends of one request.

use std::cell::Cell;

/// Counts the sends of a request that a server may have run; shared by all tries of the request.
///
/// A send is counted when it is handed to a connection, and taken back only with a proof that no
/// server ran it: the bytes never left, or the other side says so.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    open: Cell<u32>,
    claimed: Cell<bool>,
}

impl Trace {
    /// Notes that this process, or the gate that sent the request on, holds the order's claim.
    pub(crate) fn claim(&self) {
        self.claimed.set(true);
    }

    /// Notes a send.
    pub(crate) fn wrote(&self) {
        self.open.set(self.open.get() + 1);
    }

    /// Notes that a send certainly ran nowhere.
    pub(crate) fn unran(&self) {
        self.open.set(self.open.get().saturating_sub(1));
    }

    /// Tells whether the order's claim is held.
    pub(crate) fn is_claimed(&self) -> bool {
        self.claimed.get()
    }

    /// Tells whether a server may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.open.get() > 0
    }
}
