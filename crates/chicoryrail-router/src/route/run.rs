//! A run of a request at a server.

use std::rc::Rc;

use chicoryrail_core::Fingerprint;

use crate::control;
use crate::control::ServerCheck;
use crate::control::recheck_server;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;

/// A run of a request at a server, whose end tells whether the request ends servers.
pub(super) struct Run {
    pub(super) router: Rc<Router>,
    pub(super) service: Rc<Service>,
    pub(super) target: Rc<Target>,
    pub(super) request: Fingerprint,
    /// Hash of the request's head.
    pub(super) head: u64,
}

impl Run {
    /// Records that the request ran completely.
    pub(super) fn record_complete(&self) {
        control::record_complete(&self.router, self.request);
    }

    /// Records that the server ended under the request.
    pub(super) fn record_end(&self) {
        let request = (self.request, self.head);
        control::record_end(&self.router, &self.service, request, &self.target.life);
    }

    /// Records the end of a server that may still have accepted a connection when the request's own broke.
    pub(super) async fn record_late_end(self) {
        let check = recheck_server(&self.target).await;
        log::info!(server:% = self.target.life, check = check.name(); "server_rechecked");
        match check {
            ServerCheck::Accepted => self.target.found_alive.set(Some(self.router.now())),
            ServerCheck::Refused => self.record_end(),
            ServerCheck::Unknown => {}
        }
    }
}
