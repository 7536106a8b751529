//! Connections to servers and to the store.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::AnswerWait;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::HttpError;
use chicoryrail_runtime::block_on;
use http::Request;
use http::Response;
use rstest::rstest;

/// Bytes of an order that is larger than what the path takes in while nobody reads.
const LONG: usize = 16 << 20;

/// A leader sends an order, the path holds it up, the leader gives the call up; another leader acts. What is
/// still on its way must not arrive afterwards: the connection is reset, not closed, so the system drops
/// what it has not delivered.
#[test]
fn a_call_that_is_given_up_does_not_arrive_later() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        thread::sleep(Millis(600).duration());
        let mut all = Vec::new();
        let end = stream.read_to_end(&mut all).map_err(|e| e.kind());
        (all.len(), end)
    });
    let result = block_on(async {
        let request = Request::post("/").body(Bytes::from(vec![1; LONG])).unwrap();
        let client = HttpClient::default();
        let result = client.call(addr, request, Millis(100)).await;
        monoio::time::sleep(Millis(1_000).duration()).await;
        result
    });
    assert!(
        matches!(result, Err(HttpError::Timeout { .. })),
        "{result:?}"
    );
    let (read, end) = server.join().unwrap();
    assert!(read < LONG, "{read} bytes arrived");
    assert_eq!(end, Err(ErrorKind::ConnectionReset));
}

/// Starts a server that sends `pieces` of an answer of 100 bytes, one each 60 ms, and then nothing more.
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
            thread::sleep(Millis(60).duration());
        }
        thread::sleep(Millis(5_000).duration());
    });
    addr
}

fn read_slowly(pieces: usize) -> Result<Bytes, HttpError> {
    let addr = slow_server(pieces);
    let wait = AnswerWait {
        first: Millis(250),
        further: Millis(200),
    };
    let request = Request::get("/").body(Bytes::new()).unwrap();
    block_on(async {
        let client = HttpClient::default();
        let answer = client.call_while_arriving(addr, request, wait, || {}).await;
        answer.map(Response::into_body)
    })
}

/// A long answer over a slow link is given up although it is arriving.
#[test]
fn an_answer_that_is_arriving_is_waited_for() {
    assert_eq!(read_slowly(10).unwrap().len(), 100);
}

/// A server that freezes amid its answer is waited for without end.
#[rstest]
#[case::before_the_first_piece(0, 0)]
#[case::amid_the_answer(7, 70)]
fn an_answer_that_stalls_is_given_up(#[case] pieces: usize, #[case] bytes: usize) {
    let result = read_slowly(pieces);
    let stalled = matches!(result, Err(HttpError::Timeout { received, .. }) if received == bytes);
    assert!(stalled, "{result:?}");
}

/// Nobody listens at the address: the call fails at once, and says that nothing was sent.
#[test]
fn a_refused_connection_is_told_at_once() {
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
