//! Blocking HTTP requests for code outside an async runtime.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::block_on;
use http::Method;
use http::Request;

use crate::ClusterError;

/// Sends a request, waits for the whole response and returns its status and body.
///
/// The request runs on its own thread with its own runtime, so this may be called from any thread.
///
/// # Errors
///
/// Returns [`ClusterError::Call`] if the request is invalid or no whole response arrives within `timeout`.
pub fn call_blocking(
    method: &Method,
    addr: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
    timeout: Millis,
) -> Result<(u16, Bytes), ClusterError> {
    let operation = format!("{method} {addr}{path}");
    let call_error = |message: String| ClusterError::Call {
        operation: operation.clone(),
        message,
    };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .body(body.into())
        .map_err(|e| call_error(e.to_string()))?;
    let called = std::thread::spawn(move || {
        let client = HttpClient::default().with_max_response(1 << 30);
        block_on(async { client.call(addr, request, timeout).await })
            .map(|a| (a.status().as_u16(), a.into_body()))
            .map_err(|e| e.to_string())
    });
    match called.join() {
        Ok(result) => result.map_err(call_error),
        Err(_) => Err(call_error("the request thread panicked".to_owned())),
    }
}

/// Returns `true` if a `GET` request returns status 200.
pub(crate) fn responds_ok(addr: SocketAddr, path: &str, timeout: Millis) -> bool {
    matches!(
        call_blocking(&Method::GET, addr, path, "", timeout),
        Ok((200, _))
    )
}

/// Repeats a `GET` request until it returns status 200.
pub(crate) fn wait_until_ok(
    addr: SocketAddr,
    path: &str,
    timeout: Millis,
    operation: &str,
) -> Result<(), ClusterError> {
    let deadline = Instant::now() + timeout.to_duration();
    while Instant::now() < deadline {
        if responds_ok(addr, path, Millis(1_000)) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(ClusterError::Timeout {
        operation: operation.to_owned(),
        timeout_ms: timeout.0,
    })
}
