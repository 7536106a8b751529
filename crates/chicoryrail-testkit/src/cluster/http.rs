//! Calls from code that runs on no runtime.

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

/// Sends a request and waits for the whole answer; returns status and body.
///
/// It runs on a thread and a runtime of its own, so it may be called from anywhere.
///
/// # Errors
///
/// Returns [`ClusterError::Call`] where no whole answer came in time.
pub fn call_blocking(
    method: &Method,
    addr: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
    limit: Millis,
) -> Result<(u16, Bytes), ClusterError> {
    let what = format!("{method} {addr}{path}");
    let fail = |message: String| ClusterError::Call {
        what: what.clone(),
        message,
    };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .body(body.into())
        .map_err(|e| fail(e.to_string()))?;
    let called = std::thread::spawn(move || {
        let client = HttpClient::default().with_limit(1 << 30);
        block_on(async { client.call(addr, request, limit).await })
            .map(|a| (a.status().as_u16(), a.into_body()))
            .map_err(|e| e.to_string())
    });
    match called.join() {
        Ok(result) => result.map_err(fail),
        Err(_) => Err(fail("the calling thread panicked".to_owned())),
    }
}

/// Tells whether a `GET` is answered with status 200.
pub(crate) fn is_ok(addr: SocketAddr, path: &str, limit: Millis) -> bool {
    matches!(
        call_blocking(&Method::GET, addr, path, "", limit),
        Ok((200, _))
    )
}

/// Waits until a `GET` is answered with status 200.
pub(crate) fn wait_answer(
    addr: SocketAddr,
    path: &str,
    limit: Millis,
    what: &str,
) -> Result<(), ClusterError> {
    let until = Instant::now() + limit.duration();
    while Instant::now() < until {
        if is_ok(addr, path, Millis(1_000)) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(ClusterError::Late {
        what: what.to_owned(),
        limit_ms: limit.0,
    })
}
