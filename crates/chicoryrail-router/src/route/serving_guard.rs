//! Counts the requests that this host is serving.

use std::rc::Rc;

use chicoryrail_runtime::Body;
use chicoryrail_runtime::guard_body;
use http::Response;

use crate::route::response_body::Streamed;
use crate::state::RequestProgress;
use crate::state::Router;
use crate::state::Stage;

/// Counts a request as being served until the guard is dropped.
pub(super) struct ServingGuard {
    router: Rc<Router>,
    /// The request and its number among those in hand, once it is parsed.
    tracked: Option<(Rc<RequestProgress>, u64)>,
}

impl ServingGuard {
    pub(super) fn new(router: &Rc<Router>) -> Self {
        router.serving.set(router.serving.get() + 1);
        router.counters.serving.inc();
        Self {
            router: Rc::clone(router),
            tracked: None,
        }
    }

    /// Adds the request to those in hand, so that a stop can tell what it waits for.
    pub(super) fn track(&mut self, request: &Rc<RequestProgress>) {
        let number = self.router.in_hand.insert(request);
        self.tracked = Some((Rc::clone(request), number));
    }

    /// Counts the request to the end of its response, if that is streamed: a stop waits for it.
    pub(super) fn hold_until_end(self, response: Response<Body>) -> Response<Body> {
        if response.extensions().get::<Streamed>().is_none() {
            return response;
        }
        if let Some((request, _)) = &self.tracked {
            request.stage.set(Stage::Streaming);
        }
        response.map(|body| guard_body(body, self))
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.router.serving.set(self.router.serving.get() - 1);
        self.router.counters.serving.dec();
        if let Some((_, number)) = &self.tracked {
            self.router.in_hand.remove(*number);
        }
    }
}
