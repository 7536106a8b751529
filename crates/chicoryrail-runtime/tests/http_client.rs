//! Tests of the HTTP client on slow, stalled, abandoned and refused connections.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::HttpError;
use chicoryrail_runtime::ResponseTimeouts;
use chicoryrail_runtime::block_on;
use http::Request;
use http::Response;
use rstest::rstest;

/// Bytes of a response that must arrive in each wait for further data.
const PIECE_BYTES: usize = 5;

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

/// Starts a server that sends `pieces` of some bytes of a 100-byte response, one every 60 ms, and then stalls.
fn slow_server(pieces: usize, piece_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1_024]).unwrap();
        let head = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n";
        stream.write_all(head).unwrap();
        for _ in 0..pieces {
            if stream.write_all(&vec![1; piece_bytes]).is_err() {
                return;
            }
            thread::sleep(Millis(60).to_duration());
        }
        thread::sleep(Millis(5_000).to_duration());
    });
    addr
}

fn call_slow_server(pieces: usize, piece_bytes: usize) -> Result<Bytes, HttpError> {
    let addr = slow_server(pieces, piece_bytes);
    let timeouts = ResponseTimeouts {
        first_piece: Millis(250),
        next_piece: Millis(200),
        piece_bytes: PIECE_BYTES,
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
    assert_eq!(call_slow_server(10, 10).unwrap().len(), 100);
}

/// Guards against an endless wait for a server that stalls before or within its response body.
#[rstest]
#[case::before_the_first_piece(0, 0)]
#[case::within_the_body(7, 70)]
fn a_stalled_response_times_out(#[case] pieces: usize, #[case] bytes: usize) {
    let result = call_slow_server(pieces, 10);
    let stalled = matches!(result, Err(HttpError::Timeout { received, .. }) if received == bytes);
    assert!(stalled, "{result:?}");
}

/// Guards against a response that trickles without end: each byte would be progress, and the call would never end.
#[test]
fn a_trickling_response_times_out() {
    let result = call_slow_server(100, 1);
    assert!(
        matches!(result, Err(HttpError::Timeout { received, .. }) if received < 20),
        "{result:?}"
    );
}

/// Starts a server that responds to a request with `start`, and then sends `rest` until its caller closes.
fn endless_server(start: &'static [u8], rest: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1_024]).unwrap();
        let rest = rest.repeat(1_000);
        let mut sent = stream.write_all(start);
        while sent.is_ok() {
            sent = stream.write_all(&rest);
        }
    });
    addr
}

/// Guards against a response without an end that keeps the thread of the process busy, or fills its memory, until the
/// call's time is over.
#[rstest]
#[case::interim_heads(b"", b"HTTP/1.1 100 Continue\r\n\r\n")]
#[case::no_status_line(b"", b"abcdefgh")]
#[case::head(b"HTTP/1.1 200 OK\r\n", b"a: b\r\n")]
#[case::one_header(b"HTTP/1.1 200 OK\r\na: ", b"abcdefgh")]
#[case::chunks(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    b"4\r\nabcd\r\n"
)]
#[case::chunk_extension(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;a",
    b"aaaaaaaa"
)]
#[case::trailers(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    b"a: b\r\n"
)]
#[case::until_close(b"HTTP/1.1 200 OK\r\n\r\n", b"abcdefgh")]
fn an_endless_response_ends_the_call(#[case] start: &'static [u8], #[case] rest: &'static [u8]) {
    const MAX_RESPONSE: usize = 64 << 10;
    const ENDS_WITHIN: Millis = Millis(1_000);
    let addr = endless_server(start, rest);
    let (result, took) = block_on(async {
        let clock = Clock::start();
        let request = Request::get("/").body(Bytes::new()).unwrap();
        let client = HttpClient::default().with_max_response(MAX_RESPONSE);
        let result = client.call(addr, request, Millis(5_000)).await;
        (result, clock.now())
    });
    assert!(result.is_err(), "{result:?}");
    assert!(took < ENDS_WITHIN, "{} ms", took.0);
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
