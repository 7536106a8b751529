//! Watches that wait.

use std::cell::RefCell;
use std::rc::Rc;

use crate::store::state::State;

/// Counts a waiting watch, also one whose caller leaves.
pub(super) struct Waiting(Rc<RefCell<State>>);

impl Waiting {
    pub(super) fn new(state: &Rc<RefCell<State>>) -> Self {
        state.borrow_mut().stats.waiting += 1;
        Self(Rc::clone(state))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.borrow_mut().stats.waiting -= 1;
    }
}
