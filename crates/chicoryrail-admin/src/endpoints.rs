//! Calls of the API: paths, bodies, answers.

use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_platform::Store;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::collect;
use chicoryrail_runtime::error_answer;
use chicoryrail_runtime::json_answer;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::request::Parts;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Admin;
use crate::ApiError;
use crate::Caller;
use crate::Change;
use crate::MoveBody;
use crate::Place;
use crate::RollBody;
use crate::query;

/// Largest body in bytes; a bundle's text is at most 768 KiB.
pub const MAX_BODY: usize = 1 << 20;

/// Time in which a body must arrive. Bundles come from the operators' own networks; who sends more
/// slowly holds a megabyte of memory for nothing.
const BODY_TIME: Millis = Millis(10_000);

/// What a call did, for the answer and the audit record.
struct Done {
    answer: Response<Body>,
    /// What it was about, where the path does not name it.
    subject: Option<String>,
    detail: String,
}

type Outcome = Result<Done, ApiError>;

/// Answers a call of the API, or of health, metrics and events.
pub async fn handle<S, B>(admin: &Admin<S>, request: Request<B>) -> Response<Body>
where
    S: Store,
    B: hyper::body::Body<Data = bytes::Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Some(answer) = admin.process.observe(&request) {
        return answer;
    }
    let (head, body) = request.into_parts();
    let segments: Vec<String> = match split(head.uri.path()) {
        Ok(segments) => segments,
        Err(e) => return refuse(&e),
    };
    let path: Vec<&str> = segments.iter().map(String::as_str).collect();
    let call = name(&head.method, &path);
    let result = match admin.access.caller(&head.headers) {
        Err(e) => Err(e),
        Ok(_) if head.method == Method::GET => {
            let done = read(admin, &path, head.uri.query()).await;
            done.map(|done| done.answer)
        }
        Ok(caller) => match receive(body).await {
            Err(e) => Err(e),
            Ok(text) => return change(admin, &caller, &head, &path, &text, call).await,
        },
    };
    let code = result.as_ref().map_or_else(|e| e.code, |_| ResultCode::Ok);
    count(admin, call, code);
    result.unwrap_or_else(|e| refuse(&e))
}

/// Answers the calls that change nothing.
async fn read<S: Store>(admin: &Admin<S>, path: &[&str], query: Option<&str>) -> Outcome {
    match path {
        ["v1", "bundles"] => ok(200, &admin.list_bundles().await?),
        ["v1", "bundles", digest] => ok(200, &admin.get_bundle(digest).await?),
        ["v1", "bundles", a, "diff", b] => ok(200, &admin.diff_bundles(a, b).await?),
        ["v1", "status"] => ok(200, &admin.status().await?),
        ["v1", "pending"] => {
            let version = query::field(query, "version")?;
            let version = version.map(|text| number("version", &text)).transpose()?;
            ok(200, &admin.pending(version).await?)
        }
        ["v1", "owner"] => {
            let service = required(query, "service")?;
            let key = required(query, "key")?;
            ok(200, &admin.owner(&service, &key).await?)
        }
        _ => Err(no_path()),
    }
}

/// Answers a call that changes something, with its audit record.
///
/// A call is recorded from the point where it has a caller, a known path and a body of the right
/// shape; anything else can't change a thing, and would let garbage use up the store's writes.
async fn change<S: Store>(
    admin: &Admin<S>,
    caller: &Caller,
    head: &Parts,
    path: &[&str],
    text: &str,
    call: &'static str,
) -> Response<Body> {
    let result = dispatch(admin, caller, &head.method, path, text).await;
    let code = match &result {
        Ok(done) if done.answer.status() == 202 => ResultCode::RollPending,
        Ok(_) => ResultCode::Ok,
        Err(e) => e.code,
    };
    count(admin, call, code);
    let shapeless = matches!(
        code,
        ResultCode::BadRequest | ResultCode::BundleSyntax | ResultCode::NameUnknown
    );
    let mut written = None;
    if let Some(who) = caller.name.as_ref().filter(|_| !shapeless) {
        let named = path.get(2).copied().unwrap_or_default();
        let outcome = match &result {
            Ok(done) => Ok((
                done.subject.as_deref().unwrap_or(named),
                done.detail.as_str(),
            )),
            Err(e) => Err((named, e)),
        };
        written = Some(admin.audit(who, call, outcome).await);
    }
    let mut answer = result.map_or_else(|e| refuse(&e), |done| done.answer);
    if let Some(written) = written {
        let value = if written { "written" } else { "failed" };
        let headers = answer.headers_mut();
        headers.insert("chicoryrail-audit", HeaderValue::from_static(value));
    }
    answer
}

async fn dispatch<S: Store>(
    admin: &Admin<S>,
    caller: &Caller,
    method: &Method,
    path: &[&str],
    text: &str,
) -> Outcome {
    if method != Method::POST {
        return Err(ApiError::field(
            "method",
            method.as_str(),
            "is neither GET nor POST",
        ));
    }
    match path {
        ["v1", "bundles"] => {
            let view = admin.put_bundle(caller, text).await?;
            Ok(Done {
                subject: Some(view.digest.to_string()),
                ..ok(200, &view)?
            })
        }
        ["v1", "bundles", digest, "signatures"] => {
            let sign = admin.sign_bundle(caller, digest, parse(text)?).await?;
            ok(200, &sign)
        }
        ["v1", "rolls"] => {
            let body: RollBody = parse(text)?;
            let done = changed(&admin.roll(caller, &body).await?)?;
            Ok(Done {
                subject: Some(body.digest),
                ..done
            })
        }
        ["v1", kind, name, way @ ("out" | "in")] => {
            let place = Place::parse(kind, name).ok_or_else(no_path)?;
            let body: MoveBody = if text.is_empty() {
                MoveBody::default()
            } else {
                parse(text)?
            };
            let out = *way == "out";
            changed(&admin.relocate(caller, &place, out, body.force).await?)
        }
        _ => Err(no_path()),
    }
}

/// Names the call for metrics: a closed set, so that callers can't make labels.
fn name(method: &Method, path: &[&str]) -> &'static str {
    match (method.as_str(), path) {
        ("GET", ["v1", "bundles"]) => "bundle-list",
        ("GET", ["v1", "bundles", _]) => "bundle-get",
        ("GET", ["v1", "bundles", _, "diff", _]) => "bundle-diff",
        ("GET", ["v1", "status"]) => "status",
        ("GET", ["v1", "pending"]) => "pending",
        ("GET", ["v1", "owner"]) => "owner",
        ("POST", ["v1", "bundles"]) => "bundle-put",
        ("POST", ["v1", "bundles", _, "signatures"]) => "bundle-sign",
        ("POST", ["v1", "rolls"]) => "roll",
        ("POST", ["v1", "data-centres", _, "out"]) => "data-centre-out",
        ("POST", ["v1", "data-centres", _, "in"]) => "data-centre-in",
        ("POST", ["v1", "hosts", _, "out"]) => "host-out",
        ("POST", ["v1", "hosts", _, "in"]) => "host-in",
        ("POST", ["v1", "servers", _, "out"]) => "server-out",
        ("POST", ["v1", "servers", _, "in"]) => "server-in",
        _ => "other",
    }
}

fn count<S>(admin: &Admin<S>, call: &str, code: ResultCode) {
    let code = code.number().to_string();
    admin.calls.with_label_values(&[call, &code]).inc();
}

fn split(path: &str) -> Result<Vec<String>, ApiError> {
    path.split('/').skip(1).map(query::decode).collect()
}

async fn receive<B>(body: B) -> Result<String, ApiError>
where
    B: hyper::body::Body<Data = bytes::Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let received = monoio::time::timeout(BODY_TIME.duration(), collect(body, MAX_BODY)).await;
    let bytes = match received {
        Err(_) => return Err(ApiError::new(ResultCode::SlowSender, "")),
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::InvalidData => {
            return Err(ApiError::new(ResultCode::BodyTooLarge, e.to_string()));
        }
        Ok(Err(e)) => {
            return Err(ApiError::new(ResultCode::BadRequest, format!("body: {e}")));
        }
        Ok(Ok(bytes)) => bytes,
    };
    String::from_utf8(bytes.into())
        .map_err(|e| ApiError::new(ResultCode::BadRequest, format!("body: {}", e.utf8_error())))
}

/// Reads a JSON object; serde alone would take an array for a struct too.
fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ApiError> {
    if !text.trim_start().starts_with('{') {
        let reason = "body: is no JSON object";
        return Err(ApiError::new(ResultCode::BadRequest, reason));
    }
    serde_json::from_str(text)
        .map_err(|e| ApiError::new(ResultCode::BadRequest, format!("body: {e}")))
}

fn required(query: Option<&str>, name: &str) -> Result<String, ApiError> {
    query::field(query, name)?
        .filter(|text| !text.is_empty())
        .ok_or_else(|| ApiError::field(name, "", "is missing from the query"))
}

fn number(name: &str, text: &str) -> Result<u64, ApiError> {
    text.parse()
        .map_err(|_| ApiError::field(name, text, "is no whole number"))
}

fn ok<T: Serialize>(status: u16, value: &T) -> Outcome {
    Ok(Done {
        answer: json_answer(status, value),
        subject: None,
        detail: String::new(),
    })
}

/// Answers 200 where a change is accepted, and 202 with the code of `RollPending` until then.
fn changed(change: &Change) -> Outcome {
    let detail = format!("version={}", change.version);
    if change.pending.accepted {
        return Ok(Done {
            detail,
            ..ok(200, change)?
        });
    }
    let code = ResultCode::RollPending;
    let mut done = ok(code.status(), change)?;
    let headers = done.answer.headers_mut();
    headers.insert("chicoryrail-code", HeaderValue::from(code.number()));
    Ok(Done { detail, ..done })
}

fn no_path() -> ApiError {
    ApiError::new(ResultCode::NameUnknown, "the API has no such path")
}

fn refuse(error: &ApiError) -> Response<Body> {
    error_answer(error.code, &error.message)
}
