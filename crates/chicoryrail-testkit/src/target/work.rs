//! Parses the parameters of a request from its head.

use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use http::Method;
use http::header::CONTENT_LENGTH;

use crate::BodyMark;
use crate::query_param;
use crate::target::state::State;

/// Time until the deadline of a request without a deadline header.
const DEFAULT_TIME_LEFT: Millis = Millis(60_000);

/// The parameters of a request, parsed from its head.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) request: String,
    pub(super) path: String,
    pub(super) key: Option<u16>,
    /// Whether the request is an order, which must run at most once.
    pub(super) order: bool,
    /// Organisation named by the host, if any.
    pub(super) organisation: Option<String>,
    /// Whether the request carried the caller's API key, which must not reach a server.
    pub(super) key_leaked: bool,
    pub(super) deadline: Millis,
    pub(super) service_us: u64,
    pub(super) length: u64,
    pub(super) chunked: bool,
    pub(super) crashes: bool,
    /// Number of bytes of the response after which the request ends the server.
    pub(super) crashes_at: Option<u64>,
    /// Declared length of the body.
    pub(super) body_bytes: u64,
    /// The body, once it was read.
    pub(super) body: Option<BodyMark>,
}

impl Work {
    /// Parses the parameters of a request.
    pub(super) fn parse(state: &State, head: &http::request::Parts) -> Self {
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
            crashes_at: query_param(&head.uri, "crash_at"),
            body_bytes: text(&CONTENT_LENGTH)
                .and_then(|v| v.parse().ok())
                .unwrap_or(0),
            body: None,
        }
    }
}
