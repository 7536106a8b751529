//! Brings route tables into force.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Kind;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::Service;
use chicoryrail_core::ServiceName;
use chicoryrail_core::ShardId;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::Verdict;
use chicoryrail_runtime::EventKind;
use chicoryrail_runtime::Invariant;
use chicoryrail_wire::RouteTable;
use chicoryrail_wire::ServerRoute;
use chicoryrail_wire::ServerState;

use crate::Placement;
use crate::gate::Gate;
use crate::lane::Lane;
use crate::server::Server;
use crate::shard::Route;
use crate::shard::Shard;
use crate::shard::Table;
use crate::shard::Via;

impl Gate {
    /// Brings a route table into force where its fence is higher; returns `false` for one of a
    /// service that no configuration in force has, since its kind is not known.
    pub(crate) fn apply_table(&self, table: &RouteTable) -> bool {
        let ShardId::Service { service, .. } = &table.shard else {
            return true;
        };
        let services = self.services();
        let Some(service) = services.config.service(service) else {
            return false;
        };
        let shard = self.shard(&table.shard);
        let old = shard.table.borrow().clone();
        if old.as_ref().is_some_and(|t| t.fence >= table.fence) {
            return true;
        }
        let routes = table.servers.iter();
        let new = Rc::new(Table {
            fence: table.fence,
            routes: routes.map(|s| self.route(service, s)).collect(),
            entries: table.entries.clone(),
        });
        if let Some(old) = &old {
            let all = &self.process.invariants;
            all.rises(Invariant::FenceForward, &old.fence, &new.fence);
        }
        *shard.table.borrow_mut() = Some(Rc::clone(&new));
        let gone = old.iter().flat_map(|t| &t.routes);
        for route in gone.filter(|r| new.route(&r.server.name).is_none()) {
            give_up(&route.server);
            self.servers.borrow_mut().remove(&route.server.name);
        }
        self.settle(&shard, shard.is_valid(self.now()));
        self.process.events.record(
            EventKind::RoutesApplied,
            shard.id.to_string(),
            format!("fence={}", new.fence),
        );
        shard.signal.notify();
        true
    }

    /// Brings lanes in line with routes that ran out or came back.
    pub(crate) fn check_routes(&self, now: Millis) {
        for shard in self.shards() {
            let valid = shard.is_valid(now);
            if shard.was_valid.get() != valid {
                self.settle(&shard, valid);
            }
        }
    }

    /// Records servers that turned slow or quick again.
    pub(crate) fn check_speeds(&self) {
        let servers = self.servers.borrow();
        for server in servers.values().filter(|s| s.slots.get() > 0) {
            let detail = match server.new_verdict() {
                None => continue,
                Some(Verdict::Sound) => "state=sound",
                Some(Verdict::Momentary) => "state=slow",
                Some(Verdict::Persistent) => "state=slow-for-seconds",
            };
            let name = server.name.as_str();
            self.process
                .events
                .record(EventKind::Ejection, name, detail);
        }
    }

    /// Lets servers join or leave their lanes and sends away the waiting requests that the table
    /// forbids.
    fn settle(&self, shard: &Rc<Shard>, valid: bool) {
        shard.was_valid.set(valid);
        let table = shard.table.borrow().clone();
        for route in table.iter().flat_map(|t| &t.routes) {
            let server = &route.server;
            let own = route.via == Via::Own;
            server.slots.set(if own { route.slots } else { 0 });
            if own && valid && route.takes_work() {
                let cold = route.state == ServerState::Cold;
                let turned = cold && !server.cold.replace(cold);
                server.lane.join(server, shard, route.slots, turned);
            } else {
                server.lane.leave(server);
            }
            server.cold.set(route.state == ServerState::Cold);
            if !own {
                server.pool.clear();
            }
            let entries = table.iter().any(|t| !t.entries.is_empty());
            if entries && let Some(table) = &table {
                server.lane.recheck(|key| table.sends(key, &server.name));
            }
        }
        if let ShardId::Service { service, .. } = &shard.id {
            self.set_peers(service);
        }
    }

    fn set_peers(&self, service: &ServiceName) {
        let shards: Vec<_> = self.shards();
        let same =
            |s: &Rc<Shard>| matches!(&s.id, ShardId::Service { service: n, .. } if n == service);
        let shards: Vec<_> = shards.into_iter().filter(same).collect();
        self.free(service).set_peers(&shards, self.now());
    }

    fn route(&self, service: &Service, s: &ServerRoute) -> Route {
        let server = self.server(service, &s.name, s.addr);
        server.pool.set_cap(s.slots, service.connections);
        let via = match &s.gate {
            Some(host) if *host == self.settings.host.host => Via::Own,
            Some(host) => Via::Gate(host.clone()),
            None => Via::Nobody,
        };
        Route {
            server,
            state: s.state,
            via,
            slots: s.slots,
        }
    }

    /// Returns the server of that name; a new one where it stands in another queue now because the
    /// service's kind has changed.
    fn server(&self, service: &Service, name: &ServerName, addr: SocketAddr) -> Rc<Server> {
        let shared = service.kind == Kind::Free && self.settings.placement == Placement::Policy;
        let common = shared.then(|| Rc::clone(&self.free(&service.name).lane));
        let known = self.servers.borrow().get(name).cloned();
        if let Some(server) = known {
            let fits = match &common {
                Some(lane) => Rc::ptr_eq(lane, &server.lane),
                None => !server.shared,
            };
            if fits {
                if server.addr.replace(addr) != addr {
                    server.pool.clear();
                }
                return server;
            }
            give_up(&server);
        }
        let lane = common.unwrap_or_else(|| Lane::new(&self.process));
        let id = ServerId(self.serial() as u32);
        let server = Rc::new(Server::new(name, addr, id, &lane, shared));
        let mut servers = self.servers.borrow_mut();
        servers.insert(name.clone(), Rc::clone(&server));
        server
    }
}

/// Ends the use of a server that is no longer in the table.
fn give_up(server: &Server) {
    server.slots.set(0);
    server.lane.leave(server);
    server.pool.clear();
}
