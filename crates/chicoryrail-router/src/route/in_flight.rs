//! Counts a request at a server until it has ended there.

use std::rc::Rc;

use chicoryrail_runtime::ServerConn;

use crate::route::slot_guard::SlotGuard;
use crate::state::Service;
use crate::state::Target;

/// A request that was sent to a server. If it is dropped before the response is complete, its connection is closed,
/// and the server cancels the request.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(crate) service: Rc<Service>,
    pub(crate) target: Rc<Target>,
    conn: Option<ServerConn>,
    /// Released when the request has ended.
    pub(crate) slot: Rc<SlotGuard>,
}

impl InFlight {
    /// Counts a request that is about to be sent.
    pub(crate) fn new(service: &Rc<Service>, target: &Rc<Target>, slot: &Rc<SlotGuard>) -> Self {
        service.loads.borrow_mut().record_send(target.id);
        Self {
            service: Rc::clone(service),
            target: Rc::clone(target),
            conn: None,
            slot: Rc::clone(slot),
        }
    }

    /// Attaches the connection that carries the request.
    pub(crate) fn attach(&mut self, conn: ServerConn) -> &mut ServerConn {
        self.conn.insert(conn)
    }

    /// Ends the request after its complete response. If `reuse` is set, the connection returns to the pool of a server
    /// that is ready.
    pub(crate) fn complete(mut self, reuse: bool) {
        let conn = self
            .conn
            .take()
            .filter(|_| reuse && self.target.keeps_connections());
        if let Some(conn) = conn {
            self.target.pool.release(conn);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.service.loads.borrow_mut().record_end(self.target.id);
        self.service.changed.notify();
    }
}
