//! Counts the requests that this host is serving.

use std::rc::Rc;

use chicoryrail_runtime::Body;
use chicoryrail_runtime::guard_body;
use http::Response;

use crate::route::response_body::Streamed;
use crate::state::Router;

/// Counts a request as being served until the guard is dropped.
pub(super) struct ServingGuard(Rc<Router>);

impl ServingGuard {
    pub(super) fn new(router: &Rc<Router>) -> Self {
        router.serving.set(router.serving.get() + 1);
        router.counters.serving.inc();
        Self(Rc::clone(router))
    }

    /// Counts the request to the end of its response, if that is streamed: a stop waits for it.
    pub(super) fn hold_until_end(self, response: Response<Body>) -> Response<Body> {
        if response.extensions().get::<Streamed>().is_none() {
            return response;
        }
        response.map(|body| guard_body(body, self))
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.serving.set(self.0.serving.get() - 1);
        self.0.counters.serving.dec();
    }
}
