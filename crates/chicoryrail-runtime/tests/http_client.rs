//! Tests of the HTTP client on slow, stalled, abandoned and refused connections.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::HttpError;
use chicoryrail_runtime::ResponseTimeouts;
use chicoryrail_runtime::block_on;
use http::Request;
use http::Response;
use rstest::rstest;

/// Bytes of a request body that exceeds the buffers of the path while the server does not read.
const BODY_BYTES: usize = 16 << 20;

/// Guards against the late delivery of an abandoned call: the path delays a leader's call, the call times out and
/// another leader acts. The connection must be reset, not closed, so that the kernel drops undelivered bytes.
#[test]
fn an_abandoned_call_is_not_delivered_later() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        thread::sleep(Millis(600).to_duration());
        let mut all = Vec::new();
        let end = stream.read_to_end(&mut all).map_err(|e| e.kind());
        (all.len(), end)
    });
    let result = block_on(async {
        let request = Request::post("/")
            .body(Bytes::from(vec![1; BODY_BYTES]))
            .unwrap();
        let client = HttpClient::default();
        let result = client.call(addr, request, Millis(100)).await;
        monoio::time::sleep(Millis(1_000).to_duration()).await;
        result
    });
    assert!(
        matches!(result, Err(HttpError::Timeout { .. })),
        "{result:?}"
    );
    let (read, end) = server.join().unwrap();
    assert!(read < BODY_BYTES, "{read} bytes arrived");
    assert_eq!(end, Err(ErrorKind::ConnectionReset));
}

/// Starts a server that sends `pieces` of 10 bytes of a 100-byte response, one every 60 ms, and then stalls.
fn slow_server(pieces: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1_024]).unwrap();
        let head = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n";
        stream.write_all(head).unwrap();
        for _ in 0..pieces {
            stream.write_all(&[1; 10]).unwrap();
            thread::sleep(Millis(60).to_duration());
        }
        thread::sleep(Millis(5_000).to_duration());
    });
    addr
}

fn call_slow_server(pieces: usize) -> Result<Bytes, HttpError> {
    let addr = slow_server(pieces);
    let timeouts = ResponseTimeouts {
        first_piece: Millis(250),
        next_piece: Millis(200),
    };
    let request = Request::get("/").body(Bytes::new()).unwrap();
    block_on(async {
        let client = HttpClient::default();
        let response = client
            .call_while_receiving(addr, request, timeouts, || {})
            .await;
        response.map(Response::into_body)
    })
}

/// Guards against a timeout of a long response on a slow link while data is still arriving.
#[test]
fn a_response_in_progress_does_not_time_out() {
    assert_eq!(call_slow_server(10).unwrap().len(), 100);
}

/// Guards against an endless wait for a server that stalls before or within its response body.
#[rstest]
#[case::before_the_first_piece(0, 0)]
#[case::within_the_body(7, 70)]
fn a_stalled_response_times_out(#[case] pieces: usize, #[case] bytes: usize) {
    let result = call_slow_server(pieces);
    let stalled = matches!(result, Err(HttpError::Timeout { received, .. }) if received == bytes);
    assert!(stalled, "{result:?}");
}

/// Without a listener at the address, the call fails at once with `Connect`, which means that nothing was sent.
#[test]
fn a_refused_connection_fails_at_once() {
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = free.local_addr().unwrap();
    drop(free);
    let result = block_on(async {
        let request = Request::get("/").body(Bytes::new()).unwrap();
        HttpClient::default()
            .call(addr, request, Millis(5_000))
            .await
    });
    assert!(
        matches!(result, Err(HttpError::Connect { .. })),
        "{result:?}"
    );
}
