//! Counts the bytes of request bodies that a server holds.

use std::rc::Rc;

use crate::target::state::State;

/// The body of a request that the server holds until the guard is dropped.
pub(super) struct HeldBody {
    state: Rc<State>,
    bytes: u64,
}

impl HeldBody {
    /// Counts the bytes as held.
    pub(super) fn new(state: &Rc<State>, bytes: u64) -> Self {
        state.held_bytes.set(state.held_bytes.get() + bytes);
        Self {
            state: Rc::clone(state),
            bytes,
        }
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let held = &self.state.held_bytes;
        held.set(held.get() - self.bytes);
    }
}
