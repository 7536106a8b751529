//! JSON responses of listeners.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde::Serialize;

use crate::Body;
use crate::full_body;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Builds a JSON response. A value that can't be serialized gives status 500 and an empty object.
#[must_use]
pub fn json_response<T: Serialize>(status: u16, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => response(status, bytes.into()),
        Err(_) => response(500, Bytes::from_static(b"{}")),
    }
}

/// Builds the JSON response to an invalid call. `message` names the offending field and its value.
#[must_use]
pub fn error_response(status: u16, message: &str) -> Response<Body> {
    json_response(status, &ErrorBody { error: message })
}

fn response(status: u16, bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
