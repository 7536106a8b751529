//! Broken HTTP at the listener: refused or cut, while others are served.

use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use chicoryrail_admin::Access;
use chicoryrail_admin::Admin;
use chicoryrail_platform::KvStore;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::Process;
use chicoryrail_runtime::block_on;
use monoio::net::TcpListener;
use rstest::rstest;

struct Api {
    addr: SocketAddr,
    stop: CancellationToken,
}

impl Drop for Api {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Api {
    /// Starts an API on a thread of its own; its store and its host list do not answer.
    fn start() -> Self {
        let (tell, told) = mpsc::channel();
        std::thread::spawn(move || {
            block_on(async {
                let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
                let process = Process::new(&"entry-1".into(), "chicoryrail-admin");
                let stop = process.stop.clone();
                let store = KvStore::new(nowhere);
                let admin =
                    Admin::new(process, store, Access::default(), "entry-1".into(), nowhere);
                let listener = TcpListener::bind("127.0.0.1:0").unwrap();
                tell.send((listener.local_addr().unwrap(), stop)).unwrap();
                chicoryrail_admin::serve(listener, Rc::new(admin)).await;
            });
        });
        let (addr, stop) = told.recv().unwrap();
        Self { addr, stop }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        stream
    }

    /// Sends bytes and returns the first line of the answer; empty where the connection was closed.
    fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        // The listener may close while the rest is still being sent; what it said counts.
        let _ = stream.write_all(bytes);
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        let text = String::from_utf8_lossy(&answer).into_owned();
        text.lines().next().unwrap_or_default().to_owned()
    }

    fn is_well(&self) -> bool {
        let line = self.exchange(b"GET /readyz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        line == "HTTP/1.1 200 OK"
    }
}

#[rstest]
#[case::garbage(b"\x00\xff\x16\x03\x01 nonsense\r\n\r\n".to_vec(), "HTTP/1.1 400 Bad Request")]
#[case::no_version(b"GET /v1/status\r\n\r\n".to_vec(), "HTTP/1.1 400 Bad Request")]
#[case::length(
    b"POST /v1/rolls HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n".to_vec(),
    "HTTP/1.1 400 Bad Request"
)]
#[case::two_lengths(
    b"POST /v1/rolls HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab".to_vec(),
    "HTTP/1.1 400 Bad Request"
)]
#[case::chunk(
    b"POST /v1/rolls HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".to_vec(),
    "HTTP/1.1 400 Bad Request"
)]
#[case::header_name(b"GET / HTTP/1.1\r\nho st: a\r\n\r\n".to_vec(), "HTTP/1.1 400 Bad Request")]
#[case::large_head(
    format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "a".repeat(40 << 10)).into_bytes(),
    "HTTP/1.1 431 Request Header Fields Too Large"
)]
#[case::many_headers(
    format!("GET / HTTP/1.1\r\nhost: a\r\n{}\r\n", "x: 1\r\n".repeat(200)).into_bytes(),
    "HTTP/1.1 431 Request Header Fields Too Large"
)]
#[case::endless_body(
    [&b"POST /v1/bundles HTTP/1.1\r\nhost: a\r\noperator: alice\r\ncontent-length: 99999999\r\n\r\n"[..],
        &vec![b'#'; 2 << 20]].concat(),
    "HTTP/1.1 413 Payload Too Large"
)]
fn broken_requests_are_refused(#[case] bytes: Vec<u8>, #[case] expected: &str) {
    let api = Api::start();
    let line = api.exchange(&bytes);
    // A listener that closes with unread bytes resets the connection, which may take its answer
    // with it: nothing else may come in its place.
    assert!(line == expected || line.is_empty(), "{line}");
    assert!(api.is_well());
}

/// A caller announces a body and goes away in the middle. The listener drops it; a cut body is never
/// taken for a whole one, and other callers are served.
#[test]
fn a_cut_body_is_dropped() {
    let api = Api::start();
    let head = b"POST /v1/data-centres/a/out HTTP/1.1\r\nhost: a\r\noperator: alice\r\n";
    let body = b"content-length: 14\r\n\r\n{\"force\":";
    let mut stream = api.connect();
    stream.write_all(&[&head[..], &body[..]].concat()).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
        "{answer}"
    );
    assert!(api.is_well());
}

/// More connections than the limit are opened and stay idle. The surplus is closed at once; when
/// some end, new ones are served.
#[test]
fn idle_connections_beyond_the_limit_are_closed() {
    let api = Api::start();
    let mut open: Vec<TcpStream> = (0..140).map(|_| api.connect()).collect();
    let mut closed = 0;
    for stream in &mut open[128..] {
        closed += usize::from(matches!(stream.read(&mut [0; 1]), Ok(0) | Err(_)));
    }
    assert_eq!(closed, 12);
    drop(open);
    let well = (0..200).any(|_| {
        std::thread::sleep(Duration::from_millis(10));
        api.is_well()
    });
    assert!(well);
}

/// The process is told to stop while a call is under way: the call is answered, then it ends.
#[test]
fn a_planned_stop_answers_the_call_under_way() {
    let api = Api::start();
    let mut stream = api.connect();
    let head = b"POST /v1/rolls HTTP/1.1\r\nhost: a\r\noperator: alice\r\n";
    stream.write_all(head).unwrap();
    let rest = b"expect: 100-continue\r\ncontent-length: 2\r\n\r\n";
    stream.write_all(rest).unwrap();
    // The listener asks for the body: the call is under way.
    let mut told = [0; 25];
    stream.read_exact(&mut told).unwrap();
    assert_eq!(&told, b"HTTP/1.1 100 Continue\r\n\r\n");
    api.stop.cancel();
    std::thread::sleep(Duration::from_millis(50));
    stream.write_all(b"{}").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(
        answer.starts_with("HTTP/1.1 400 Bad Request\r\n"),
        "{answer}"
    );
    assert!(answer.contains("missing field `digest`"), "{answer}");
}
