//! Requests of callers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chicoryrail_core::Epoch;
use chicoryrail_core::Fence;
use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::percent_decode;
use chicoryrail_platform::header;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::collect;
use chicoryrail_runtime::json_answer;
use futures_util::future::Either;
use futures_util::future::select;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::request::Parts;
use hyper::body::Incoming;

use crate::Cut;
use crate::Permit;
use crate::Run;
use crate::query;
use crate::target::answer::AnswerHead;
use crate::target::answer::Filler;
use crate::target::slots::NoSlot;
use crate::target::state::State;
use crate::wall_micros;

/// Largest body of a request taken, in bytes.
const BODY_MOST: usize = 64 << 20;

/// Deadline of a request that carries none.
const DEADLINE: Millis = Millis(60_000);

/// A request as the server reads it.
#[derive(Clone, Debug)]
struct Work {
    key: String,
    request: String,
    order: Option<String>,
    fence: Option<Fence>,
    deadline: Millis,
    service_us: u64,
    length: u64,
    chunked: bool,
}

/// How a request ended at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Done,
    Leaving,
    WrongOwner,
    Shed,
    Late,
    Cancelled,
}

/// Runs a request and answers it.
pub(crate) async fn answer(
    state: Rc<State>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let (head, body) = request.into_parts();
    let work = Work::read(&state, &head);
    let Ok(_) = collect(body, BODY_MOST).await else {
        return Err(Cut);
    };
    // The work goes on when the caller has left, as it does on a real server, but for a lookup that
    // waits in the queue.
    let cancel = CancellationToken::new();
    let left = cancel.clone().drop_guard();
    let end = monoio::spawn(run(Rc::clone(&state), work.clone(), cancel)).await;
    left.disarm();
    if end != End::Done {
        return Ok(refusal(&state, &work, end));
    }
    let fate = state.faults.borrow_mut().draw(state.now());
    if fate.delay > Millis::ZERO {
        monoio::time::sleep(fate.delay.duration()).await;
    }
    if fate.lost {
        return Err(Cut);
    }
    let own = AnswerHead {
        key: work.key.clone(),
        request: work.request.clone(),
        order: work.order.clone(),
        server: state.options.name.to_string(),
        length: work.length,
    };
    let last = state.last_answer.replace(Some(own.clone()));
    let shown = last.filter(|_| fate.crossed).unwrap_or(own);
    let body = Filler::new(&shown, work.chunked, fate.cut);
    let mut answer: Response<Body> = Response::new(Box::pin(body));
    mark(&state, answer.headers_mut(), &shown.request);
    Ok(answer)
}

async fn run(state: Rc<State>, work: Work, cancel: CancellationToken) -> End {
    let ticket = state.enter(&work.request, KeyHash::of(&work.key), cancel.clone());
    let end = run_accepted(&state, &work, ticket, &cancel).await;
    state.leave(ticket);
    let mut recorder = state.recorder.borrow_mut();
    match end {
        End::WrongOwner => recorder.ledger.wrong_owner += 1,
        End::Shed => recorder.ledger.shed += 1,
        End::Late => recorder.ledger.late += 1,
        End::Cancelled => recorder.ledger.cancelled += 1,
        End::Done | End::Leaving => {}
    }
    end
}

async fn run_accepted(state: &State, work: &Work, ticket: u64, cancel: &CancellationToken) -> End {
    if state.draining.get() {
        return End::Leaving;
    }
    if permit(state, work).is_err() {
        return End::WrongOwner;
    }
    let wait = work.deadline.since(state.now());
    if wait == Millis::ZERO {
        return End::Late;
    }
    let taken = std::pin::pin!(state.slots.take(wait));
    let gone = std::pin::pin!(cancelled(work, cancel));
    let slot = match select(taken, gone).await {
        Either::Left((Ok(slot), _)) => slot,
        Either::Left((Err(NoSlot::Shed), _)) => return End::Shed,
        Either::Left((Err(NoSlot::Late), _)) => return End::Late,
        Either::Right(_) => return End::Cancelled,
    };
    // The queue may have taken long: ownership is checked again before the run, and once more
    // before it takes effect.
    let Ok(permit) = permit(state, work) else {
        return End::WrongOwner;
    };
    if state.now() >= work.deadline {
        return End::Late;
    }
    state.start(ticket);
    let start = wall_micros();
    let service = state.service_us(work.service_us);
    if service > 0 {
        let worked = std::pin::pin!(monoio::time::sleep(Duration::from_micros(service)));
        let gone = std::pin::pin!(cancelled(work, cancel));
        if let Either::Right(_) = select(worked, gone).await {
            return End::Cancelled;
        }
    }
    let end = take_effect(state, work, permit, start);
    drop(slot);
    end
}

/// Waits until a lookup is cancelled; an order is never given up on half-way.
async fn cancelled(work: &Work, cancel: &CancellationToken) {
    if work.order.is_some() {
        std::future::pending::<()>().await;
    }
    cancel.cancelled().await;
}

fn permit(state: &State, work: &Work) -> Result<Option<Permit>, ()> {
    if !(state.options.keyed && state.options.fenced) {
        return Ok(None);
    }
    let ownership = state.ownership.borrow();
    ownership
        .may_run(state.now(), KeyHash::of(&work.key), work.fence)
        .map(Some)
        .map_err(|_| ())
}

fn take_effect(state: &State, work: &Work, permit: Option<Permit>, start: u64) -> End {
    let key = KeyHash::of(&work.key);
    let valid = permit.is_none_or(|p| state.ownership.borrow().may_finish(state.now(), key, p));
    if !valid {
        return End::WrongOwner;
    }
    let pair = |f: Fence| (f.epoch.0, f.version);
    state.recorder.borrow_mut().run(Run {
        server: state.options.name.to_string(),
        key: work.key.clone(),
        request: work.request.clone(),
        order: work.order.clone(),
        fence: permit.map(|p| pair(p.since)),
        sent: work.fence.map(pair),
        start,
        end: wall_micros(),
    });
    End::Done
}

fn refusal(state: &State, work: &Work, end: End) -> Response<Body> {
    let (status, text) = match end {
        End::WrongOwner => (409, "the server does not own the key"),
        End::Late => (504, "the deadline passed in the queue"),
        End::Cancelled => (499, "cancelled"),
        End::Leaving => (503, "the server is drained"),
        End::Shed | End::Done => (503, "the queue is full"),
    };
    let mut answer = if end == End::WrongOwner {
        json_answer(status, &state.session_answer())
    } else {
        json_answer(status, &text)
    };
    mark(state, answer.headers_mut(), &work.request);
    answer
        .headers_mut()
        .insert(header::NOT_RUN, HeaderValue::from_static("1"));
    answer
}

fn mark(state: &State, headers: &mut HeaderMap, request: &str) {
    if let Ok(id) = HeaderValue::from_str(request) {
        headers.insert(header::REQUEST_ID, id);
    }
    if let Ok(name) = HeaderValue::from_str(state.options.name.as_str()) {
        headers.insert(header::SERVER, name);
    }
    headers.insert(header::INSTANCE, HeaderValue::from(state.instance.get()));
}

impl Work {
    fn read(state: &State, head: &Parts) -> Self {
        let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let limit = text(header::DEADLINE).and_then(|v| v.parse().ok());
        let segment = head.uri.path().rsplit('/').next().unwrap_or_default();
        // Callers may write one key in several ways; it is checked and recorded by what it means.
        let key = percent_decode(segment).and_then(|key| String::from_utf8(key).ok());
        Self {
            key: key.unwrap_or_else(|| segment.to_owned()),
            request: text(header::REQUEST_ID).unwrap_or_default().to_owned(),
            order: text(header::ORDER_ID).map(str::to_owned),
            fence: text(header::FENCE).and_then(fence),
            deadline: state.now() + limit.map_or(DEADLINE, Millis),
            service_us: query(&head.uri, "work_us").unwrap_or(state.options.service_us),
            length: query(&head.uri, "body").unwrap_or(0),
            chunked: query::<u8>(&head.uri, "chunked") == Some(1),
        }
    }
}

fn fence(text: &str) -> Option<Fence> {
    let (epoch, version) = text.split_once('.')?;
    Some(Fence {
        epoch: Epoch(epoch.parse().ok()?),
        version: version.parse().ok()?,
    })
}

/// Reads the body of a control call.
pub(crate) async fn body(request: Request<Incoming>) -> Bytes {
    collect(request.into_body(), BODY_MOST)
        .await
        .unwrap_or_default()
}
