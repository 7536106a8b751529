//! The routes of one shard and the requests in flight under them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use chicoryrail_core::Fence;
use chicoryrail_core::HostName;
use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::ShardId;
use chicoryrail_runtime::Signal;
use chicoryrail_wire::RouteEntry;
use chicoryrail_wire::ServerState;
use chicoryrail_wire::SliceState;

use crate::server::Server;

/// A table in force.
#[derive(Debug)]
pub(crate) struct Table {
    pub(crate) fence: Fence,
    pub(crate) routes: Vec<Route>,
    pub(crate) entries: Vec<RouteEntry>,
}

/// A server in a table.
#[derive(Clone, Debug)]
pub(crate) struct Route {
    pub(crate) server: Rc<Server>,
    pub(crate) state: ServerState,
    pub(crate) via: Via,
    pub(crate) slots: u32,
}

/// Which gate speaks to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Via {
    /// This one.
    Own,
    /// Another one.
    Gate(HostName),
    /// None may.
    Nobody,
}

/// What a table says of a key.
#[derive(Debug)]
pub(crate) enum Owner {
    /// Requests go to this server.
    Is(Route),
    /// Requests must wait.
    Moving,
}

impl Route {
    /// Tells whether the server takes new work through some gate.
    pub(crate) fn takes_work(&self) -> bool {
        matches!(self.state, ServerState::Up | ServerState::Cold) && self.via != Via::Nobody
    }
}

impl Table {
    /// Finds the owner of a key.
    pub(crate) fn owner(&self, key: KeyHash) -> Owner {
        let after = self.entries.partition_point(|e| e.slice.first <= key.0);
        let Some(entry) = after.checked_sub(1).and_then(|i| self.entries.get(i)) else {
            return Owner::Moving;
        };
        if !entry.slice.contains(key) || entry.state == SliceState::Moving {
            return Owner::Moving;
        }
        match self.routes.get(entry.owner as usize) {
            Some(route) if route.takes_work() => Owner::Is(route.clone()),
            _ => Owner::Moving,
        }
    }

    /// Finds the route of a server.
    pub(crate) fn route(&self, name: &ServerName) -> Option<&Route> {
        self.routes.iter().find(|r| r.server.name == *name)
    }

    /// Tells whether this gate may send new work for the key to the server.
    pub(crate) fn sends(&self, key: Option<KeyHash>, server: &ServerName) -> bool {
        let own = self.route(server).is_some_and(|r| r.via == Via::Own);
        own && self.allows(key, server)
    }

    /// Tells whether new work for the key may go to the server; `key` is `None` in a free service.
    pub(crate) fn allows(&self, key: Option<KeyHash>, server: &ServerName) -> bool {
        match key {
            Some(key) => matches!(self.owner(key), Owner::Is(r) if r.server.name == *server),
            None => self.route(server).is_some_and(Route::takes_work),
        }
    }
}

/// A shard: its table, how long that is valid, and what is in flight under it.
#[derive(Debug)]
pub(crate) struct Shard {
    pub(crate) id: ShardId,
    pub(crate) table: RefCell<Option<Rc<Table>>>,
    /// Highest fence that a holder reported.
    pub(crate) held: Cell<Fence>,
    /// Controller that reported it.
    pub(crate) holder: RefCell<Option<HostName>>,
    valid: Cell<Millis>,
    acked: Cell<Option<Fence>>,
    /// Whether the routes were valid when the lanes were last brought in line with them.
    pub(crate) was_valid: Cell<bool>,
    /// Notified when the routes of the service change.
    pub(crate) signal: Rc<Signal>,
    flights: RefCell<HashMap<u64, Flight>>,
    next: Cell<u64>,
}

#[derive(Debug)]
struct Flight {
    key: Option<KeyHash>,
    server: ServerName,
    fenced: bool,
}

impl Shard {
    /// Builds a shard without routes.
    pub(crate) fn new(id: ShardId, signal: Rc<Signal>) -> Self {
        Self {
            id,
            table: RefCell::default(),
            held: Cell::default(),
            holder: RefCell::default(),
            valid: Cell::default(),
            acked: Cell::default(),
            was_valid: Cell::default(),
            signal,
            flights: RefCell::default(),
            next: Cell::default(),
        }
    }

    /// Returns the table where it is valid now.
    pub(crate) fn routes(&self, now: Millis) -> Option<Rc<Table>> {
        if now >= self.valid.get() {
            return None;
        }
        self.table.borrow().clone()
    }

    /// Tells whether the holder's word is fresh.
    pub(crate) fn is_valid(&self, now: Millis) -> bool {
        now < self.valid.get()
    }

    /// Returns the controller that holds the shard, where its word is fresh.
    pub(crate) fn fresh_holder(&self, now: Millis) -> Option<HostName> {
        if !self.is_valid(now) {
            return None;
        }
        self.holder.borrow().clone()
    }

    /// Lengthens the validity; an older call that is answered late can't shorten it.
    pub(crate) fn renew(&self, holder: &HostName, fence: Fence, until: Millis) {
        let newer = fence.epoch > self.held.get().epoch;
        if newer || self.holder.borrow().is_none() {
            *self.holder.borrow_mut() = Some(holder.clone());
        }
        self.held.set(self.held.get().max(fence));
        // Validity that an earlier epoch gave ends with it.
        let until = if newer {
            until
        } else {
            until.max(self.valid.get())
        };
        self.valid.set(until);
    }

    /// Returns the version to acknowledge: the table's, or while requests that it forbids are in
    /// flight the one before.
    pub(crate) fn known(&self) -> Option<Fence> {
        if let Some(fence) = self.settled() {
            self.acked.set(Some(fence));
        }
        self.acked.get()
    }

    /// Returns the table's version where no request that it forbids is in flight.
    ///
    /// Only requests that this gate sent to a server itself count. One that goes through another
    /// gate is counted there, and is sent only if that gate's own routes allow it.
    pub(crate) fn settled(&self) -> Option<Fence> {
        let table = self.table.borrow();
        let table = table.as_ref()?;
        let flights = self.flights.borrow();
        let clear = flights.values().all(|f| f.is_allowed(table));
        clear.then_some(table.fence)
    }

    /// Counts a request that this gate sends to a server as in flight until the returned value is
    /// dropped.
    pub(crate) fn fly(
        self: &Rc<Self>,
        key: Option<KeyHash>,
        server: &ServerName,
        fenced: bool,
    ) -> InFlight {
        let id = self.next.get();
        self.next.set(id + 1);
        let flight = Flight {
            key,
            server: server.clone(),
            fenced,
        };
        self.flights.borrow_mut().insert(id, flight);
        InFlight {
            shard: Rc::clone(self),
            id,
        }
    }

    /// Tells whether a server is reached through that gate.
    pub(crate) fn leads_through(&self, gate: &HostName) -> bool {
        let table = self.table.borrow();
        let mut routes = table.iter().flat_map(|t| &t.routes);
        routes.any(|r| matches!(&r.via, Via::Gate(host) if host == gate))
    }

    /// Waits until the routes say that the server is lost, or no longer have it.
    pub(crate) async fn loses(&self, server: &ServerName) {
        self.until(|t| t.route(server).is_none_or(|r| r.state == ServerState::Lost))
            .await;
    }

    /// Waits until the routes lead to the server by another way than through that gate. A server
    /// that is handed over in good order has no gate for a moment; that does not count.
    pub(crate) async fn leaves(&self, server: &ServerName, gate: &HostName) {
        self.until(|t| match t.route(server).map(|r| &r.via) {
            None | Some(Via::Own) => true,
            Some(Via::Gate(host)) => host != gate,
            Some(Via::Nobody) => false,
        })
        .await;
    }

    async fn until(&self, holds: impl Fn(&Table) -> bool) {
        loop {
            let seen = self.signal.count();
            if self.table.borrow().as_ref().is_some_and(|t| holds(t)) {
                return;
            }
            self.signal.after(seen).await;
        }
    }
}

impl Flight {
    fn is_allowed(&self, table: &Table) -> bool {
        let route = table.route(&self.server);
        // A lost server that checks fences refuses the request when it comes back. Waiting for its
        // answer would hold up the move that the loss calls for.
        if self.fenced && route.is_some_and(|r| r.state == ServerState::Lost) {
            return true;
        }
        let owned = self.key.is_none() || table.allows(self.key, &self.server);
        owned && route.is_some_and(|r| r.via == Via::Own)
    }
}

/// A request in flight under a shard's routes.
#[derive(Debug)]
pub(crate) struct InFlight {
    shard: Rc<Shard>,
    id: u64,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shard.flights.borrow_mut().remove(&self.id);
    }
}
