//! JSON answers of listeners.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde::Serialize;

use crate::Body;
use crate::full;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Builds a JSON answer.
#[must_use]
pub fn json_answer<T: Serialize>(status: u16, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => answer(status, bytes.into()),
        Err(_) => answer(500, Bytes::from_static(b"{}")),
    }
}

/// Builds the JSON answer to a call that can't be obeyed; `message` names the field and the value.
#[must_use]
pub fn error_answer(status: u16, message: &str) -> Response<Body> {
    json_answer(status, &ErrorBody { error: message })
}

fn answer(status: u16, bytes: Bytes) -> Response<Body> {
    let mut answer = Response::new(full(bytes));
    *answer.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}
