//! Runs the requests of callers.

use std::rc::Rc;
use std::time::Duration;

use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::collect_body;
use chicoryrail_runtime::json_response;
use futures_util::future::Either;
use futures_util::future::select;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::header::CONTENT_LENGTH;
use hyper::body::Incoming;

use crate::ConnectionCut;
use crate::Permit;
use crate::Run;
use crate::query_param;
use crate::target::response::ResponseBody;
use crate::target::response::ResponseHead;
use crate::target::response_headers::add_backoff_header;
use crate::target::response_headers::add_headers;
use crate::target::response_headers::record_arrival;
use crate::target::response_headers::record_notices;
use crate::target::slots::NoSlot;
use crate::target::state::State;
use crate::unix_micros;

/// Maximum size of an accepted request body in bytes.
const BODY_MAX_BYTES: usize = 64 << 20;

/// Time until the deadline of a request without a deadline header.
const DEFAULT_TIME_LEFT: Millis = Millis(60_000);

/// The parameters of a request, parsed from its head.
#[derive(Clone, Debug)]
struct Work {
    request: String,
    path: String,
    key: Option<u16>,
    /// Whether the request is an order, which must run at most once.
    order: bool,
    /// Organisation named by the host, if any.
    organisation: Option<String>,
    /// Whether the request carried the caller's API key, which must not reach a server.
    key_leaked: bool,
    deadline: Millis,
    service_us: u64,
    length: u64,
    chunked: bool,
    crashes: bool,
    /// Declared length of the body.
    body_bytes: u64,
}

/// How a request ended at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Done,
    /// The request ran and took effect, but after its deadline.
    DoneLate,
    NotOwner,
    /// The queue was full, or a fault refuses the request.
    Refused,
    /// The deadline passed before the run.
    Expired,
    Cancelled,
    /// The server ended before the request did.
    Crashed,
}

/// Runs a request and returns its response, with the active faults applied. Records the notices in the response.
pub(crate) async fn respond(
    state: Rc<State>,
    request: Request<Incoming>,
) -> Result<Response<Body>, ConnectionCut> {
    let (head, body) = request.into_parts();
    let work = Work::parse(&state, &head);
    let request = work.request.clone();
    record_arrival(&state, &request);
    let response = run_and_respond(&state, work, body).await?;
    record_notices(&state, &request, &response);
    Ok(response)
}

async fn run_and_respond(
    state: &Rc<State>,
    work: Work,
    body: Incoming,
) -> Result<Response<Body>, ConnectionCut> {
    let _held = HeldBody::new(state, work.body_bytes);
    let memory = state.faults.borrow_mut().memory(state.now());
    if memory.is_some_and(|memory| state.held_bytes.get() > memory) {
        state.crash.cancel();
        return Err(ConnectionCut);
    }
    let Ok(_) = collect_body(body, BODY_MAX_BYTES).await else {
        return Err(ConnectionCut);
    };
    let injected = state.faults.borrow_mut().sample_refusal(state.now());
    if let Some(injected) = injected {
        let mut response = refusal(state, &work.request, End::Refused);
        if let Some(backoff) = injected.backoff {
            state.start_backoff(backoff);
            add_backoff_header(response.headers_mut(), backoff);
        }
        return Ok(response);
    }
    // An order runs on when its caller disconnects, as it may on a real server; a lookup is cancelled.
    let cancel = CancellationToken::new();
    let cancel_guard = cancel.clone().drop_guard();
    let end = monoio::spawn(run(Rc::clone(state), work.clone(), cancel)).await;
    cancel_guard.disarm();
    match end {
        End::Done => {}
        End::Crashed => return Err(ConnectionCut),
        End::DoneLate => {
            let mut response = json_response(504, &"the deadline passed");
            add_headers(state, response.headers_mut(), &work.request);
            return Ok(response);
        }
        End::Refused if state.faults.borrow_mut().is_mute(state.now()) => {
            // The connection serves one request after the other, so this one blocks all later ones.
            return std::future::pending().await;
        }
        end => return Ok(refusal(state, &work.request, end)),
    }
    let faults = state.faults.borrow_mut().sample(state.now());
    if faults.delay > Millis::ZERO {
        monoio::time::sleep(faults.delay.to_duration()).await;
    }
    if faults.lost {
        return Err(ConnectionCut);
    }
    let own_head = ResponseHead {
        request: work.request.clone(),
        path: work.path,
        server: state.options.name.to_string(),
        length: work.length,
    };
    let last = state.last_response.replace(Some(own_head.clone()));
    let sent_head = last.filter(|_| faults.crossed).unwrap_or(own_head);
    let body = ResponseBody::new(&sent_head, work.chunked, faults.cut_after);
    let mut response: Response<Body> = Response::new(Box::pin(body));
    if faults.failed {
        *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
    }
    add_headers(state, response.headers_mut(), &sent_head.request);
    if !faults.unmarked {
        let stamp = HeaderValue::from_static("stamp");
        response
            .headers_mut()
            .insert(call_header::UPSTREAM_STAMP, stamp);
    }
    Ok(response)
}

/// The body of a request that the server holds until the guard is dropped.
struct HeldBody {
    state: Rc<State>,
    bytes: u64,
}

impl HeldBody {
    fn new(state: &Rc<State>, bytes: u64) -> Self {
        state.held_bytes.set(state.held_bytes.get() + bytes);
        Self {
            state: Rc::clone(state),
            bytes,
        }
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let held = &self.state.held_bytes;
        held.set(held.get() - self.bytes);
    }
}

/// Refuses a request that is addressed to another server.
pub(crate) fn refuse_misdirected(state: &State, headers: &HeaderMap) -> Response<Body> {
    let request = call_header::text(headers, &call_header::REQUEST_ID);
    refusal(state, request.unwrap_or_default(), End::NotOwner)
}

/// Runs a request and counts how it ended.
async fn run(state: Rc<State>, work: Work, cancel: CancellationToken) -> End {
    let id = state.accept(work.key);
    let end = run_accepted(&state, &work, id, &cancel).await;
    state.finish(id);
    let mut recorder = state.recorder.borrow_mut();
    match end {
        End::NotOwner => recorder.ledger.not_held += 1,
        End::Refused => recorder.ledger.shed += 1,
        End::Expired => recorder.ledger.late += 1,
        End::Cancelled => recorder.ledger.cancelled += 1,
        End::Done | End::DoneLate | End::Crashed => {}
    }
    end
}

async fn run_accepted(state: &State, work: &Work, id: u64, cancel: &CancellationToken) -> End {
    if permit(state, work).is_err() {
        return End::NotOwner;
    }
    let wait = work.deadline.since(state.now());
    if wait == Millis::ZERO {
        return End::Expired;
    }
    let acquired = std::pin::pin!(state.slots.acquire(wait));
    let cancelled = std::pin::pin!(lookup_cancelled(work, cancel));
    let slot = match select(acquired, cancelled).await {
        Either::Left((Ok(slot), _)) => slot,
        Either::Left((Err(NoSlot::Shed), _)) => return End::Refused,
        Either::Left((Err(NoSlot::TimedOut), _)) => return End::Expired,
        Either::Right(_) => return End::Cancelled,
    };
    // The key lease may have ended in the queue: it is checked again here and before the run takes effect.
    let Ok(permit) = permit(state, work) else {
        return End::NotOwner;
    };
    if state.now() >= work.deadline {
        return End::Expired;
    }
    state.mark_running(id);
    let start = unix_micros();
    let service_us = state.service_us(work.service_us);
    if service_us > 0 {
        let worked = std::pin::pin!(monoio::time::sleep(Duration::from_micros(service_us)));
        let cancelled = std::pin::pin!(lookup_cancelled(work, cancel));
        if let Either::Right(_) = select(worked, cancelled).await {
            return End::Cancelled;
        }
    }
    if work.crashes {
        state.crash.cancel();
    }
    if state.crash.is_cancelled() {
        return End::Crashed;
    }
    let end = take_effect(state, work, permit, start);
    drop(slot);
    end
}

/// Waits until a lookup is cancelled; never returns for an order, which is not abandoned half-way.
async fn lookup_cancelled(work: &Work, cancel: &CancellationToken) {
    if work.order {
        std::future::pending::<()>().await;
    }
    cancel.cancelled().await;
}

/// Checks that the server owns the request's key; a server without keys needs no permit.
fn permit(state: &State, work: &Work) -> Result<Option<Permit>, ()> {
    if !state.options.keyed {
        return Ok(None);
    }
    let key = work.key.ok_or(())?;
    let leased_keys = state.leased_keys.borrow();
    leased_keys.permit_run(state.now(), key).map(Some).ok_or(())
}

/// Records the run as having taken effect, unless the key's lease has ended since the permit.
fn take_effect(state: &State, work: &Work, permit: Option<Permit>, start: u64) -> End {
    // Read before the check, so that a pause between the two makes the check fail instead of lengthening the run.
    let end = unix_micros();
    if let (Some(key), Some(permit)) = (work.key, permit)
        && !state
            .leased_keys
            .borrow()
            .may_take_effect(state.now(), key, permit)
    {
        return End::NotOwner;
    }
    state.recorder.borrow_mut().record_run(Run {
        server: state.options.name.to_string(),
        service: state.options.service.to_string(),
        key: work.key.filter(|_| state.options.keyed),
        request: work.request.clone(),
        order: work.order,
        organisation: work.organisation.clone(),
        key_leaked: work.key_leaked,
        fence: permit.map(|p| p.fence),
        start,
        end,
    });
    if state.now() > work.deadline {
        return End::DoneLate;
    }
    End::Done
}

/// Builds the response to a request that had no effect.
fn refusal(state: &State, request: &str, end: End) -> Response<Body> {
    let (status, text) = match end {
        End::NotOwner => (421, "the server does not hold the key"),
        End::Expired => (503, "the deadline passed in the queue"),
        End::Cancelled => (499, "cancelled"),
        End::Refused | End::Done | End::DoneLate | End::Crashed => (503, "the queue is full"),
    };
    let mut response = json_response(status, &text);
    add_headers(state, response.headers_mut(), request);
    let not_run = HeaderValue::from_static("1");
    response.headers_mut().insert(call_header::NOT_RUN, not_run);
    response
}

impl Work {
    fn parse(state: &State, head: &http::request::Parts) -> Self {
        let text = |name: &http::HeaderName| call_header::text(&head.headers, name);
        let time_left = text(&call_header::TIME_LEFT).and_then(|v| v.parse().ok());
        let request = text(&call_header::REQUEST_ID).unwrap_or_default();
        Self {
            request: request.to_owned(),
            path: head.uri.path().to_owned(),
            organisation: text(&call_header::ORGANISATION).map(str::to_owned),
            key_leaked: head.headers.contains_key(call_header::API_KEY),
            key: text(&call_header::KEY).and_then(|v| v.parse().ok()),
            order: head.method == Method::POST,
            deadline: state.now() + time_left.map_or(DEFAULT_TIME_LEFT, Millis),
            service_us: query_param(&head.uri, "work_us").unwrap_or(state.options.service_us),
            length: query_param(&head.uri, "body").unwrap_or(0),
            chunked: query_param::<u8>(&head.uri, "chunked") == Some(1),
            crashes: query_param::<u8>(&head.uri, "crash") == Some(1),
            body_bytes: text(&CONTENT_LENGTH)
                .and_then(|v| v.parse().ok())
                .unwrap_or(0),
        }
    }
}
