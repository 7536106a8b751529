//! Counts a request at a server until it has ended there.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::BusyConn;
use chicoryrail_runtime::ServerConn;
use chicoryrail_runtime::ServerPool;
use http::HeaderMap;

use crate::route::response_body::ResponseEnd;
use crate::route::slot_guard::SlotGuard;
use crate::state::Forwarder;
use crate::state::Service;
use crate::state::Target;

/// A request that was sent to a server. If it is dropped before the response is complete, its connection is closed,
/// and the server cancels the request.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(crate) service: Rc<Service>,
    pub(crate) target: Rc<Target>,
    /// The connection that carries the request, and the pool to which it returns.
    conn: Option<(BusyConn, Rc<ServerPool>)>,
    /// The host that passes the request on, if the connection leads there.
    forwarder: Option<Rc<Forwarder>>,
    /// Released when the request has ended; `None` if this host passes the request on for another one, which holds the
    /// slot.
    pub(crate) slot: Option<Rc<SlotGuard>>,
}

impl InFlight {
    /// Counts a request that is about to be sent.
    pub(crate) fn new(
        service: &Rc<Service>,
        target: &Rc<Target>,
        slot: Option<Rc<SlotGuard>>,
    ) -> Self {
        service.loads.borrow_mut().record_send(target.id);
        Self {
            service: Rc::clone(service),
            target: Rc::clone(target),
            conn: None,
            forwarder: None,
            slot,
        }
    }

    /// Attaches the connection to the server that carries the request.
    pub(crate) fn attach(&mut self, conn: BusyConn) -> &mut BusyConn {
        let pool = Rc::clone(&self.target.pool);
        &mut self.conn.insert((conn, pool)).0
    }

    /// Records the head of the response on the connection.
    pub(crate) fn record_response(&mut self, headers: &HeaderMap) {
        if let Some((conn, _)) = &mut self.conn {
            conn.record_response(headers);
        }
    }

    /// Records that the request has its final response, and is not sent again.
    pub(crate) fn settle(&mut self) {
        if let Some((conn, _)) = &mut self.conn {
            conn.settle();
        }
    }

    /// Attaches the connection to a host that passes the request on.
    pub(crate) fn attach_forwarder(
        &mut self,
        conn: BusyConn,
        forwarder: &Rc<Forwarder>,
    ) -> &mut BusyConn {
        self.detach();
        forwarder.in_flight.set(forwarder.in_flight.get() + 1);
        if let Some(slot) = &self.slot {
            slot.record_forwarded();
        }
        self.forwarder = Some(Rc::clone(forwarder));
        let pool = Rc::clone(forwarder.pool.connections());
        &mut self.conn.insert((conn, pool)).0
    }

    /// Detaches the connection, with the pool to which it belongs. Dropping it resets it.
    pub(crate) fn detach(&mut self) -> Option<(BusyConn, Rc<ServerPool>)> {
        if let Some(forwarder) = self.forwarder.take() {
            forwarder.in_flight.set(forwarder.in_flight.get() - 1);
        }
        self.conn.take()
    }

    /// Returns `true` if the connection leads to the server itself.
    pub(crate) const fn is_direct(&self) -> bool {
        self.forwarder.is_none()
    }

    /// Ends the request after its complete response. If `reuse` is set, the connection returns to the pool of a server
    /// that is ready. A server may respond before it has read the request's body; `rest_limit` is how long the rest of it
    /// is sent then, and without a limit it is not.
    pub(crate) fn complete(mut self, _: ResponseEnd, reuse: bool, rest_limit: Option<Millis>) {
        let is_direct = self.is_direct();
        let target = Rc::clone(&self.target);
        let Some((conn, pool)) = self.detach() else {
            return;
        };
        let release = move |conn: Option<ServerConn>| {
            if let Some(conn) = conn.filter(|_| reuse && keeps(is_direct, &target)) {
                pool.release(conn);
            }
        };
        match rest_limit.filter(|_| !conn.is_sent()) {
            None => release(conn.into_idle()),
            Some(limit) => {
                monoio::spawn(async move { release(conn.finish(limit).await) });
            }
        }
    }

    /// Ends a request that did not run, and returns its connection, with the pool to which it returns once the rest of the
    /// response was read. Returns `None`, and resets the connection, if `reuse` is not set, the server is not ready or the
    /// body of the request was not sent completely.
    pub(crate) fn end_not_run(mut self, reuse: bool) -> Option<(BusyConn, Rc<ServerPool>)> {
        let keeps = reuse && keeps(self.is_direct(), &self.target);
        self.detach().filter(|(conn, _)| keeps && conn.is_sent())
    }
}

/// Returns `true` if the connection to a server, or to a host that passes requests on, is kept.
fn keeps(is_direct: bool, target: &Target) -> bool {
    !is_direct || target.keeps_connections()
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.detach();
        self.service.loads.borrow_mut().record_end(self.target.id);
        self.service.changed.notify();
    }
}
