//! A caller's request, classified.

use std::rc::Rc;

use chicoryrail_core::Class;
use chicoryrail_core::KeyHash;
use chicoryrail_core::Kind;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_core::percent_decode;
use chicoryrail_platform::header;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::request::Parts;
use http::uri::PathAndQuery;

use crate::gate::Gate;
use crate::headers;
use crate::refusal::Refusal;
use crate::service::Entry;
use crate::trace::Trace;

/// Longest order id in bytes.
const MAX_ORDER_ID: usize = 128;

/// Longest request id that is taken from a caller, in bytes.
const MAX_REQUEST_ID: usize = 128;

/// A request with everything that its way depends on.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) entry: Rc<Entry>,
    pub(crate) class: Class,
    /// Position of the key; `None` in a free service.
    pub(crate) key: Option<KeyHash>,
    pub(crate) order: Option<String>,
    /// Request id, taken from the caller or made here.
    pub(crate) id: HeaderValue,
    /// Latest point for the answer's end.
    pub(crate) deadline: Millis,
    /// When the request came.
    pub(crate) came: Millis,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    pub(crate) headers: HeaderMap,
    /// Announced length of the body.
    pub(crate) length: Option<u64>,
    /// What is known of its sends.
    pub(crate) trace: Rc<Trace>,
}

impl Call {
    /// Classifies a request by its head.
    ///
    /// # Errors
    ///
    /// Returns the refusal to answer with; nothing was sent anywhere.
    pub(crate) fn read(gate: &Gate, head: Parts, id: HeaderValue) -> Result<Self, Refusal> {
        let services = gate.services();
        if services.config.version() == 0 {
            return Err(Refusal::new(ResultCode::NotReady));
        }
        let path = head.uri.path();
        let Some((entry, rest)) = services.find(path) else {
            return Err(Refusal::with(
                ResultCode::UnknownService,
                format!("path = {path}"),
            ));
        };
        let service = &entry.service;
        let class = class(&head.method, service.class);
        let key = match service.kind {
            Kind::Free => None,
            Kind::Keyed => Some(key(rest)?),
        };
        let order = match class {
            Class::Order => Some(order_id(&head.headers)?),
            Class::Interactive | Class::Batch => None,
        };
        let length = length(&head.headers)?;
        if length.is_some_and(|n| n > service.max_body) {
            return Err(Refusal::with(
                ResultCode::BodyTooLarge,
                format!("content-length is above {}", service.max_body),
            ));
        }
        let came = gate.now();
        let longest = service.deadline_ms;
        let asked = deadline(&head.headers)?.unwrap_or(longest);
        let path = head
            .uri
            .path_and_query()
            .cloned()
            .unwrap_or_else(|| PathAndQuery::from_static("/"));
        Ok(Self {
            entry: Rc::clone(entry),
            class,
            key,
            order,
            id,
            deadline: came + asked.min(longest),
            came,
            method: head.method,
            path,
            headers: headers::for_server(head.headers),
            length,
            trace: Rc::default(),
        })
    }

    /// Tells whether the request may be sent twice.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.class != Class::Order
    }

    /// Returns the time left.
    pub(crate) fn left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }
}

/// Returns the request id of the headers where it can be used, or a new one.
pub(crate) fn request_id(gate: &Gate, headers: &HeaderMap) -> HeaderValue {
    let given = headers.get(header::REQUEST_ID);
    let usable =
        |v: &&HeaderValue| !v.is_empty() && v.len() <= MAX_REQUEST_ID && v.to_str().is_ok();
    if let Some(id) = given.filter(usable) {
        return id.clone();
    }
    let text = format!("{:08x}-{:x}", gate.process.instance as u32, gate.serial());
    HeaderValue::try_from(text).expect("hexadecimal digits are a valid header")
}

/// Tells whether the text can be an order id.
pub(crate) fn is_order_id(text: &str) -> bool {
    (1..=MAX_ORDER_ID).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}

fn class(method: &Method, lookups: Class) -> Class {
    if [Method::POST, Method::PUT, Method::PATCH, Method::DELETE].contains(method) {
        return Class::Order;
    }
    lookups
}

/// Reads the key, the path segment after the service's prefix.
///
/// Percent-encoding is undone first: `a%62` and `ab` are the same key to a server, and must not have
/// two owners.
fn key(rest: &str) -> Result<KeyHash, Refusal> {
    let key = rest.split('/').next().unwrap_or("");
    if key.is_empty() {
        return Err(Refusal::new(ResultCode::KeyMissing));
    }
    // Text only: a server that reads keys as text has no one meaning for other bytes.
    let is_text =
        |key: &str| percent_decode(key).is_some_and(|key| std::str::from_utf8(&key).is_ok());
    KeyHash::of_segment(key)
        .filter(|_| !key.contains('%') || is_text(key))
        .ok_or_else(|| Refusal::with(ResultCode::BadRequest, format!("key = {key}")))
}

fn order_id(headers: &HeaderMap) -> Result<String, Refusal> {
    let mut ids = headers.get_all(header::ORDER_ID).iter();
    let id = ids.next().and_then(|v| v.to_str().ok());
    // With two ids the gate and the server could each take another one for the order's.
    let id = if ids.next().is_some() { Some("") } else { id };
    match id {
        Some(id) if is_order_id(id) => Ok(id.to_owned()),
        Some(_) => Err(Refusal::with(
            ResultCode::OrderIdMissing,
            "order-id: is not one value of 1 to 128 visible ASCII characters".to_owned(),
        )),
        None => Err(Refusal::new(ResultCode::OrderIdMissing)),
    }
}

fn length(headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(http::header::CONTENT_LENGTH) else {
        return Ok(None);
    };
    number(value)
        .map(Some)
        .ok_or_else(|| Refusal::with(ResultCode::BadRequest, format!("content-length: {value:?}")))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Millis>, Refusal> {
    let Some(value) = headers.get(header::DEADLINE) else {
        return Ok(None);
    };
    match number(value) {
        Some(n) if n > 0 => Ok(Some(Millis(n))),
        _ => Err(Refusal::with(
            ResultCode::BadRequest,
            format!("{}: {value:?} is no number above 0", header::DEADLINE),
        )),
    }
}

fn number(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.parse().ok()
}
