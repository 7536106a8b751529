//! A gate that follows routes and watches whether keys can be served.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::ShardId;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::Clock;
use chicoryrail_wire::Handler;
use chicoryrail_wire::Heartbeat;
use chicoryrail_wire::HeartbeatReply;
use chicoryrail_wire::HostState;
use chicoryrail_wire::Peer;
use chicoryrail_wire::PeerLimits;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use chicoryrail_wire::Role;
use chicoryrail_wire::RouteRequest;
use chicoryrail_wire::RouteTable;
use chicoryrail_wire::SliceState;
use monoio::net::TcpListener;

use super::Cluster;
use super::FakeTarget;

/// Answers heartbeats as the gate of a host.
pub struct FakeGate {
    beat: Heartbeat,
}

impl FakeGate {
    pub fn listen(stop: &CancellationToken, host: &str, dc: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let beat = Heartbeat {
            host: host.into(),
            dc: dc.into(),
            role: Role::Gate,
            instance: 1,
            state: HostState::Live,
            version: 0,
        };
        let stop = stop.clone();
        monoio::spawn(chicoryrail_wire::serve(
            listener,
            PeerLimits::default(),
            Rc::new(Self { beat }),
            async move { stop.cancelled().await },
        ));
        addr
    }
}

impl Handler for FakeGate {
    async fn call(&self, _request: Request) -> Reply {
        let own = self.beat.clone();
        Reply::Heartbeat(HeartbeatReply { own })
    }

    async fn forward(
        &self,
        _request: http::Request<h2::RecvStream>,
        mut respond: h2::server::SendResponse<Bytes>,
    ) {
        respond.send_reset(h2::Reason::REFUSED_STREAM);
    }
}

struct Route {
    table: RouteTable,
    until: Millis,
}

/// Follows the routes as a gate does, and counts for 64 keys how long each could not be served.
///
/// A key is served where a valid, settled route names a server that owns the key by its own clock.
pub struct Watch {
    clock: Clock,
    routes: RefCell<BTreeMap<ShardId, Route>>,
    targets: Vec<Rc<FakeTarget>>,
    gone: RefCell<Vec<Millis>>,
    /// Looks at which a key had two owners; must stay 0.
    pub doubled: Cell<u32>,
    stop: CancellationToken,
}

impl Watch {
    /// Starts to follow all controllers of a cluster.
    pub fn start(cluster: &Cluster) -> Rc<Self> {
        let watch = Rc::new(Self {
            clock: Clock::start(),
            routes: RefCell::default(),
            targets: cluster.targets.clone(),
            gone: RefCell::new(vec![Millis::ZERO; 64]),
            doubled: Cell::new(0),
            stop: cluster.stop.child_token(),
        });
        for addr in &cluster.inner {
            monoio::spawn(Rc::clone(&watch).follow(*addr));
        }
        monoio::spawn(Rc::clone(&watch).look());
        watch
    }

    async fn follow(self: Rc<Self>, addr: SocketAddr) {
        let peer = Peer::new(addr);
        while !self.stop.is_cancelled() {
            let asked = self.clock.now();
            let request = RouteRequest {
                gate: "h0".into(),
                instance: 1,
                leaving: false,
                known: self.known(),
                seen: Vec::new(),
                wait: Millis(100),
            };
            let reply = peer.call(&Request::Routes(request), Millis(400)).await;
            if let Ok(Reply::Routes(reply)) = reply {
                let until = asked + reply.valid;
                let mut routes = self.routes.borrow_mut();
                for table in reply.tables {
                    let newer = routes
                        .get(&table.shard)
                        .is_none_or(|r| r.table.fence < table.fence);
                    if newer {
                        routes.insert(table.shard.clone(), Route { table, until });
                    }
                }
                for (shard, fence) in reply.held {
                    if let Some(route) = routes.get_mut(&shard).filter(|r| r.table.fence == fence) {
                        route.until = route.until.max(until);
                    }
                }
            }
            self.clock.sleep(Millis(20)).await;
        }
    }

    fn known(&self) -> Vec<(ShardId, chicoryrail_core::Fence)> {
        let routes = self.routes.borrow();
        routes
            .iter()
            .map(|(s, r)| (s.clone(), r.table.fence))
            .collect()
    }

    async fn look(self: Rc<Self>) {
        let mut last = self.clock.now();
        while !self.stop.is_cancelled() {
            self.clock.sleep(Millis(2)).await;
            let now = self.clock.now();
            for i in 0..64 {
                let key = KeyHash((i as u64) << 58);
                let owners = self.targets.iter().filter(|t| t.owns(key)).count();
                if owners > 1 {
                    self.doubled.set(self.doubled.get() + 1);
                }
                if !self.serves(key, now) {
                    let mut gone = self.gone.borrow_mut();
                    gone[i] = gone[i] + now.since(last);
                }
            }
            last = now;
        }
    }

    /// Tells whether a caller's request for the key would be sent and run now.
    pub fn serves(&self, key: KeyHash, now: Millis) -> bool {
        let routes = self.routes.borrow();
        let valid = routes.values().filter(|r| now < r.until);
        let entry = valid
            .flat_map(|r| r.table.entries.iter().map(move |e| (&r.table, e)))
            .find(|(_, e)| e.slice.contains(key));
        entry.is_some_and(|(table, entry)| {
            let server = &table.servers[entry.owner as usize];
            let number: usize = server.name.as_str()["kits-".len()..].parse().unwrap();
            let target = &self.targets[number];
            entry.state == SliceState::Settled && !target.frozen.get() && target.owns(key)
        })
    }

    /// Returns how many of the 64 keys are served now.
    pub fn served(&self) -> usize {
        let now = self.clock.now();
        (0..64_u64)
            .filter(|i| self.serves(KeyHash(i << 58), now))
            .count()
    }

    /// Forgets what was counted.
    pub fn reset(&self) {
        self.gone.borrow_mut().fill(Millis::ZERO);
    }

    /// Returns the times of the keys that could not be served for a while, sorted.
    pub fn unavailable(&self) -> Vec<Millis> {
        let mut all = self.gone.borrow().clone();
        all.retain(|g| *g > Millis::ZERO);
        all.sort_unstable();
        all
    }

    /// Prints the count, median and worst of the unavailable times.
    pub fn report(&self, what: &str) -> Millis {
        let all = self.unavailable();
        let worst = all.last().copied().unwrap_or_default();
        let median = all.get(all.len() / 2).copied().unwrap_or_default();
        println!(
            "{what}: {} of 64 keys, median {median}, worst {worst}",
            all.len()
        );
        worst
    }
}
