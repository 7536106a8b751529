//! The count of waiting watches.

use std::cell::RefCell;
use std::rc::Rc;

use crate::store::state::State;

/// Counts a watch as waiting until dropped; a watch whose caller disconnects is dropped too.
pub(super) struct WatchGuard(Rc<RefCell<State>>);

impl WatchGuard {
    pub(super) fn new(state: &Rc<RefCell<State>>) -> Self {
        state.borrow_mut().stats.waiting += 1;
        Self(Rc::clone(state))
    }
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.0.borrow_mut().stats.waiting -= 1;
    }
}
