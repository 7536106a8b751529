//! A server as this gate knows it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::Verdict;
use chicoryrail_runtime::ServerPool;
use chicoryrail_wire::ServerSeen;
use http::HeaderValue;

use crate::lane::Lane;

/// Slots, connections and observation of one server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) name: ServerName,
    pub(crate) addr: Cell<SocketAddr>,
    /// Value of the `host` header.
    pub(crate) host: HeaderValue,
    /// Number of the server in this run.
    pub(crate) id: ServerId,
    /// The queue before the server's slots.
    pub(crate) lane: Rc<Lane>,
    /// Whether other servers of a free service stand behind the same queue.
    pub(crate) shared: bool,
    /// Most requests in flight; 0 while another gate holds the slots.
    pub(crate) slots: Cell<u32>,
    /// Whether the routes say that it is in cold start.
    pub(crate) cold: Cell<bool>,
    pub(crate) pool: ServerPool,
    /// Requests that this gate has under way to the server, directly or through another gate.
    pub(crate) under_way: Cell<u32>,
    seen: Seen,
    verdict: Cell<Option<Verdict>>,
}

#[derive(Debug, Default)]
struct Seen {
    sent: Cell<u32>,
    failed: Cell<u32>,
    answered: Cell<u32>,
    sum_us: Cell<u64>,
    instance: Cell<u64>,
}

impl Server {
    /// Builds a server without slots.
    pub(crate) fn new(
        name: &ServerName,
        addr: SocketAddr,
        id: ServerId,
        lane: &Rc<Lane>,
        shared: bool,
    ) -> Self {
        Self {
            name: name.clone(),
            addr: Cell::new(addr),
            host: HeaderValue::try_from(addr.to_string()).expect("an address is a valid header"),
            id,
            lane: Rc::clone(lane),
            shared,
            slots: Cell::default(),
            cold: Cell::default(),
            pool: ServerPool::default(),
            under_way: Cell::new(0),
            seen: Seen::default(),
            verdict: Cell::default(),
        }
    }

    /// Notes a request that is about to be sent.
    pub(crate) fn sent(&self) {
        self.seen.sent.set(self.seen.sent.get() + 1);
    }

    /// Notes a request without a good answer.
    pub(crate) fn failed(&self) {
        self.seen.failed.set(self.seen.failed.get() + 1);
    }

    /// Notes an answer's head: its latency and the server's instance.
    pub(crate) fn answered(&self, us: u64, instance: Option<u64>) {
        self.seen.answered.set(self.seen.answered.get() + 1);
        self.seen.sum_us.set(self.seen.sum_us.get() + us);
        if let Some(instance) = instance {
            self.seen.instance.set(instance);
            self.lane.set_instance(self, instance);
        }
    }

    /// Returns what is thought of the server's speed, where that has changed since the last call.
    pub(crate) fn new_verdict(&self) -> Option<Verdict> {
        let now = self.lane.verdict(self);
        let was = self.verdict.replace(now);
        let sound = |v: Option<Verdict>| v.unwrap_or(Verdict::Sound);
        (sound(was) != sound(now)).then(|| sound(now))
    }

    /// Takes the observation since the last report.
    pub(crate) fn report(&self) -> ServerSeen {
        let answered = self.seen.answered.take();
        let sum_us = self.seen.sum_us.take();
        let mean = sum_us.checked_div(u64::from(answered)).unwrap_or(0);
        ServerSeen {
            server: self.name.clone(),
            waiting: self.lane.load_of(self),
            latency_us: u32::try_from(mean).unwrap_or(u32::MAX),
            sent: self.seen.sent.take(),
            failed: self.seen.failed.take(),
            instance: self.seen.instance.get(),
        }
    }

    /// Tells whether a connection should be opened before a request needs it.
    pub(crate) fn wants_connection(&self) -> bool {
        self.pool.open() < self.slots.get().min(MOST_WARM)
    }

    /// Opens a connection that stands idle until a request needs it.
    pub(crate) async fn warm(&self) {
        if let Ok(conn) = self.pool.connect(self.addr.get()).await {
            self.pool.put(conn);
        }
    }
}

/// Most connections that are opened before they are needed. A server with more slots than this gets
/// further ones as its load grows.
const MOST_WARM: u32 = 8;

/// Counts a request under way to a server until it is dropped.
#[derive(Debug)]
pub(crate) struct UnderWay(Rc<Server>);

impl UnderWay {
    /// Starts to count.
    pub(crate) fn new(server: &Rc<Server>) -> Self {
        server.under_way.set(server.under_way.get() + 1);
        Self(Rc::clone(server))
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.under_way.set(self.0.under_way.get() - 1);
    }
}

/// Time between two looks at a server's idle connections.
pub(crate) const WARM_EVERY: Millis = Millis(100);
