//! A request at a server, counted until it has ended there.

use std::rc::Rc;

use chicoryrail_runtime::ServerConn;

use crate::route::held_slot::Slot;
use crate::state::Service;
use crate::state::Target;

/// A request at a server. Dropped before its whole answer it closes the connection, at which the server
/// drops the request.
#[derive(Debug)]
pub(crate) struct Flight {
    service: Rc<Service>,
    pub(crate) target: Rc<Target>,
    conn: Option<ServerConn>,
    /// Given back when the request has ended.
    pub(crate) slot: Rc<Slot>,
}

impl Flight {
    /// Counts a request that is about to be sent.
    pub(crate) fn new(service: &Rc<Service>, target: &Rc<Target>, slot: &Rc<Slot>) -> Self {
        service.loads.borrow_mut().sent(target.id);
        Self {
            service: Rc::clone(service),
            target: Rc::clone(target),
            conn: None,
            slot: Rc::clone(slot),
        }
    }

    /// Binds the connection to the request.
    pub(crate) fn bind(&mut self, conn: ServerConn) -> &mut ServerConn {
        self.conn.insert(conn)
    }

    /// Ends after the whole answer; the connection may carry the next request where `keep` is set.
    pub(crate) fn complete(mut self, keep: bool) {
        let conn = self.conn.take().filter(|_| keep && self.target.is_ready());
        if let Some(conn) = conn {
            self.target.pool.put(conn);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.service.loads.borrow_mut().ended(self.target.id);
        self.service.changed.notify();
    }
}
