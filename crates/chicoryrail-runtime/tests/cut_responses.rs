//! Responses that a peer cuts off at any byte, within their heads too.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::CallClient;
use chicoryrail_runtime::HostPool;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::collect_body;
use chicoryrail_runtime::empty_body;
use http::Request;
use rstest::rstest;
use socket2::SockRef;

/// Time for a call; none of them takes it.
const CALL_TIME: Millis = Millis(5_000);

/// Largest response body in bytes.
const RESPONSE_BYTES_MAX: usize = 1 << 10;

/// How a peer ends a connection behind a part of its response.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    HalfClose,
    Reset,
}

/// Client that makes the calls.
#[derive(Clone, Copy, Debug)]
enum Client {
    /// The one for the store, for control messages between hosts, and for tools.
    Http,
    /// The same, on the connection of an earlier call.
    HttpKept,
    /// The one for requests that another host passes on.
    Host,
    /// The same, on the connection of an earlier request.
    HostKept,
    /// The one for calls about keys, each on a connection of its own.
    CallOnce,
    /// The same, on the connection of an earlier call.
    CallRepeatedly,
}

impl Client {
    /// Returns `true` if the call that is cut follows a whole one on its connection.
    const fn is_kept(self) -> bool {
        matches!(self, Self::HttpKept | Self::HostKept | Self::CallRepeatedly)
    }
}

/// Reads a request's head; `false` if the connection ends before.
fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read_exact(&mut byte).is_err() {
            return false;
        }
        head.push(byte[0]);
    }
    true
}

/// Starts a peer that cuts its response behind the first byte, behind the second on the next connection, and so on. If
/// `begins_whole`, it answers the first request of each connection with `response`.
fn start_peer(response: Vec<u8>, end: End, begins_whole: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for cut in 0..response.len() {
            let (mut stream, _) = listener.accept().unwrap();
            if begins_whole && read_head(&mut stream) {
                stream.write_all(&response).unwrap();
            }
            if !read_head(&mut stream) {
                continue;
            }
            stream.write_all(&response[..cut]).unwrap();
            match end {
                End::Close => {}
                End::HalfClose => {
                    let _ = stream.shutdown(std::net::Shutdown::Write);
                    let _ = stream.read(&mut [0]);
                }
                End::Reset => {
                    let socket = SockRef::from(&stream);
                    socket.set_linger(Some(Duration::ZERO)).unwrap();
                }
            }
        }
    });
    addr
}

fn call() -> Request<Bytes> {
    Request::get("/").body(Bytes::new()).unwrap()
}

/// Sends a request like one that another host passes on; `true` if there is a whole response.
async fn is_passed_on(pool: &HostPool, addr: SocketAddr) -> bool {
    let mut conn = pool.acquire(addr).await.unwrap();
    let request = Request::get("/").body(empty_body()).unwrap();
    let Ok(response) = conn.send(request).await else {
        return false;
    };
    let body = collect_body(response.into_body(), RESPONSE_BYTES_MAX).await;
    pool.release(conn);
    body.is_ok()
}

/// Makes a call, behind a whole response if the client keeps its connection; `true` if there is a whole response.
async fn is_answered(client: Client, addr: SocketAddr) -> bool {
    match client {
        Client::Http | Client::HttpKept => {
            let http = HttpClient::default();
            if client.is_kept() {
                http.call(addr, call(), CALL_TIME).await.unwrap();
            }
            http.call(addr, call(), CALL_TIME).await.is_ok()
        }
        Client::Host | Client::HostKept => {
            let pool = HostPool::new(1);
            if client.is_kept() {
                assert!(is_passed_on(&pool, addr).await);
            }
            is_passed_on(&pool, addr).await
        }
        Client::CallOnce => {
            let calls = CallClient::<u8>::new(RESPONSE_BYTES_MAX);
            calls.call_once(addr, call(), CALL_TIME).await.is_ok()
        }
        Client::CallRepeatedly => {
            let calls = CallClient::new(RESPONSE_BYTES_MAX);
            let send = || calls.call_repeatedly(addr, (0_u8, 0..=9), call(), CALL_TIME);
            send().await.unwrap();
            send().await.is_ok()
        }
    }
}

/// Guards against a response that is taken for a whole one, with an empty or short body, though its peer stopped within its
/// head or body.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 12\r\nx: y\r\n\r\nabcdefghijkl")]
#[case::length_last("HTTP/1.1 200 OK\r\nx: y\r\ncontent-length: 12\r\n\r\nabcdefghijkl")]
#[case::chunks(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nabcdef\r\n6\r\nghijkl\r\n0\r\n\r\n"
)]
#[case::empty("HTTP/1.1 200 OK\r\nx: y\r\ncontent-length: 0\r\n\r\n")]
#[case::no_content("HTTP/1.1 204 No Content\r\nx: y\r\n\r\n")]
#[case::interim(
    "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab"
)]
#[case::bare_line_feeds("HTTP/1.1 200 OK\ncontent-length: 12\nx: y\n\nabcdefghijkl")]
#[case::old("HTTP/1.0 200 OK\r\ncontent-length: 12\r\nconnection: keep-alive\r\n\r\nabcdefghijkl")]
fn a_cut_response_is_no_response(
    #[case] response: &'static str,
    #[values(End::Close, End::HalfClose, End::Reset)] end: End,
    #[values(
        Client::Http,
        Client::HttpKept,
        Client::Host,
        Client::HostKept,
        Client::CallOnce,
        Client::CallRepeatedly
    )]
    client: Client,
) {
    let addr = start_peer(response.into(), end, client.is_kept());
    block_on(async {
        for cut in 0..response.len() {
            let is_whole = is_answered(client, addr).await;
            assert!(!is_whole, "cut behind byte {cut}");
        }
    });
}

/// Guards against the same within a head that states no length: its connection's end must not count as the body's.
#[rstest]
fn a_cut_head_without_a_length_is_no_response(
    #[values("HTTP/1.1 200 OK\r\nx: y\r\n\r\n", "HTTP/1.0 200 OK\r\nx: y\r\n\r\n")]
    head: &'static str,
    #[values(End::Close, End::HalfClose, End::Reset)] end: End,
    #[values(Client::Http, Client::Host, Client::CallOnce)] client: Client,
) {
    let addr = start_peer(head.into(), end, client.is_kept());
    block_on(async {
        for cut in 0..head.len() {
            let is_whole = is_answered(client, addr).await;
            assert!(!is_whole, "cut behind byte {cut}");
        }
    });
}
