//! The HTTP interface of a target.

use std::io;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_platform::KeyCall;
use chicoryrail_platform::KeyGrant;
use chicoryrail_platform::KvStore;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::collect_body;
use chicoryrail_runtime::error_response;
use chicoryrail_runtime::json_response;
use futures_util::future::select;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;

use crate::ConnectionCut;
use crate::HoldChange;
use crate::HoldKind;
use crate::Ledger;
use crate::Listener;
use crate::TargetFault;
use crate::TargetOptions;
use crate::target::presence::maintain_entry;
use crate::target::refusal::refuse_misdirected;
use crate::target::respond::respond;
use crate::target::response_headers::add_drain_headers;
use crate::target::state::State;
use crate::unix_micros;

/// Interval between checks of whether requests still run on released keys.
const POLL_INTERVAL: Millis = Millis(2);

/// Largest accepted body of a control call in bytes.
const CALL_BODY_MAX_BYTES: usize = 1 << 20;

/// The stand-in for a target; clones share its state.
///
/// | call | effect |
/// |---|---|
/// | `POST /-/grant`, `/-/release` | grants or releases keys, in the encoding of `chicoryrail-platform` |
/// | `PUT /testkit/fault` | switches a [`TargetFault`] on |
/// | `DELETE /testkit/fault` | switches all faults off |
/// | `GET /testkit/ledger` | returns the [`Ledger`] |
/// | any other | runs as a caller's request |
///
/// A caller's request has the query parameters `work_us` (service time in microseconds), `body` (bytes after the
/// first line), `chunked=1`, `crash=1` (the request ends the server after its service time) and `crash_at` (it ends the
/// server after this many bytes of its response). The response's body starts with a line of JSON that names the request
/// ([`crate::ResponseHead`]).
#[derive(Clone, Debug)]
pub struct TargetServer {
    state: Rc<State>,
}

impl TargetServer {
    /// Opens the ledger and spawns the server on the current runtime, where it serves until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the ledger's file can't be opened or the listener's address can't be read.
    pub fn start(
        options: TargetOptions,
        listener: Listener,
        stop: CancellationToken,
    ) -> io::Result<Self> {
        let listener = listener.with_max_connections(options.connections);
        let advertised_addr = options
            .advertised_addr
            .map_or_else(|| listener.addr(), Ok)?;
        let store = options.store.map(KvStore::new);
        let state = Rc::new(State::new(options, listener.refused_connections())?);
        let listener = listener.with_crash(state.crash.clone());
        if let Some(store) = store {
            let entry = maintain_entry(Rc::clone(&state), store, advertised_addr);
            let crash = state.crash.clone();
            monoio::spawn(async move {
                let crashed = pin!(crash.cancelled());
                select(pin!(entry), crashed).await;
            });
        }
        let this = Self { state };
        let server = this.clone();
        monoio::spawn(listener.serve(stop, move |request| {
            let server = server.clone();
            async move { server.respond(request).await }
        }));
        Ok(this)
    }

    /// Starts the server like [`Self::start`] and returns when `stop` is cancelled or the server has crashed.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::start`].
    pub async fn serve(
        options: TargetOptions,
        listener: Listener,
        stop: CancellationToken,
    ) -> io::Result<()> {
        let server = Self::start(options, listener, stop.clone())?;
        let crashed = pin!(server.state.crash.cancelled());
        select(pin!(stop.cancelled()), crashed).await;
        Ok(())
    }

    /// Switches a fault on.
    pub fn inject_fault(&self, fault: TargetFault) {
        match fault {
            TargetFault::Cold { for_ms } => self.state.start_warmup(for_ms.map(Millis)),
            TargetFault::Leave => self.state.start_draining(),
            TargetFault::SayDraining => self.state.say_draining(),
            _ => {}
        }
        let now = self.state.now();
        self.state.faults.borrow_mut().add(now, fault);
    }

    /// Returns `true` if a request or [`Self::crash`] has ended the server.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.state.crash.is_cancelled()
    }

    /// Ends the server as a kill of its process would: its connections break, new ones are refused, and it no longer
    /// renews its entry.
    pub fn crash(&self) {
        self.state.crash.cancel();
    }

    /// Returns a copy of the ledger.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        let mut recorder = self.state.recorder.borrow_mut();
        recorder.ledger.connections_refused = self.state.refused_connections.get();
        recorder.ledger.clone()
    }

    /// Returns `true` if the server's lease on the key is unexpired.
    #[must_use]
    pub fn owns_key(&self, key: u16) -> bool {
        let leased_keys = self.state.leased_keys.borrow();
        leased_keys.permit_run(self.state.now(), key).is_some()
    }

    async fn respond(&self, request: Request<Incoming>) -> Result<Response<Body>, ConnectionCut> {
        let expected = call_header::text(request.headers(), &call_header::EXPECTED_SERVER);
        if expected.is_some_and(|e| e != self.state.options.name.as_str()) {
            return Ok(refuse_misdirected(&self.state, request.headers()));
        }
        let path = request.uri().path();
        if path.starts_with("/-/") || path.starts_with("/testkit/") {
            return self.control(request).await;
        }
        respond(Rc::clone(&self.state), request).await
    }

    async fn control(&self, request: Request<Incoming>) -> Result<Response<Body>, ConnectionCut> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let received = unix_micros();
        let body = read_body(request).await;
        match KeyCall::read(&path, &body) {
            Some(Ok(call)) => return self.handle_key_call(call, received).await,
            Some(Err(e)) => return Ok(error_response(400, &e.to_string())),
            None => {}
        }
        Ok(match (method, path.as_str()) {
            (Method::PUT, "/testkit/fault") => match serde_json::from_slice(&body) {
                Ok(fault) => {
                    self.inject_fault(fault);
                    json_response(200, &())
                }
                Err(e) => error_response(400, &e.to_string()),
            },
            (Method::DELETE, "/testkit/fault") => {
                self.state.faults.borrow_mut().clear();
                json_response(200, &())
            }
            (Method::GET, "/testkit/ledger") => json_response(200, &self.ledger()),
            _ => error_response(400, "the server has no such call"),
        })
    }

    /// Handles a call whose head was read at `received`, in microseconds since 1970.
    async fn handle_key_call(
        &self,
        call: KeyCall,
        received: u64,
    ) -> Result<Response<Body>, ConnectionCut> {
        // Read before the clock that times the lease, so that a pause between the two does not lengthen the hold.
        let time = unix_micros();
        let now = self.state.now();
        let dropped_until = self.state.faults.borrow_mut().key_calls_dropped_until(now);
        if let Some(until) = dropped_until {
            monoio::time::sleep(until.since(now).to_duration()).await;
            return Err(ConnectionCut);
        }
        let (result, is_grant) = match call {
            KeyCall::Grant(grant) => {
                let result = self.state.leased_keys.borrow_mut().grant(now, &grant);
                let kind = if result.is_ok() {
                    HoldKind::Granted
                } else {
                    HoldKind::Refused
                };
                self.record_hold(kind, &grant, received, time);
                (result, true)
            }
            KeyCall::Release(grant) => {
                self.state.leased_keys.borrow_mut().release(&grant);
                self.record_hold(HoldKind::Released, &grant, received, time);
                self.finish_release(&grant).await;
                (Ok(()), false)
            }
        };
        if result.is_ok() {
            let mut recorder = self.state.recorder.borrow_mut();
            recorder.ledger.grants += u64::from(is_grant);
            recorder.ledger.releases += u64::from(!is_grant);
        }
        let status = if result.is_ok() { 200 } else { 409 };
        let mut response = json_response(status, &());
        if result.is_ok() {
            let token = http::HeaderValue::from_static("handover");
            response.headers_mut().insert(call_header::HANDOVER, token);
        }
        add_drain_headers(&self.state, response.headers_mut());
        Ok(response)
    }

    fn record_hold(&self, kind: HoldKind, grant: &KeyGrant, received: u64, time: u64) {
        let options = &self.state.options;
        let change = HoldChange {
            server: options.name.to_string(),
            service: options.service.to_string(),
            born: self.state.started_unix_ms(),
            received,
            time,
            first: grant.first,
            last: grant.last,
            fence: grant.fence,
            length_ms: grant.lease.0,
            kind,
        };
        self.state.recorder.borrow_mut().record_hold(change);
    }

    /// Waits until the requests that run on released keys have ended.
    async fn finish_release(&self, grant: &KeyGrant) {
        while self.state.has_running(grant.first, grant.last) {
            monoio::time::sleep(POLL_INTERVAL.to_duration()).await;
        }
        self.state.leased_keys.borrow_mut().finish_release(grant);
    }
}

async fn read_body(request: Request<Incoming>) -> Bytes {
    let body = collect_body(request.into_body(), CALL_BODY_MAX_BYTES).await;
    body.unwrap_or_default()
}
