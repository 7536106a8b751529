//! A controller that does as the test says.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Bundle;
use chicoryrail_core::Config;
use chicoryrail_core::Epoch;
use chicoryrail_core::Fence;
use chicoryrail_core::HostName;
use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_core::ShardId;
use chicoryrail_core::Slice;
use chicoryrail_wire::ConfigReply;
use chicoryrail_wire::Handler;
use chicoryrail_wire::OrderClose;
use chicoryrail_wire::OrderOutcome;
use chicoryrail_wire::OrderReply;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use chicoryrail_wire::RouteEntry;
use chicoryrail_wire::RouteReply;
use chicoryrail_wire::RouteRequest;
use chicoryrail_wire::RouteTable;
use chicoryrail_wire::ServerRoute;
use chicoryrail_wire::ServerState;
use chicoryrail_wire::SliceState;
use h2::RecvStream;
use h2::server::SendResponse;

use super::Target;

/// What the controller of the test knows and has been told.
#[derive(Default)]
pub struct Control {
    pub config: RefCell<Config>,
    pub tables: RefCell<Vec<RouteTable>>,
    /// Versions that each gate acknowledged last.
    pub known: RefCell<HashMap<HostName, Vec<(ShardId, Fence)>>>,
    /// Gates that said that they leave.
    pub leaving: RefCell<Vec<HostName>>,
    /// Claims by order id, with the outcome where it is known.
    pub orders: RefCell<HashMap<String, (u64, Option<OrderOutcome>)>>,
    /// Whether calls are left without an answer.
    pub silent: Cell<bool>,
    /// Highest version of the configuration that a gate said to have.
    pub applied: Cell<u64>,
}

impl Control {
    /// Takes a configuration of one bundle.
    pub fn set_bundle(&self, version: u64, text: &str) {
        let bundle = Bundle::parse(text).unwrap();
        let mut config = Config::default();
        config.head.version = version;
        config.bundles.insert(bundle.team.clone(), bundle);
        *self.config.borrow_mut() = config;
    }

    /// Publishes the only section of a service: the whole key space belongs to server `owner`.
    pub fn publish(&self, service: &str, version: u64, servers: &[ServerRoute], owner: u32) {
        self.publish_as(service, version, servers, owner, SliceState::Settled);
    }

    /// Publishes the only section of a free service.
    pub fn publish_free(&self, service: &str, version: u64, servers: &[ServerRoute]) {
        self.publish(service, version, servers, 0);
        let mut tables = self.tables.borrow_mut();
        let table = tables.last_mut().expect("a table was published");
        table.entries.clear();
    }

    /// Publishes a keyed service in which one key has a slice of its own, owned by server 0; server
    /// 1 owns the rest.
    pub fn publish_hot(&self, service: &str, version: u64, servers: &[ServerRoute], key: &str) {
        self.publish(service, version, servers, 1);
        let at = KeyHash::of(key).0;
        let slices = [(0, at - 1, 1), (at, at, 0), (at + 1, u64::MAX, 1)];
        let mut tables = self.tables.borrow_mut();
        let table = tables.last_mut().expect("a table was published");
        table.entries = slices
            .iter()
            .map(|&(first, last, owner)| RouteEntry {
                slice: Slice { first, last },
                owner,
                state: SliceState::Settled,
            })
            .collect();
    }

    /// Publishes as [`Control::publish`] does, with the state of the only slice.
    pub fn publish_as(
        &self,
        service: &str,
        version: u64,
        servers: &[ServerRoute],
        owner: u32,
        state: SliceState,
    ) {
        let shard = ShardId::Service {
            service: service.into(),
            part: 0,
        };
        let table = RouteTable {
            shard: shard.clone(),
            fence: fence(version),
            servers: servers.to_vec(),
            entries: vec![RouteEntry {
                slice: Slice::FULL,
                owner,
                state,
            }],
        };
        let mut tables = self.tables.borrow_mut();
        tables.retain(|t| t.shard != shard);
        tables.push(table);
    }

    /// Tells whether a gate said that it has the version of the configuration.
    pub fn asked(&self, version: u64) -> bool {
        self.applied.get() >= version
    }

    /// Tells whether the gate acknowledged a version of the service.
    pub fn knows(&self, gate: &str, service: &str, version: u64) -> bool {
        let known = self.known.borrow();
        let name = format!("svc.{service}.0");
        known.get(&HostName::new(gate)).is_some_and(|known| {
            known
                .iter()
                .any(|(s, f)| s.to_string() == name && *f == fence(version))
        })
    }

    /// Returns the outcome that was reported for an order.
    pub fn closed(&self, order: &str) -> Option<OrderOutcome> {
        self.orders.borrow().get(order)?.1.clone()
    }

    async fn routes(&self, request: RouteRequest) -> Reply {
        if request.leaving {
            self.leaving.borrow_mut().push(request.gate.clone());
        }
        self.known
            .borrow_mut()
            .insert(request.gate.clone(), request.known.clone());
        for _ in 0..request.wait.0 / 5 {
            if !self.news(&request).is_empty() {
                break;
            }
            monoio::time::sleep(Millis(5).duration()).await;
        }
        let orders = (0..self.config.borrow().order_parts())
            .map(|part| (ShardId::Orders { part }, fence(1)));
        let tables = self.tables.borrow();
        let held = tables.iter().map(|t| (t.shard.clone(), t.fence));
        Reply::Routes(RouteReply {
            tables: self.news(&request),
            held: held.chain(orders).collect(),
            valid: Millis(700),
            version: self.config.borrow().version(),
        })
    }

    fn news(&self, request: &RouteRequest) -> Vec<RouteTable> {
        let tables = self.tables.borrow();
        let is_new = |t: &&RouteTable| !request.known.contains(&(t.shard.clone(), t.fence));
        tables.iter().filter(is_new).cloned().collect()
    }

    fn claim(&self, order: String, token: u64) -> Reply {
        let mut orders = self.orders.borrow_mut();
        let reply = match orders.get(&order) {
            None | Some((_, Some(OrderOutcome::NotRun))) => {
                orders.insert(order, (token, None));
                OrderReply::Send
            }
            Some((held, None)) if *held == token => OrderReply::Send,
            Some((_, None)) => OrderReply::Running,
            Some((_, Some(outcome))) => OrderReply::Closed(outcome.clone()),
        };
        Reply::Order(reply)
    }

    fn close(&self, close: OrderClose) -> Reply {
        if let Some(entry) = self.orders.borrow_mut().get_mut(&close.order)
            && entry.0 == close.token
        {
            entry.1 = Some(close.outcome);
        }
        Reply::Done
    }
}

/// Returns the fence of a version in the only epoch.
pub fn fence(version: u64) -> Fence {
    Fence {
        epoch: Epoch(1),
        version,
    }
}

/// Returns the route of a target, whose slots the gate holds.
pub fn route(target: &Target, gate: &str, slots: u32) -> ServerRoute {
    ServerRoute {
        name: target.name.as_str().into(),
        dc: "north".into(),
        addr: target.addr,
        state: ServerState::Up,
        gate: Some(gate.into()),
        slots,
    }
}

pub struct Answers(pub Rc<Control>);

impl Handler for Answers {
    async fn call(&self, request: Request) -> Reply {
        while self.0.silent.get() {
            monoio::time::sleep(Millis(5).duration()).await;
        }
        match request {
            Request::Config(request) => {
                self.0.applied.set(self.0.applied.get().max(request.known));
                let config = self.0.config.borrow().clone();
                let newer = config.version() > request.known;
                if !newer {
                    monoio::time::sleep(request.wait.min(Millis(50)).duration()).await;
                }
                Reply::Config(ConfigReply {
                    version: config.version(),
                    config: newer.then_some(config),
                })
            }
            Request::Routes(request) => self.0.routes(request).await,
            Request::OrderClaim(claim) => self.0.claim(claim.order, claim.token),
            Request::OrderClose(close) => self.0.close(close),
            Request::OrderLookup { order } => {
                let known = self.0.orders.borrow().get(&order).cloned();
                Reply::Order(match known {
                    None => OrderReply::Nothing,
                    Some((_, None)) => OrderReply::Running,
                    Some((_, Some(outcome))) => OrderReply::Closed(outcome),
                })
            }
            _ => Reply::refused(ResultCode::BadRequest),
        }
    }

    async fn forward(&self, _: http::Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        respond.send_reset(h2::Reason::REFUSED_STREAM);
    }
}
