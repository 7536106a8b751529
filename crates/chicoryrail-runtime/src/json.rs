//! JSON answers of listeners.

use bytes::Bytes;
use chicoryrail_core::ResultCode;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde::Serialize;

use crate::Body;
use crate::full;

#[derive(Serialize)]
struct ErrorBody<'a> {
    code: u16,
    run: &'static str,
    error: &'a str,
}

/// Builds a JSON answer.
#[must_use]
pub fn json_answer<T: Serialize>(status: u16, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => answer(status, bytes.into()),
        Err(_) => answer(500, Bytes::from_static(b"{\"code\":5000}")),
    }
}

/// Builds the answer for a result other than success.
///
/// The body is JSON: `code` is the number, `run` tells what is known of the request's run, `error`
/// names the field and the value. The number also stands in the header `chicoryrail-code`.
#[must_use]
pub fn error_answer(code: ResultCode, message: &str) -> Response<Body> {
    let error = if message.is_empty() {
        code.text()
    } else {
        message
    };
    let body = ErrorBody {
        code: code.number(),
        run: code.run(),
        error,
    };
    let mut answer = json_answer(code.status(), &body);
    answer
        .headers_mut()
        .insert("chicoryrail-code", HeaderValue::from(code.number()));
    answer
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
