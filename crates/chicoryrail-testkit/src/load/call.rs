//! One request of a caller and its outcome.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use bytes::BytesMut;
use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::collect_body;
use chicoryrail_runtime::full_body;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use monoio::time::sleep;
use monoio::time::timeout;
use serde::Deserialize;
use serde::Serialize;

use crate::BodyMark;
use crate::LoadKind;
use crate::ResponseHead;
use crate::load::mix::PlannedRequest;
use crate::load::paced_body::PacedBody;
use crate::load::pool::Pool;
use crate::unix_micros;

/// Time after its deadline at which a request counts as hung.
const HANG_GRACE: Millis = Millis(1_000);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// Outcome of a request as its caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request succeeded.
    Done,
    /// The request did not run.
    NotRun,
    /// Indeterminate: the request may have run.
    Unknown,
}

/// A request as recorded by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Id of the request.
    pub request: String,
    /// Kind of the request.
    pub kind: LoadKind,
    /// Path without the query.
    pub path: String,
    /// Host that was tried last, in the last attempt.
    pub host: SocketAddr,
    /// Time at which the request was due to start, in microseconds since 1970.
    pub intended: u64,
    /// Time at which the request ended, in microseconds since 1970.
    pub ended: u64,
    /// Deadline that the caller set, in microseconds since 1970.
    #[serde(default)]
    pub deadline: u64,
    /// Outcome of the request as the caller knows it.
    pub outcome: Outcome,
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Server that sent the response, if known.
    pub server: Option<String>,
    /// Why a successful response does not belong to this request, or is incomplete; `None` if it is right.
    pub wrong: Option<String>,
    /// Whether the caller abandoned the request without a response, a second after its deadline.
    pub hung: bool,
    /// API key that the request carried, by its owner.
    #[serde(default)]
    pub caller: CallerKind,
    /// The request's body; `None` if it is not known.
    #[serde(default)]
    pub body: Option<BodyMark>,
    /// Time after which a refused caller was asked to return.
    #[serde(default)]
    pub retry_after: Option<Millis>,
    /// Time of the last attempt in microseconds since 1970, if the caller returned after a refusal.
    #[serde(default)]
    pub returned: Option<u64>,
}

/// Whose API key a request carried.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerKind {
    /// The request carried no API key and needed none.
    #[default]
    Anybody,
    /// An API key of no organisation: the request must not run.
    Nobody,
    /// An API key of the organisation with this name.
    Organisation(String),
}

/// Sends a request and records its outcome; tries the next host if a connection is refused.
pub(crate) async fn call(
    pool: &Pool,
    hosts: &[SocketAddr],
    planned: &PlannedRequest,
    intended: u64,
    deadline: Millis,
) -> CallRecord {
    let mut record = CallRecord {
        request: planned.id.clone(),
        kind: planned.kind,
        path: planned.path.clone(),
        host: hosts[0],
        intended,
        ended: 0,
        deadline: unix_micros() + deadline.0 * 1_000,
        outcome: Outcome::NotRun,
        status: 0,
        server: None,
        wrong: None,
        hung: false,
        caller: match &planned.caller {
            None => CallerKind::Anybody,
            Some(caller) => match &caller.organisation {
                None => CallerKind::Nobody,
                Some(name) => CallerKind::Organisation(name.clone()),
            },
        },
        body: Some(BodyMark::of(&planned.body)),
        retry_after: None,
        returned: None,
    };
    let limit = (deadline + HANG_GRACE).to_duration();
    let sent = send(pool, hosts, planned, deadline, &mut record);
    if timeout(limit, sent).await.is_err() {
        record.outcome = Outcome::Unknown;
        record.hung = true;
    }
    record.ended = unix_micros();
    record
}

async fn send(
    pool: &Pool,
    hosts: &[SocketAddr],
    planned: &PlannedRequest,
    deadline: Millis,
    record: &mut CallRecord,
) {
    for host in hosts {
        record.host = *host;
        let Ok(mut sender) = pool.acquire(*host).await else {
            continue;
        };
        match sender.send_request(build_request(planned, deadline)).await {
            Ok(response) => {
                record_response(planned, response, record).await;
                pool.release(*host, sender);
                return;
            }
            // The connection ended before a byte was written, so another host may be tried.
            Err(e) if e.is_canceled() => {}
            Err(_) => {
                record.outcome = Outcome::Unknown;
                return;
            }
        }
    }
}

fn build_request(planned: &PlannedRequest, deadline: Millis) -> Request<Body> {
    let method = match planned.kind {
        LoadKind::Order | LoadKind::Upload => Method::POST,
        LoadKind::Lookup | LoadKind::Report => Method::GET,
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("{}?body={}", planned.path, planned.response_bytes))
        .header(http::header::HOST, &planned.host)
        .header(call_header::REQUEST_ID, &planned.id)
        .header(call_header::TIME_LEFT, deadline.0);
    if let Some(caller) = &planned.caller {
        builder = builder.header(call_header::API_KEY, caller.key.expose());
    }
    if let Some(key) = planned.key {
        builder = builder.header(call_header::KEY, key);
    }
    let body = planned.body.clone();
    let body: Body = if planned.pause == Millis::ZERO && !planned.is_chunked {
        full_body(body)
    } else {
        Box::pin(PacedBody::new(body, planned.pause, planned.is_chunked))
    };
    builder
        .body(body)
        .expect("ids and paths of the load are valid in HTTP")
}

async fn record_response(
    planned: &PlannedRequest,
    response: Response<Incoming>,
    record: &mut CallRecord,
) {
    let (head, body) = response.into_parts();
    let text = |name: &http::HeaderName| call_header::text(&head.headers, name);
    let stamped = text(&call_header::UPSTREAM_STAMP).is_some();
    record.status = head.status.as_u16();
    record.server = text(&call_header::SERVER).map(str::to_owned);
    let Ok(body) = read_body(body, planned.pause).await else {
        record.outcome = Outcome::Unknown;
        return;
    };
    if head.status.is_success() {
        record.outcome = Outcome::Done;
        record.wrong = mismatch(planned, stamped, text(&call_header::REQUEST_ID), &body);
        return;
    }
    if means_not_run(head.status) && !stamped {
        record.outcome = Outcome::NotRun;
        record.retry_after = text(&RETRY_AFTER).and_then(parse_seconds);
    } else {
        record.outcome = Outcome::Unknown;
    }
}

/// Reads a response body, with a pause before each piece.
async fn read_body(mut body: Incoming, pause: Millis) -> io::Result<Bytes> {
    if pause == Millis::ZERO {
        return collect_body(body, MAX_RESPONSE_BYTES).await;
    }
    let mut all = BytesMut::new();
    loop {
        sleep(pause.to_duration()).await;
        let Some(frame) = body.frame().await else {
            return Ok(all.freeze());
        };
        if let Ok(data) = frame.map_err(io::Error::other)?.into_data() {
            all.extend_from_slice(&data);
        }
    }
}

fn parse_seconds(text: &str) -> Option<Millis> {
    let seconds: f64 = text.parse().ok()?;
    Some(Millis((seconds * 1_000.0) as u64))
}

/// Returns `true` if a status guarantees that the request did not run, if no server stamped the response.
const fn means_not_run(status: StatusCode) -> bool {
    matches!(
        status.as_u16(),
        400 | 401 | 404 | 408 | 413 | 421 | 429 | 431 | 503
    )
}

/// Returns how a successful response differs from the expected one; `None` if it matches.
fn mismatch(
    planned: &PlannedRequest,
    stamped: bool,
    echoed_id: Option<&str>,
    body: &[u8],
) -> Option<String> {
    if !stamped {
        return Some("the response carries no stamp of a server".to_owned());
    }
    let Some(head) = ResponseHead::check(body) else {
        return Some(format!("body of {} bytes is incomplete", body.len()));
    };
    if head.request != planned.id || head.path != planned.path {
        return Some(format!("response to request {}", head.request));
    }
    if head.length != planned.response_bytes {
        return Some(format!(
            "{} bytes requested, {} reported",
            planned.response_bytes, head.length
        ));
    }
    echoed_id
        .filter(|id| *id != planned.id)
        .map(|id| format!("header has the id of request {id}"))
}
