//! Connections to servers and to the store.

use std::io::ErrorKind;
use std::io::Read;
use std::net::TcpListener;
use std::thread;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::HttpError;
use chicoryrail_runtime::block_on;
use http::Request;

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
