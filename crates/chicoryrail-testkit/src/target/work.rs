//! Requests of callers.

use std::rc::Rc;
use std::time::Duration;

use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::collect;
use chicoryrail_runtime::json_answer;
use futures_util::future::Either;
use futures_util::future::select;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
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

/// Time of a request that names none.
const TIME: Millis = Millis(60_000);

/// A request as the server reads it.
#[derive(Clone, Debug)]
struct Work {
    request: String,
    path: String,
    key: Option<u16>,
    /// Whether it must run at most once.
    order: bool,
    /// Organisation that the host named.
    organisation: Option<String>,
    /// Whether the API key came along.
    key_leaked: bool,
    deadline: Millis,
    service_us: u64,
    length: u64,
    chunked: bool,
}

/// How a request ended at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Done,
    /// It ran, and the deadline passed before its end.
    TooLong,
    NotHeld,
    Full,
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
    if state.faults.borrow_mut().refuses(state.now()) {
        return Ok(refusal(&state, &work.request, End::Full));
    }
    // An order goes on when the caller has left, as it may on a real server; a lookup does not.
    let cancel = CancellationToken::new();
    let left = cancel.clone().drop_guard();
    let end = monoio::spawn(run(Rc::clone(&state), work.clone(), cancel)).await;
    left.disarm();
    match end {
        End::Done => {}
        End::TooLong => {
            let mut answer = json_answer(504, &"the deadline passed");
            mark(&state, answer.headers_mut(), &work.request);
            return Ok(answer);
        }
        end => return Ok(refusal(&state, &work.request, end)),
    }
    let fate = state.faults.borrow_mut().draw(state.now());
    if fate.delay > Millis::ZERO {
        monoio::time::sleep(fate.delay.duration()).await;
    }
    if fate.lost {
        return Err(Cut);
    }
    let own = AnswerHead {
        request: work.request.clone(),
        path: work.path,
        server: state.options.name.to_string(),
        length: work.length,
    };
    let last = state.last_answer.replace(Some(own.clone()));
    let shown = last.filter(|_| fate.crossed).unwrap_or(own);
    let body = Filler::new(&shown, work.chunked, fate.cut);
    let mut answer: Response<Body> = Response::new(Box::pin(body));
    if fate.failed {
        *answer.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
    }
    mark(&state, answer.headers_mut(), &shown.request);
    if !fate.unmarked {
        let stamp = HeaderValue::from_static("stamp");
        answer.headers_mut().insert(call_header::STAMP, stamp);
    }
    Ok(answer)
}

/// Refuses a request that is meant for another server.
pub(crate) fn misdirected(state: &State, headers: &HeaderMap) -> Response<Body> {
    let request = call_header::text(headers, &call_header::REQUEST_ID);
    refusal(state, request.unwrap_or_default(), End::NotHeld)
}

async fn run(state: Rc<State>, work: Work, cancel: CancellationToken) -> End {
    let ticket = state.enter(work.key);
    let end = run_accepted(&state, &work, ticket, &cancel).await;
    state.end(ticket);
    let mut recorder = state.recorder.borrow_mut();
    match end {
        End::NotHeld => recorder.ledger.not_held += 1,
        End::Full => recorder.ledger.shed += 1,
        End::Late => recorder.ledger.late += 1,
        End::Cancelled => recorder.ledger.cancelled += 1,
        End::Done | End::TooLong => {}
    }
    end
}

async fn run_accepted(state: &State, work: &Work, ticket: u64, cancel: &CancellationToken) -> End {
    if permit(state, work).is_err() {
        return End::NotHeld;
    }
    let wait = work.deadline.since(state.now());
    if wait == Millis::ZERO {
        return End::Late;
    }
    let taken = std::pin::pin!(state.slots.take(wait));
    let gone = std::pin::pin!(cancelled(work, cancel));
    let slot = match select(taken, gone).await {
        Either::Left((Ok(slot), _)) => slot,
        Either::Left((Err(NoSlot::Shed), _)) => return End::Full,
        Either::Left((Err(NoSlot::Late), _)) => return End::Late,
        Either::Right(_) => return End::Cancelled,
    };
    // The queue may have taken long: the hold is checked again before the run, and once more before it
    // takes effect.
    let Ok(permit) = permit(state, work) else {
        return End::NotHeld;
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
    if work.order {
        std::future::pending::<()>().await;
    }
    cancel.cancelled().await;
}

fn permit(state: &State, work: &Work) -> Result<Option<Permit>, ()> {
    if !state.options.keyed {
        return Ok(None);
    }
    let key = work.key.ok_or(())?;
    let holding = state.holding.borrow();
    holding.may_run(state.now(), key).map(Some).ok_or(())
}

fn take_effect(state: &State, work: &Work, permit: Option<Permit>, start: u64) -> End {
    // Read before the check: a pause between the two makes the check fail, not the run seem longer.
    let end = wall_micros();
    if let (Some(key), Some(permit)) = (work.key, permit)
        && !state.holding.borrow().may_finish(state.now(), key, permit)
    {
        return End::NotHeld;
    }
    state.recorder.borrow_mut().run(Run {
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
        return End::TooLong;
    }
    End::Done
}

fn refusal(state: &State, request: &str, end: End) -> Response<Body> {
    let (status, text) = match end {
        End::NotHeld => (421, "the server does not hold the key"),
        End::Late => (503, "the deadline passed in the queue"),
        End::Cancelled => (499, "cancelled"),
        End::Full | End::Done | End::TooLong => (503, "the queue is full"),
    };
    let mut answer = json_answer(status, &text);
    mark(state, answer.headers_mut(), request);
    let not_run = HeaderValue::from_static("1");
    answer.headers_mut().insert(call_header::NOT_RUN, not_run);
    answer
}

fn mark(state: &State, headers: &mut HeaderMap, request: &str) {
    let slots = &state.slots;
    let load = format!(
        "{},{},{}",
        slots.busy(),
        slots.queued(),
        state.options.slots
    );
    let values = [
        (call_header::REQUEST_ID, request),
        (call_header::SERVER, state.options.name.as_str()),
        (call_header::LOAD, &load),
    ];
    for (name, text) in values {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name, value);
        }
    }
    let limit = state.faults.borrow_mut().limit(state.now());
    if let Some(value) = limit.and_then(|l| HeaderValue::from_str(&l.to_string()).ok()) {
        headers.insert(call_header::RATE_LIMIT, value);
    }
    let cold = state.cold_left();
    if cold > Millis::ZERO {
        headers.insert(call_header::COLD_LEFT, HeaderValue::from(cold.0));
    }
    if state.is_leaving() {
        let close = HeaderValue::from_static("close");
        headers.insert(http::header::CONNECTION, close);
    }
}

impl Work {
    fn read(state: &State, head: &Parts) -> Self {
        let text = |name: &http::HeaderName| call_header::text(&head.headers, name);
        let left = text(&call_header::TIME_LEFT).and_then(|v| v.parse().ok());
        let request = text(&call_header::REQUEST_ID).unwrap_or_default();
        Self {
            request: request.to_owned(),
            path: head.uri.path().to_owned(),
            organisation: text(&call_header::ORGANISATION).map(str::to_owned),
            key_leaked: head.headers.contains_key(call_header::API_KEY),
            key: text(&call_header::KEY).and_then(|v| v.parse().ok()),
            order: head.method == Method::POST,
            deadline: state.now() + left.map_or(TIME, Millis),
            service_us: query(&head.uri, "work_us").unwrap_or(state.options.service_us),
            length: query(&head.uri, "body").unwrap_or(0),
            chunked: query::<u8>(&head.uri, "chunked") == Some(1),
        }
    }
}
