//! Hosts that this one asks to pass requests on.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::DcName;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_runtime::HostPool;

/// Maximum number of connections to one host, each of which carries one request.
const CONNECTIONS_MAX: u32 = 64;

/// Time without use after which the idle connections to a host are closed. It is far below the time after which the
/// other host closes them: a request that crosses that close could be lost.
const IDLE_MAX: Millis = Millis(5_000);

/// Time for which a host is asked last after it could not pass on a request that another host could.
const AVOID_TIME: Millis = Millis(1_000);

/// The hosts that were asked to pass requests on, by address.
#[derive(Debug, Default)]
pub(crate) struct Forwarders {
    by_addr: RefCell<HashMap<SocketAddr, Rc<Forwarder>>>,
}

/// One host that passes requests on.
#[derive(Debug)]
pub(crate) struct Forwarder {
    pub(crate) addr: SocketAddr,
    pub(crate) pool: HostPool,
    /// Requests of this host that it is passing on.
    pub(crate) in_flight: Cell<u32>,
    used_at: Cell<Millis>,
    /// Services and data centres whose servers it could not reach, and until when it is asked last for them.
    avoided: RefCell<HashMap<(ServiceName, DcName), Millis>>,
}

impl Forwarders {
    /// Returns the host at an address.
    pub(crate) fn at(&self, addr: SocketAddr) -> Rc<Forwarder> {
        let mut by_addr = self.by_addr.borrow_mut();
        let forwarder = by_addr
            .entry(addr)
            .or_insert_with(|| Rc::new(Forwarder::new(addr)));
        Rc::clone(forwarder)
    }

    /// Returns `true` if this host has asked no other one to pass a request on.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_addr.borrow().is_empty()
    }

    /// Closes connections that were not used lately, and drops hosts for which `is_known` returns `false`.
    pub(crate) fn tidy(&self, now: Millis, is_known: impl Fn(SocketAddr) -> bool) {
        let mut by_addr = self.by_addr.borrow_mut();
        by_addr.retain(|addr, forwarder| forwarder.in_flight.get() > 0 || is_known(*addr));
        for forwarder in by_addr.values() {
            forwarder.close_unused(now);
        }
    }
}

impl Forwarder {
    fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            pool: HostPool::new(CONNECTIONS_MAX),
            in_flight: Cell::new(0),
            used_at: Cell::new(Millis::ZERO),
            avoided: RefCell::default(),
        }
    }

    /// Records that a request is sent to the host.
    pub(crate) fn begin_use(&self, now: Millis) {
        self.close_unused(now);
        self.used_at.set(now);
    }

    fn close_unused(&self, now: Millis) {
        if now.since(self.used_at.get()) > IDLE_MAX {
            self.pool.close_idle();
        }
    }

    /// Records that the host could not reach servers that another host reaches.
    pub(crate) fn avoid(&self, now: Millis, service: &ServiceName, dc: &DcName) {
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, until| now < *until);
        avoided.insert((service.clone(), dc.clone()), now + AVOID_TIME);
    }

    /// Returns `true` if the host could lately not reach servers of the service in the data centre.
    pub(crate) fn is_avoided(&self, now: Millis, service: &ServiceName, dc: &DcName) -> bool {
        let avoided = self.avoided.borrow();
        let until = avoided.get(&(service.clone(), dc.clone()));
        until.is_some_and(|until| now < *until)
    }
}
