//! Builds the responses to requests that had no effect.

use chicoryrail_platform::call_header;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::json_response;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;

use crate::target::request_end::RequestEnd;
use crate::target::response_headers::add_headers;
use crate::target::state::State;

/// Refuses a request that is addressed to another server.
pub(super) fn refuse_misdirected(state: &State, headers: &HeaderMap) -> Response<Body> {
    let request = call_header::text(headers, &call_header::REQUEST_ID);
    refusal(state, request.unwrap_or_default(), RequestEnd::NotOwner)
}

/// Builds the response to a request that had no effect.
pub(super) fn refusal(state: &State, request: &str, end: RequestEnd) -> Response<Body> {
    let (status, text) = match end {
        RequestEnd::NotOwner => (421, "the server does not hold the key"),
        RequestEnd::Expired => (503, "the deadline passed in the queue"),
        RequestEnd::Cancelled => (499, "cancelled"),
        RequestEnd::Refused | RequestEnd::Done | RequestEnd::DoneLate | RequestEnd::Crashed => {
            (503, "the queue is full")
        }
    };
    let mut response = json_response(status, &text);
    add_headers(state, response.headers_mut(), request);
    let not_run = HeaderValue::from_static("1");
    response.headers_mut().insert(call_header::NOT_RUN, not_run);
    response
}
