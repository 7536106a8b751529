//! Real gate processes between a small controller, host list and targets of the test.

// Each test file is a crate of its own and uses a part of these.
#![allow(dead_code, unreachable_pub, unused_imports)]

mod control;
mod gate;
mod target;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::HttpError;
pub use control::Control;
pub use control::route;
pub use gate::Gate;
pub use gate::World;
use http::Request;
use http::Response;
pub use target::Act;
pub use target::Target;

/// Longest wait of a test for anything; far above what a busy machine needs.
pub const PATIENCE: Millis = Millis(20_000);

/// Returns an address that is free now.
///
/// A process that is told its ports can't be given port 0. The ports lie below those that the
/// system hands out itself, and each call of a test process gets another one, so that nobody takes
/// the port before the gate binds it.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORTS {
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = (std::process::id().wrapping_mul(401).wrapping_add(n)) % PORTS;
        let addr = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + offset) as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
    panic!("no port is free");
}

/// First port given to gates.
const FIRST_PORT: u32 = 20_000;

/// Number of ports given to gates.
const PORTS: u32 = 12_000;

/// Waits until `done` holds.
pub async fn until(what: &str, mut done: impl FnMut() -> bool) {
    for _ in 0..PATIENCE.0 / 5 {
        if done() {
            return;
        }
        monoio::time::sleep(Millis(5).duration()).await;
    }
    panic!("waited in vain until {what}");
}

/// Sends a request on a connection of its own.
pub async fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Response<Bytes>, HttpError> {
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Bytes::copy_from_slice(body)).unwrap();
    HttpClient::default().call(addr, request, PATIENCE).await
}

/// Sends a lookup.
pub async fn get(addr: SocketAddr, path: &str) -> Result<Response<Bytes>, HttpError> {
    call(addr, "GET", path, &[], b"").await
}

/// Sends an order.
pub async fn order(addr: SocketAddr, path: &str, id: &str) -> Result<Response<Bytes>, HttpError> {
    call(addr, "POST", path, &[("order-id", id)], b"{\"n\":1}").await
}

/// Returns status, result code and body of an answer.
pub fn outcome(answer: &Response<Bytes>) -> (u16, Option<u16>, String) {
    let code = answer.headers().get("chicoryrail-code");
    let code = code.map(|c| c.to_str().unwrap().parse().unwrap());
    let body = String::from_utf8_lossy(answer.body()).into_owned();
    (answer.status().as_u16(), code, body)
}

/// Returns the result code of an answer.
pub fn code(answer: &Response<Bytes>) -> Option<u16> {
    outcome(answer).1
}
