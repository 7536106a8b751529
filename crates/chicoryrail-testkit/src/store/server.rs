//! The store's HTTP interface.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_platform::CasBody;
use chicoryrail_platform::LeaseBody;
use chicoryrail_platform::WatchAnswer;
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
use serde::Deserialize;
use serde::Serialize;

use crate::Cut;
use crate::Kv;
use crate::Listener;
use crate::StoreFault;
use crate::SwapError;
use crate::query;
use crate::store::fault::StoreFaults;
use crate::store::rate::Rate;

/// Largest body taken in bytes: a value of a megabyte, escaped.
const BODY_MOST: usize = 8 << 20;

/// Longest wait of a watch.
const WAIT_MOST: Millis = Millis(60_000);

/// Settings of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreOptions {
    /// Writes a second that pass; the rest gets status 429. `None` for no limit.
    pub writes: Option<u32>,
    /// Reads a second that pass, a watch counting as one.
    pub reads: Option<u32>,
    /// Seed of the faults' shares.
    pub seed: u64,
}

/// Calls counted, each waiting watch as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStats {
    /// `GET /v1/kv`.
    pub gets: u64,
    /// `PUT /v1/kv` that wrote.
    pub swaps: u64,
    /// `PUT /v1/kv` that did not write.
    pub conflicts: u64,
    /// `GET /v1/list`.
    pub lists: u64,
    /// `GET /v1/watch`.
    pub watches: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Lease calls.
    pub leases: u64,
    /// Calls refused because of the rates.
    pub limited: u64,
    /// Calls that met a fault.
    pub faulty: u64,
    /// Bytes of values written.
    pub written: u64,
}

/// The stand-in of the store; clones share the state.
#[derive(Clone, Debug)]
pub struct StoreServer {
    clock: Clock,
    state: Rc<RefCell<State>>,
}

#[derive(Debug)]
struct State {
    kv: Kv,
    stats: StoreStats,
    faults: StoreFaults,
    writes: Rate,
    reads: Rate,
    /// Cancelled at each change, then replaced; watches wait on it.
    changed: CancellationToken,
}

impl StoreServer {
    /// Builds an empty store.
    #[must_use]
    pub fn new(options: StoreOptions) -> Self {
        let state = State {
            kv: Kv::default(),
            stats: StoreStats::default(),
            faults: StoreFaults::new(options.seed),
            writes: Rate::new(options.writes),
            reads: Rate::new(options.reads),
            changed: CancellationToken::new(),
        };
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
        let fate = self.state.borrow_mut().faults.draw(self.clock.now());
        if fate != Default::default() {
            self.state.borrow_mut().stats.faulty += 1;
            self.clock.sleep(fate.delay).await;
        }
        match fate.down {
            Some(true) => return Ok(error_answer(ResultCode::StoreDown, "fault: down")),
            Some(false) => return Err(Cut),
            None => {}
        }
        let answer = self.call(&head.method, &head.uri, &body).await;
        if fate.lost { Err(Cut) } else { Ok(answer) }
    }

    async fn call(&self, method: &Method, uri: &Uri, body: &Bytes) -> Response<Body> {
        let is_read = *method == Method::GET;
        if !self.pass(is_read) {
            return json_answer(429, &"the store's rate is used up");
        }
        let path = uri.path();
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return match *method {
                Method::GET => self.get(key),
                Method::PUT => self.swap(key, body),
                _ => error_answer(ResultCode::BadRequest, "a key takes GET and PUT"),
            };
        }
        if let Some(id) = path.strip_prefix("/v1/lease") {
            return self.lease(method, id.trim_start_matches('/'), body);
        }
        match path {
            "/v1/list" => self.list(uri),
            "/v1/watch" => self.watch(uri).await,
            _ => error_answer(ResultCode::BadRequest, "the store has no such path"),
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

    fn get(&self, key: &str) -> Response<Body> {
        let mut state = self.state.borrow_mut();
        state.stats.gets += 1;
        match state.kv.get(key) {
            Some(record) => json_answer(200, &record),
            None => json_answer(404, &"no such key"),
        }
    }

    fn swap(&self, key: &str, body: &Bytes) -> Response<Body> {
        let Ok(body) = serde_json::from_slice::<CasBody>(body) else {
            return error_answer(ResultCode::BadRequest, "the body is no CasBody");
        };
        let mut state = self.state.borrow_mut();
        match state.kv.swap(key, &body) {
            Ok(version) => {
                state.stats.swaps += 1;
                state.stats.written += body.value.len() as u64;
                state.wake();
                json_answer(200, &serde_json::json!({ "version": version }))
            }
            Err(e) => {
                state.stats.conflicts += 1;
                match e {
                    SwapError::Conflict(found) => {
                        json_answer(409, &serde_json::json!({ "version": found }))
                    }
                    SwapError::TooLarge => too_large(),
                    SwapError::NoLease => json_answer(412, &"the lease has ended"),
                }
            }
        }
    }

    fn list(&self, uri: &Uri) -> Response<Body> {
        let prefix: String = query(uri, "prefix").unwrap_or_default();
        let mut state = self.state.borrow_mut();
        state.stats.lists += 1;
        let answer = WatchAnswer {
            revision: state.kv.revision(),
            records: state.kv.changed(&prefix, 0),
        };
        json_answer(200, &answer)
    }

    async fn watch(&self, uri: &Uri) -> Response<Body> {
        let prefix: String = query(uri, "prefix").unwrap_or_default();
        let after = query(uri, "after").unwrap_or(0);
        let wait = Millis(query(uri, "wait_ms").unwrap_or(0)).min(WAIT_MOST);
        let ends = self.clock.now() + wait;
        self.state.borrow_mut().stats.watches += 1;
        let _waiting = Waiting::new(&self.state);
        loop {
            let changed = {
                let state = self.state.borrow();
                let answer = WatchAnswer {
                    revision: state.kv.revision(),
                    records: state.kv.changed(&prefix, after),
                };
                if !answer.records.is_empty() || self.clock.now() >= ends {
                    return json_answer(200, &answer);
                }
                state.changed.clone()
            };
            let left = ends.since(self.clock.now()) + Millis(1);
            let _ = timeout(left.duration(), changed.cancelled()).await;
        }
    }

    fn lease(&self, method: &Method, id: &str, body: &Bytes) -> Response<Body> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.stats.leases += 1;
        let number = id.parse::<u64>().ok();
        let gone = || json_answer(404, &"no such lease");
        match (method.clone(), number) {
            (Method::POST, None) => match serde_json::from_slice::<LeaseBody>(body) {
                Ok(asked) => json_answer(200, &state.kv.open_lease(asked.ttl_ms, now)),
                Err(e) => error_answer(ResultCode::BadRequest, &e.to_string()),
            },
            (Method::PUT, Some(id)) => state
                .kv
                .renew_lease(id, now)
                .map_or_else(gone, |lease| json_answer(200, &lease)),
            (Method::DELETE, Some(id)) => {
                if state.kv.end_lease(id) {
                    state.wake();
                    json_answer(200, &())
                } else {
                    gone()
                }
            }
            _ => error_answer(ResultCode::BadRequest, "a lease takes POST, PUT and DELETE"),
        }
    }

    fn testkit(&self, method: &Method, uri: &Uri, body: &Bytes) -> Response<Body> {
        let mut state = self.state.borrow_mut();
        match (method.clone(), uri.path()) {
            (Method::GET, "/testkit/stats") => json_answer(200, &state.stats),
            (Method::GET, "/testkit/history") => {
                let prefix: String = query(uri, "prefix").unwrap_or_default();
                json_answer(200, &state.kv.history(&prefix))
            }
            (Method::PUT, "/testkit/fault") => match serde_json::from_slice::<StoreFault>(body) {
                Ok(fault) => {
                    state.faults.add(self.clock.now(), fault);
                    json_answer(200, &())
                }
                Err(e) => error_answer(ResultCode::BadRequest, &format!("fault: {e}")),
            },
            (Method::DELETE, "/testkit/fault") => {
                state.faults.clear();
                json_answer(200, &())
            }
            _ => error_answer(ResultCode::BadRequest, "the store has no such test call"),
        }
    }
}

impl State {
    fn wake(&mut self) {
        std::mem::take(&mut self.changed).cancel();
    }
}

/// Counts a waiting watch, also one whose caller leaves.
struct Waiting(Rc<RefCell<State>>);

impl Waiting {
    fn new(state: &Rc<RefCell<State>>) -> Self {
        state.borrow_mut().stats.waiting += 1;
        Self(Rc::clone(state))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.borrow_mut().stats.waiting -= 1;
    }
}

fn too_large() -> Response<Body> {
    error_answer(
        ResultCode::BodyTooLarge,
        "the value is longer than a megabyte",
    )
}
