//! Notices that a caller disconnects before its response.

use std::rc::Rc;

use crate::route::caller_request::CallerRequest;
use crate::route::request_log::log_end;
use crate::state::Router;

/// Counts and logs a request whose caller disconnects before its response: the HTTP layer then drops the future that
/// serves the request, and this guard with it.
pub(super) struct AbandonGuard {
    router: Rc<Router>,
    call: Rc<CallerRequest>,
    ended: bool,
}

impl AbandonGuard {
    pub(super) fn new(router: &Rc<Router>, call: &Rc<CallerRequest>) -> Self {
        Self {
            router: Rc::clone(router),
            call: Rc::clone(call),
            ended: false,
        }
    }

    /// Records that the request has its response.
    pub(super) fn end(&mut self) {
        self.ended = true;
    }
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.call.caller_left.cancel();
        let took = self.router.now().since(self.call.arrived);
        let labels = [self.call.service_name().as_str(), "given_up"];
        let requests = &self.router.counters.requests;
        requests.with_label_values(&labels).inc();
        log_end(&self.call, "given_up", took, None, None);
    }
}
