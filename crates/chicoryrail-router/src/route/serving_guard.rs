//! Counts the requests that this host is serving.

use std::rc::Rc;

use crate::state::Router;

/// Counts a request as being served until the guard is dropped.
pub(super) struct ServingGuard(Rc<Router>);

impl ServingGuard {
    pub(super) fn new(router: &Rc<Router>) -> Self {
        router.serving.set(router.serving.get() + 1);
        router.counters.serving.inc();
        Self(Rc::clone(router))
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.serving.set(self.0.serving.get() - 1);
        self.0.counters.serving.dec();
    }
}
