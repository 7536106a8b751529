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
use chicoryrail_runtime::collect_body;
use chicoryrail_runtime::error_response;
use chicoryrail_runtime::json_response;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use hyper::body::Incoming;
use monoio::time::timeout;

use crate::ConnectionCut;
use crate::Listener;
use crate::StoreOptions;
use crate::TxnError;
use crate::query_param;
use crate::store::state::State;
use crate::store::watch_guard::WatchGuard;

/// Largest accepted request body in bytes: enough for a value of a megabyte, escaped.
const BODY_MAX_BYTES: usize = 8 << 20;

/// Longest time that a watch waits for changes.
const WAIT_MAX: Millis = Millis(30_000);

/// Time after a stall during which a new watch hangs until the next change.
const HANG_WINDOW: Millis = Millis(200);

/// The stand-in for the platform's key-value store; clones share its state.
#[derive(Clone, Debug)]
pub struct StoreServer {
    pub(crate) clock: Clock,
    pub(crate) state: Rc<RefCell<State>>,
}

impl StoreServer {
    /// Builds an empty store with the options.
    #[must_use]
    pub fn new(options: StoreOptions) -> Self {
        let state = State::new(options);
        Self {
            clock: Clock::start(),
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Serves calls and ends expired leases until `stop` is cancelled.
    pub async fn serve(self, listener: Listener, stop: CancellationToken) {
        let store = self.clone();
        let stopped = stop.clone();
        monoio::spawn(async move {
            while !stopped.is_cancelled() {
                store.clock.sleep(Millis(20)).await;
                store.expire();
            }
        });
        listener
            .serve(stop, move |request| {
                let this = self.clone();
                async move { this.respond(request).await }
            })
            .await;
    }

    fn expire(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.kv.expire(now) {
            state.wake_watches();
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Result<Response<Body>, ConnectionCut> {
        let (head, body) = request.into_parts();
        let Ok(body) = collect_body(body, BODY_MAX_BYTES).await else {
            return Ok(too_large());
        };
        let path = head.uri.path().to_owned();
        if path.starts_with("/testkit/") {
            return Ok(self.control(&head.method, &head.uri, &body));
        }
        let peer = head.extensions.get::<SocketAddr>().map(SocketAddr::ip);
        let call_faults = self
            .state
            .borrow_mut()
            .faults
            .sample(self.clock.now(), peer);
        if call_faults != Default::default() {
            self.state.borrow_mut().stats.faulty += 1;
            self.clock.sleep(call_faults.delay).await;
        }
        if call_faults.silent {
            std::future::pending::<()>().await;
        }
        let silence_count = self.state.borrow().faults.silence_count;
        match call_faults.down {
            Some(true) => return Ok(error_response(503, "fault: down")),
            Some(false) => return Err(ConnectionCut),
            None => {}
        }
        let response = self.execute(&head.method, &head.uri, &body).await;
        if self.state.borrow().faults.silence_count != silence_count {
            std::future::pending::<()>().await;
        }
        if call_faults.lost {
            Err(ConnectionCut)
        } else {
            Ok(response)
        }
    }

    async fn execute(&self, method: &Method, uri: &Uri, body: &Bytes) -> Response<Body> {
        let path = uri.path();
        let is_renewal = path.starts_with("/-/kv-keep/");
        if !self.admit(*method == Method::GET || is_renewal) {
            return json_response(429, &"the store's rate is used up");
        }
        match (method.as_str(), path) {
            ("GET", "/-/kv-key") => self.get(uri),
            ("GET", "/-/kv-range") => self.list(uri),
            ("GET", "/-/kv-watch") => self.watch(uri).await,
            ("POST", "/-/kv-txn") => self.commit(body),
            ("POST", "/-/kv-lease") => self.open_lease(body),
            ("POST", _) if is_renewal => self.renew(path),
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => self.end_lease(path),
            _ => error_response(400, "the store has no such call"),
        }
    }

    /// Applies the rate limits to a call; returns `false` if it must be refused.
    fn admit(&self, is_read: bool) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let limiter = if is_read {
            &mut state.read_limiter
        } else {
            &mut state.write_limiter
        };
        let admitted = limiter.try_take(now);
        if !admitted {
            state.stats.limited += 1;
        }
        admitted
    }

    fn get(&self, uri: &Uri) -> Response<Body> {
        let key = text_param(uri, "key");
        let mut state = self.state.borrow_mut();
        state.stats.gets += 1;
        let store_revision = Some(state.kv.revision());
        match state.kv.get(&key) {
            Some(item) => json_response(
                200,
                &WireItem {
                    store_revision,
                    ..item
                },
            ),
            None => json_response(404, &"no such key"),
        }
    }

    fn commit(&self, body: &Bytes) -> Response<Body> {
        let txn = match serde_json::from_slice::<WireTxn>(body) {
            Ok(txn) => txn,
            Err(e) => return error_response(400, &format!("transaction: {e}")),
        };
        let mut state = self.state.borrow_mut();
        match state.kv.commit(&txn) {
            Ok(rev) => {
                state.stats.swaps += 1;
                state.stats.written += txn.puts.iter().map(|p| p.value.len() as u64).sum::<u64>();
                state.wake_watches();
                json_response(200, &WireWritten { rev })
            }
            Err(e) => {
                state.stats.conflicts += 1;
                match e {
                    TxnError::Conflict(items) => json_response(412, &WireRefusal { items }),
                    TxnError::BadValue => too_large(),
                    TxnError::NoLease => json_response(404, &"no such lease"),
                }
            }
        }
    }

    fn list(&self, uri: &Uri) -> Response<Body> {
        let mut state = self.state.borrow_mut();
        state.stats.lists += 1;
        json_response(
            200,
            &state
                .kv
                .page(&text_param(uri, "prefix"), &text_param(uri, "after")),
        )
    }

    async fn watch(&self, uri: &Uri) -> Response<Body> {
        let prefix = text_param(uri, "prefix");
        let after = query_param(uri, "after").unwrap_or(0);
        let wait = Millis(query_param(uri, "wait_ms").unwrap_or(0)).min(WAIT_MAX);
        let deadline = self.clock.now() + wait;
        self.state.borrow_mut().stats.watches += 1;
        let _guard = WatchGuard::new(&self.state);
        if self.is_in_hang_window() {
            let change_token = self.state.borrow().change_token.clone();
            let _ = timeout(wait.to_duration(), change_token.cancelled()).await;
        }
        loop {
            if let Some(left) = self.stall_left() {
                monoio::time::sleep(left.to_duration()).await;
                self.state.borrow_mut().kv.compact();
                return error_response(503, "the history was forgotten");
            }
            let change_token = {
                let state = self.state.borrow();
                let Some(events) = state.kv.changes_since(&prefix, after) else {
                    return json_response(410, &"that history is forgotten");
                };
                if !events.is_empty() || self.clock.now() >= deadline {
                    let store_revision = state.kv.revision();
                    let response = WireChanges {
                        events,
                        store_revision,
                    };
                    return json_response(200, &response);
                }
                state.change_token.clone()
            };
            let left = deadline.since(self.clock.now()) + Millis(1);
            let _ = timeout(left.to_duration(), change_token.cancelled()).await;
        }
    }

    /// Returns how much longer watches are stalled; `None` if they are not. At the end of the stall the history is
    /// compacted and the stalled watches get status 503.
    fn stall_left(&self) -> Option<Millis> {
        let left = self.state.borrow().stalled_until.since(self.clock.now());
        (left > Millis::ZERO).then_some(left)
    }

    /// Returns `true` within [`HANG_WINDOW`] after a stall, when a new watch hangs until the next change or the end of
    /// its wait.
    fn is_in_hang_window(&self) -> bool {
        let stalled_until = self.state.borrow().stalled_until;
        let now = self.clock.now();
        stalled_until > Millis::ZERO
            && now >= stalled_until
            && now.since(stalled_until) < HANG_WINDOW
    }

    fn open_lease(&self, body: &Bytes) -> Response<Body> {
        let WireTtl { ttl_ms } = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(e) => return error_response(400, &format!("lease: {e}")),
        };
        let mut state = self.state.borrow_mut();
        state.stats.leases += 1;
        let lease = state.kv.open_lease(Millis(ttl_ms), self.clock.now());
        json_response(200, &WireLease { lease, ttl_ms })
    }

    fn renew(&self, path: &str) -> Response<Body> {
        let mut state = self.state.borrow_mut();
        state.stats.leases += 1;
        match state.kv.renew_lease(lease_id(path), self.clock.now()) {
            Some(ttl) => json_response(200, &WireTtl { ttl_ms: ttl.0 }),
            None => json_response(404, &"no such lease"),
        }
    }

    fn end_lease(&self, path: &str) -> Response<Body> {
        let mut state = self.state.borrow_mut();
        state.stats.leases += 1;
        if !state.kv.end_lease(lease_id(path)) {
            return json_response(404, &"no such lease");
        }
        state.wake_watches();
        json_response(200, &())
    }
}

fn too_large() -> Response<Body> {
    error_response(413, "the value is longer than a megabyte")
}

/// Returns a percent-decoded query parameter; empty if it is missing.
fn text_param(uri: &Uri, name: &str) -> String {
    let raw: String = query_param(uri, name).unwrap_or_default();
    let bytes = percent_decode(&raw).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the lease id at the end of a path; 0, which is no lease's id, if there is none.
fn lease_id(path: &str) -> u64 {
    let last = path.rsplit('/').next();
    last.and_then(|n| n.parse().ok()).unwrap_or(0)
}
