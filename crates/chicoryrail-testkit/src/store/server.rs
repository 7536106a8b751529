//! The store's HTTP interface.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_core::percent_decode;
use chicoryrail_platform::kv::WireChanges;
use chicoryrail_platform::kv::WireItem;
use chicoryrail_platform::kv::WireLease;
use chicoryrail_platform::kv::WireRefusal;
use chicoryrail_platform::kv::WireTtl;
use chicoryrail_platform::kv::WireTxn;
use chicoryrail_platform::kv::WireWritten;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::collect;
use chicoryrail_runtime::error_answer;
use chicoryrail_runtime::json_answer;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use hyper::body::Incoming;
use monoio::time::timeout;

use crate::Cut;
use crate::Listener;
use crate::StoreOptions;
use crate::TxnError;
use crate::query;
use crate::store::state::State;
use crate::store::waiting::Waiting;

/// Largest body taken in bytes: a value of a megabyte, escaped.
const BODY_MOST: usize = 8 << 20;

/// Longest wait of a watch.
const WAIT_MOST: Millis = Millis(30_000);

/// Time after the history was forgotten in which a watch hangs.
const HANGS: Millis = Millis(200);

/// The stand-in of the store; clones share the state.
#[derive(Clone, Debug)]
pub struct StoreServer {
    pub(crate) clock: Clock,
    pub(crate) state: Rc<RefCell<State>>,
}

impl StoreServer {
    /// Builds an empty store.
    #[must_use]
    pub fn new(options: StoreOptions) -> Self {
        let state = State::new(options);
        Self {
            clock: Clock::start(),
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Serves until `stop` is cancelled.
    pub async fn serve(self, listener: Listener, stop: CancellationToken) {
        let expiry = self.clone();
        let ended = stop.clone();
        monoio::spawn(async move {
            while !ended.is_cancelled() {
                expiry.clock.sleep(Millis(20)).await;
                expiry.expire();
            }
        });
        listener
            .serve(stop, move |request| {
                let this = self.clone();
                async move { this.answer(request).await }
            })
            .await;
    }

    fn expire(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.kv.expire(now) {
            state.wake();
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let (head, body) = request.into_parts();
        let Ok(body) = collect(body, BODY_MOST).await else {
            return Ok(too_large());
        };
        let path = head.uri.path().to_owned();
        if path.starts_with("/testkit/") {
            return Ok(self.testkit(&head.method, &head.uri, &body));
        }
        let caller = head.extensions.get::<SocketAddr>().map(SocketAddr::ip);
        let fate = self
            .state
            .borrow_mut()
            .faults
            .draw(self.clock.now(), caller);
        if fate != Default::default() {
            self.state.borrow_mut().stats.faulty += 1;
            self.clock.sleep(fate.delay).await;
        }
        if fate.silent {
            std::future::pending::<()>().await;
        }
        let silences = self.state.borrow().faults.silences;
        match fate.down {
            Some(true) => return Ok(error_answer(503, "fault: down")),
            Some(false) => return Err(Cut),
            None => {}
        }
        let answer = self.call(&head.method, &head.uri, &body).await;
        if self.state.borrow().faults.silences != silences {
            std::future::pending::<()>().await;
        }
        if fate.lost { Err(Cut) } else { Ok(answer) }
    }

    async fn call(&self, method: &Method, uri: &Uri, body: &Bytes) -> Response<Body> {
        let path = uri.path();
        let renews = path.starts_with("/-/kv-keep/");
        if !self.pass(*method == Method::GET || renews) {
            return json_answer(429, &"the store's rate is used up");
        }
        match (method.as_str(), path) {
            ("GET", "/-/kv-key") => self.get(uri),
            ("GET", "/-/kv-range") => self.list(uri),
            ("GET", "/-/kv-watch") => self.watch(uri).await,
            ("POST", "/-/kv-txn") => self.commit(body),
            ("POST", "/-/kv-lease") => self.open_lease(body),
            ("POST", _) if renews => self.renew(path),
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => self.end_lease(path),
            _ => error_answer(400, "the store has no such call"),
        }
    }

    fn pass(&self, is_read: bool) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let rate = if is_read {
            &mut state.reads
        } else {
            &mut state.writes
        };
        let pass = rate.take(now);
        if !pass {
            state.stats.limited += 1;
        }
        pass
    }

    fn get(&self, uri: &Uri) -> Response<Body> {
        let key = text(uri, "key");
        let mut state = self.state.borrow_mut();
        state.stats.gets += 1;
        let store_revision = Some(state.kv.revision());
        match state.kv.get(&key) {
            Some(item) => json_answer(
                200,
                &WireItem {
                    store_revision,
                    ..item
                },
            ),
            None => json_answer(404, &"no such key"),
        }
    }

    fn commit(&self, body: &Bytes) -> Response<Body> {
        let txn = match serde_json::from_slice::<WireTxn>(body) {
            Ok(txn) => txn,
            Err(e) => return error_answer(400, &format!("transaction: {e}")),
        };
        let mut state = self.state.borrow_mut();
        match state.kv.commit(&txn) {
            Ok(rev) => {
                state.stats.swaps += 1;
                state.stats.written += txn.puts.iter().map(|p| p.value.len() as u64).sum::<u64>();
                state.wake();
                json_answer(200, &WireWritten { rev })
            }
            Err(e) => {
                state.stats.conflicts += 1;
                match e {
                    TxnError::Conflict(items) => json_answer(412, &WireRefusal { items }),
                    TxnError::BadValue => too_large(),
                    TxnError::NoLease => json_answer(404, &"no such lease"),
                }
            }
        }
    }

    fn list(&self, uri: &Uri) -> Response<Body> {
        let mut state = self.state.borrow_mut();
        state.stats.lists += 1;
        json_answer(
            200,
            &state.kv.page(&text(uri, "prefix"), &text(uri, "after")),
        )
    }

    async fn watch(&self, uri: &Uri) -> Response<Body> {
        let prefix = text(uri, "prefix");
        let after = query(uri, "after").unwrap_or(0);
        let wait = Millis(query(uri, "wait_ms").unwrap_or(0)).min(WAIT_MOST);
        let ends = self.clock.now() + wait;
        self.state.borrow_mut().stats.watches += 1;
        let _waiting = Waiting::new(&self.state);
        if self.hangs() {
            let changed = self.state.borrow().changed.clone();
            let _ = timeout(wait.duration(), changed.cancelled()).await;
        }
        loop {
            if let Some(left) = self.deaf_for() {
                monoio::time::sleep(left.duration()).await;
                self.state.borrow_mut().kv.compact();
                return error_answer(503, "the history was forgotten");
            }
            let changed = {
                let state = self.state.borrow();
                let Some(events) = state.kv.changed(&prefix, after) else {
                    return json_answer(410, &"that history is forgotten");
                };
                if !events.is_empty() || self.clock.now() >= ends {
                    let store_revision = state.kv.revision();
                    let answer = WireChanges {
                        events,
                        store_revision,
                    };
                    return json_answer(200, &answer);
                }
                state.changed.clone()
            };
            let left = ends.since(self.clock.now()) + Millis(1);
            let _ = timeout(left.duration(), changed.cancelled()).await;
        }
    }

    /// Returns how much longer watches hear nothing of changes, before the history is forgotten and they are cut.
    fn deaf_for(&self) -> Option<Millis> {
        let left = self.state.borrow().deaf_until.since(self.clock.now());
        (left > Millis::ZERO).then_some(left)
    }

    /// Tells whether a watch is sent in the moment after that, in which it hangs until the next change.
    fn hangs(&self) -> bool {
        let deaf = self.state.borrow().deaf_until;
        let now = self.clock.now();
        deaf > Millis::ZERO && now >= deaf && now.since(deaf) < HANGS
    }

    fn open_lease(&self, body: &Bytes) -> Response<Body> {
        let WireTtl { ttl_ms } = match serde_json::from_slice(body) {
            Ok(asked) => asked,
            Err(e) => return error_answer(400, &format!("lease: {e}")),
        };
        let mut state = self.state.borrow_mut();
        state.stats.leases += 1;
        let lease = state.kv.open_lease(Millis(ttl_ms), self.clock.now());
        json_answer(200, &WireLease { lease, ttl_ms })
    }

    fn renew(&self, path: &str) -> Response<Body> {
        let mut state = self.state.borrow_mut();
        state.stats.leases += 1;
        match state.kv.renew_lease(number(path), self.clock.now()) {
            Some(ttl) => json_answer(200, &WireTtl { ttl_ms: ttl.0 }),
            None => json_answer(404, &"no such lease"),
        }
    }

    fn end_lease(&self, path: &str) -> Response<Body> {
        let mut state = self.state.borrow_mut();
        state.stats.leases += 1;
        if !state.kv.end_lease(number(path)) {
            return json_answer(404, &"no such lease");
        }
        state.wake();
        json_answer(200, &())
    }
}

fn too_large() -> Response<Body> {
    error_answer(413, "the value is longer than a megabyte")
}

/// Returns a parameter of the query as text; empty where it is missing.
fn text(uri: &Uri, name: &str) -> String {
    let raw: String = query(uri, name).unwrap_or_default();
    let bytes = percent_decode(&raw).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the number that a path ends with; 0, which no lease has, where there is none.
fn number(path: &str) -> u64 {
    let last = path.rsplit('/').next();
    last.and_then(|n| n.parse().ok()).unwrap_or(0)
}
