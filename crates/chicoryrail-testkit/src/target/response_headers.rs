//! Headers by which a target reports its state in its responses.

use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::Body;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::RETRY_AFTER;

use crate::Arrival;
use crate::Notice;
use crate::NoticeKind;
use crate::target::state::State;
use crate::unix_micros;

/// Adds the headers that every response has: request id, server, load, advertised limit, warm-up left, draining.
pub(crate) fn add_headers(state: &State, headers: &mut HeaderMap, request: &str) {
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
    let limit = state.faults.borrow_mut().advertised_limit(state.now());
    if let Some(value) = limit.and_then(|l| HeaderValue::from_str(&l.to_string()).ok()) {
        headers.insert(call_header::RATE_LIMIT, value);
    }
    let warmup_left = state.warmup_left();
    if warmup_left > Millis::ZERO {
        headers.insert(call_header::WARMUP_LEFT, HeaderValue::from(warmup_left.0));
    }
    add_drain_headers(state, headers);
}

/// Adds the headers by which a server says that it is draining.
pub(crate) fn add_drain_headers(state: &State, headers: &mut HeaderMap) {
    if state.says_draining() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        headers.insert(call_header::DRAINING, HeaderValue::from_static("1"));
    }
}

/// Adds the header by which a refusal asks the host to send nothing for a time.
pub(crate) fn add_backoff_header(headers: &mut HeaderMap, backoff: Millis) {
    let seconds = (backoff.0 as f64 / 1_000.0).to_string();
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        headers.insert(RETRY_AFTER, value);
    }
}

/// Records a request that arrives while the server wants nothing from at least one host.
pub(crate) fn record_arrival(state: &State, request: &str) {
    if state.is_in_backoff() {
        state.recorder.borrow_mut().record_arrival(Arrival {
            server: state.options.name.to_string(),
            born: state.started_unix_ms(),
            request: request.to_owned(),
            time: unix_micros(),
        });
    }
}

/// Records the notices that a response carries. A response with status 421 tells the host only that it sent the request
/// to a server that does not hold the key, or to an address that another server uses.
pub(crate) fn record_notices(state: &State, request: &str, response: &Response<Body>) {
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let headers = response.headers();
    let draining = headers.contains_key(call_header::DRAINING);
    let draining = draining.then_some(NoticeKind::Draining);
    let backoff = call_header::text(headers, &RETRY_AFTER).and_then(|t| t.parse::<f64>().ok());
    let backoff = backoff.map(|seconds| NoticeKind::Backoff {
        for_ms: (seconds * 1_000.0) as u64,
    });
    for kind in draining.into_iter().chain(backoff) {
        state.recorder.borrow_mut().record_notice(Notice {
            server: state.options.name.to_string(),
            born: state.started_unix_ms(),
            request: request.to_owned(),
            time: unix_micros(),
            kind,
        });
    }
}
