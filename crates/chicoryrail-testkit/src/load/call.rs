//! One request of a caller and what became of it.

use std::net::SocketAddr;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::collect;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
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
    /// Host that was asked last.
    pub host: SocketAddr,
    /// Wall-clock time in microseconds at which the request was to start.
    pub intended: u64,
    /// Wall-clock time of its end in microseconds.
    pub ended: u64,
    /// What the caller knows.
    pub outcome: Outcome,
    /// HTTP status; 0 where no answer came.
    pub status: u16,
    /// Server that answered, where it is known.
    pub server: Option<String>,
    /// Why an answer that seemed right is not this request's own, or not whole.
    pub wrong: Option<String>,
    /// Whether the caller gave up waiting past the deadline.
    pub hung: bool,
    /// Whether it carried an API key, and if so the organisation that holds it.
    #[serde(default)]
    pub caller: CallerKind,
}

/// Whose API key a request carried.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerKind {
    /// It needed none.
    #[default]
    Anybody,
    /// Nobody's: it must not run.
    Nobody,
    /// That of the organisation.
    Organisation(String),
}

/// Sends a request, to the next host where a connection is refused, and judges the answer.
pub(crate) async fn call(
    pool: &Pool,
    hosts: &[SocketAddr],
    ask: &Ask,
    intended: u64,
    deadline: Millis,
) -> CallRecord {
    let mut record = CallRecord {
        request: ask.request.clone(),
        kind: ask.kind,
        path: ask.path.clone(),
        host: hosts[0],
        intended,
        ended: 0,
        outcome: Outcome::NotRun,
        status: 0,
        server: None,
        wrong: None,
        hung: false,
        caller: match &ask.caller {
            None => CallerKind::Anybody,
            Some(caller) => match &caller.organisation {
                None => CallerKind::Nobody,
                Some(name) => CallerKind::Organisation(name.clone()),
            },
        },
    };
    let limit = (deadline + HANG).duration();
    let attempt = exchange(pool, hosts, ask, deadline, &mut record);
    if timeout(limit, attempt).await.is_err() {
        record.outcome = Outcome::Unknown;
        record.hung = true;
    }
    record.ended = wall_micros();
    record
}

async fn exchange(
    pool: &Pool,
    hosts: &[SocketAddr],
    ask: &Ask,
    deadline: Millis,
    record: &mut CallRecord,
) {
    for host in hosts {
        record.host = *host;
        let Ok(mut sender) = pool.take(*host).await else {
            continue;
        };
        match sender.send_request(request(ask, deadline)).await {
            Ok(answer) => {
                judge(ask, answer, record).await;
                pool.give(*host, sender);
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

fn request(ask: &Ask, deadline: Millis) -> Request<Full<Bytes>> {
    let method = match ask.kind {
        LoadKind::Order => Method::POST,
        LoadKind::Lookup | LoadKind::Report => Method::GET,
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("{}?body={}", ask.path, ask.length))
        .header(http::header::HOST, &ask.host)
        .header(call_header::REQUEST_ID, &ask.request)
        .header(call_header::TIME_LEFT, deadline.0);
    if let Some(caller) = &ask.caller {
        builder = builder.header(call_header::API_KEY, caller.key.expose());
    }
    if let Some(key) = ask.key {
        builder = builder.header(call_header::KEY, key);
    }
    builder
        .body(Full::new(Bytes::from(ask.body.clone())))
        .expect("ids and paths of the load are valid in HTTP")
}

async fn judge(ask: &Ask, answer: Response<Incoming>, record: &mut CallRecord) {
    let (head, body) = answer.into_parts();
    let text = |name: &http::HeaderName| call_header::text(&head.headers, name);
    let marked = text(&call_header::STAMP).is_some();
    record.status = head.status.as_u16();
    record.server = text(&call_header::SERVER).map(str::to_owned);
    let Ok(body) = collect(body, ANSWER_MOST).await else {
        record.outcome = Outcome::Unknown;
        return;
    };
    if head.status.is_success() {
        record.outcome = Outcome::Done;
        record.wrong = mismatch(ask, marked, text(&call_header::REQUEST_ID), &body);
        return;
    }
    record.outcome = if says_not_run(head.status) && !marked {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    };
}

/// Tells whether a status promises that the request did not run.
const fn says_not_run(status: StatusCode) -> bool {
    matches!(
        status.as_u16(),
        400 | 401 | 404 | 408 | 413 | 421 | 429 | 431 | 503
    )
}

/// Tells in what an answer differs from the request's own.
fn mismatch(ask: &Ask, marked: bool, echoed: Option<&str>, body: &[u8]) -> Option<String> {
    if !marked {
        return Some("no server has marked the answer".to_owned());
    }
    let Some(head) = AnswerHead::check(body) else {
        return Some(format!("body of {} bytes is not whole", body.len()));
    };
    if head.request != ask.request || head.path != ask.path {
        return Some(format!("answer of request {}", head.request));
    }
    if head.length != ask.length {
        return Some(format!("{} bytes asked, {} told", ask.length, head.length));
    }
    echoed
        .filter(|id| *id != ask.request)
        .map(|id| format!("header names request {id}"))
}
