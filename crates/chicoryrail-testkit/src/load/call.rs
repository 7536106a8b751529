//! One request of a caller and what became of it.

use std::net::SocketAddr;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_platform::header;
use chicoryrail_runtime::collect;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use monoio::time::timeout;
use serde::Deserialize;
use serde::Serialize;

use crate::AnswerHead;
use crate::LoadKind;
use crate::load::mix::Ask;
use crate::load::pool::Pool;
use crate::wall_micros;

/// Time past its deadline after which a request counts as hanging.
const HANG: Millis = Millis(1_000);

/// Largest answer taken, in bytes.
const ANSWER_MOST: usize = 256 << 20;

/// What the caller knows of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It was answered.
    Done,
    /// It was not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A request as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Id of the request.
    pub request: String,
    /// What it was.
    pub kind: LoadKind,
    /// Path without the query.
    pub path: String,
    /// Order id, for an order.
    pub order: Option<String>,
    /// Whether the order id was sent before.
    pub duplicate: bool,
    /// Gate that was asked last.
    pub gate: SocketAddr,
    /// Wall-clock time in microseconds at which the request was to start.
    pub intended: u64,
    /// Wall-clock time of its end in microseconds.
    pub ended: u64,
    /// What the caller knows.
    pub outcome: Outcome,
    /// HTTP status; 0 where no answer came.
    pub status: u16,
    /// Numbered result; 0 where none was given.
    pub code: u16,
    /// Server that answered, where it is known.
    pub server: Option<String>,
    /// Why an answer that seemed right is not this request's own, or not whole.
    pub wrong: Option<String>,
    /// Whether the caller gave up waiting past the deadline.
    pub hung: bool,
}

/// Returns the id that the caller gave, of one that a target saw: a gate may add a full stop and a
/// mark of its attempt.
#[must_use]
pub fn caller_id(seen: &str) -> &str {
    seen.split_once('.').map_or(seen, |(id, _)| id)
}

#[derive(Deserialize)]
struct RunBody {
    run: String,
}

/// Sends a request, to the next gate where a connection is refused, and judges the answer.
pub(crate) async fn call(
    pool: &Pool,
    gates: &[SocketAddr],
    ask: &Ask,
    intended: u64,
    deadline: Millis,
) -> CallRecord {
    let mut record = CallRecord {
        request: ask.request.clone(),
        kind: ask.kind,
        path: ask.path.clone(),
        order: ask.order.clone(),
        duplicate: ask.duplicate,
        gate: gates[0],
        intended,
        ended: 0,
        outcome: Outcome::NotRun,
        status: 0,
        code: 0,
        server: None,
        wrong: None,
        hung: false,
    };
    let limit = (deadline + HANG).duration();
    let attempt = exchange(pool, gates, ask, deadline, &mut record);
    if timeout(limit, attempt).await.is_err() {
        record.outcome = Outcome::Unknown;
        record.hung = true;
    }
    record.ended = wall_micros();
    record
}

async fn exchange(
    pool: &Pool,
    gates: &[SocketAddr],
    ask: &Ask,
    deadline: Millis,
    record: &mut CallRecord,
) {
    for gate in gates {
        record.gate = *gate;
        let Ok(mut sender) = pool.take(*gate).await else {
            continue;
        };
        match sender.send_request(request(ask, deadline, *gate)).await {
            Ok(answer) => {
                judge(ask, answer, record).await;
                pool.give(*gate, sender);
                return;
            }
            // The connection had ended before a byte was written.
            Err(e) if e.is_canceled() => {}
            Err(_) => {
                record.outcome = Outcome::Unknown;
                return;
            }
        }
    }
}

fn request(ask: &Ask, deadline: Millis, gate: SocketAddr) -> Request<Full<Bytes>> {
    let method = match ask.kind {
        LoadKind::Order => Method::POST,
        LoadKind::Lookup | LoadKind::Report => Method::GET,
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("{}?body={}", ask.path, ask.length))
        .header(http::header::HOST, gate.to_string())
        .header(header::REQUEST_ID, &ask.request)
        .header(header::DEADLINE, deadline.0);
    if let Some(order) = &ask.order {
        builder = builder.header(header::ORDER_ID, order);
    }
    builder
        .body(Full::new(Bytes::from(ask.body.clone())))
        .expect("ids and paths of the load are valid in HTTP")
}

async fn judge(ask: &Ask, answer: Response<Incoming>, record: &mut CallRecord) {
    let (head, body) = answer.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    let code = text("chicoryrail-code").and_then(|v| v.parse::<u16>().ok());
    let not_run = text(header::NOT_RUN) == Some("1");
    record.status = head.status.as_u16();
    record.code = code.unwrap_or(0);
    record.server = text(header::SERVER).map(str::to_owned);
    let Ok(body) = collect(body, ANSWER_MOST).await else {
        record.outcome = Outcome::Unknown;
        return;
    };
    if head.status.is_success() {
        record.outcome = Outcome::Done;
        record.wrong = mismatch(ask, text(header::REQUEST_ID), &body);
        return;
    }
    let run = serde_json::from_slice::<RunBody>(&body).map(|b| b.run).ok();
    let known = code
        .and_then(ResultCode::from_number)
        .map(|c| c.run().to_owned());
    record.outcome = match run.or(known).as_deref() {
        Some("not run") => Outcome::NotRun,
        Some("done") => Outcome::Done,
        None if not_run => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
}

/// Tells in what an answer differs from the request's own.
///
/// An order's answer may be that of another request with its order id: whichever of them was run
/// first, the others are given its outcome, and a duplicate may overtake the first request.
fn mismatch(ask: &Ask, echoed: Option<&str>, body: &[u8]) -> Option<String> {
    let Some(head) = AnswerHead::check(body) else {
        let whole =
            ask.order.is_some() && serde_json::from_slice::<serde_json::Value>(body).is_ok();
        return (!whole).then(|| format!("body of {} bytes is not whole", body.len()));
    };
    if head.order != ask.order || head.key != ask.key {
        return Some(format!("answer of {} {:?}", head.key, head.order));
    }
    if ask.order.is_some() {
        return None;
    }
    if caller_id(&head.request) != ask.request {
        return Some(format!("answer of request {}", head.request));
    }
    if head.length != ask.length {
        return Some(format!("{} bytes asked, {} told", ask.length, head.length));
    }
    echoed
        .filter(|id| *id != ask.request)
        .map(|id| format!("header names request {id}"))
}
