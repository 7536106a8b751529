//! Bad input of callers: the router stays alive, bounded and well for others, and no server sees it.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::block_on;
use http::Request;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::time::timeout;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::strategy::Strategy;
use proptest::strategy::ValueTree;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;
use support::RouterProcess;
use support::Server;
use support::World;

/// Growth of a router's memory that the bad input of one test may cause, in KiB. Far above what pools and
/// buffers of the connections at hand take, far below what an unbounded read would.
const GROWTH: u64 = 64 << 10;

struct Set {
    _world: World,
    server: Rc<Server>,
    router: RouterProcess,
}

impl Set {
    async fn start(test: &str) -> Self {
        let world = World::start(&format!("bad-{test}")).await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        Self {
            _world: world,
            server,
            router,
        }
    }

    fn addr(&self) -> SocketAddr {
        self.router.callers
    }

    /// Another caller's request is answered as ever, by the same process.
    async fn is_well(&mut self) {
        let answer = self.router.caller().get("/read/well").await.unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(self.router.ended(), None);
    }

    fn memory(&self) -> u64 {
        self.router.memory()
    }
}

/// Sends bytes on a connection of their own, closes the sending half and returns what comes back.
async fn exchange(addr: SocketAddr, bytes: &[u8], close: bool) -> Vec<u8> {
    let mut stream = monoio::net::TcpStream::connect(addr).await.unwrap();
    // The router may answer and close before it has read all.
    let _ = stream.write_all(bytes.to_vec()).await;
    if close {
        let _ = monoio::io::AsyncWriteRent::shutdown(&mut stream).await;
    }
    let mut all = Vec::new();
    let reads = async {
        loop {
            let (n, buffer) = stream.read(vec![0_u8; 16 << 10]).await;
            match n {
                Ok(n) if n > 0 => all.extend_from_slice(&buffer[..n]),
                _ => return,
            }
        }
    };
    let _ = timeout(Duration::from_millis(1_500), reads).await;
    all
}

/// Returns the statuses of the answers in the text.
fn statuses(answer: &[u8]) -> Vec<u16> {
    let text = String::from_utf8_lossy(answer).into_owned();
    let found = text.match_indices("HTTP/1.1 ");
    found
        .filter_map(|(i, m)| text.get(i + m.len()..i + m.len() + 3)?.parse().ok())
        .collect()
}

fn head(line: &str, more: &str) -> Vec<u8> {
    let names = "host: shop.example\r\nchicoryrail-request-id: r1";
    format!("{line}\r\n{names}\r\nconnection: close\r\n{more}\r\n").into_bytes()
}

fn order(more: &str, body: &[u8]) -> Vec<u8> {
    [head("POST /order/a HTTP/1.1", more), body.to_vec()].concat()
}

fn flood(headers: usize) -> Vec<u8> {
    let lines: String = (0..headers).map(|i| format!("x-{i}: 1\r\n")).collect();
    head("GET /read/a HTTP/1.1", &lines)
}

/// A broken request gets its refusal, or a closed connection, and no server runs anything of it.
#[rstest]
#[case::no_http(b"hello\r\n\r\n".to_vec(), &[400])]
#[case::nul(b"GET /read/\0 HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(), &[400])]
#[case::nul_header(head("GET /read/a HTTP/1.1", "x-a: \0\r\n"), &[400])]
#[case::only_nuls(vec![0; 4_096], &[400])]
#[case::bare_return_in_value(head("GET /read/a HTTP/1.1", "x: a\rb\r\n"), &[400])]
#[case::space_before_colon(head("GET /read/a HTTP/1.1", "x-a : 1\r\n"), &[400])]
#[case::folded_header(head("GET /read/a HTTP/1.1", "x: a\r\n b\r\n"), &[400])]
#[case::future_version(head("GET /read/a HTTP/9.9", ""), &[400])]
#[case::http2_greeting(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(), &[400])]
#[case::many_headers(flood(1_000), &[431])]
#[case::huge_header(head("GET /read/a HTTP/1.1", &format!("x: {}\r\n", "a".repeat(1 << 20))), &[431])]
#[case::huge_line(head(&format!("GET /read/{} HTTP/1.1", "a".repeat(1 << 20)), ""), &[414, 431])]
#[case::two_lengths(order("content-length: 3\r\ncontent-length: 5\r\n", b"abcde"), &[400])]
#[case::listed_lengths(order("content-length: 3, 5\r\n", b"abcde"), &[400])]
#[case::signed_length(order("content-length: +3\r\n", b"abc"), &[400])]
#[case::unknown_encoding(order("transfer-encoding: zip\r\n", b"abc"), &[400])]
#[case::chunks_then_encoding(order("transfer-encoding: chunked, zip\r\n", b"abc"), &[400])]
#[case::bad_chunk_size(order("transfer-encoding: chunked\r\n", b"xyz\r\nabc\r\n"), &[400])]
#[case::endless_chunk_size(order("transfer-encoding: chunked\r\n", b"ffffffffffffffffff\r\nabc\r\n"), &[400])]
#[case::cut_chunk(order("transfer-encoding: chunked\r\n", b"ff\r\nabc"), &[400])]
#[case::cut_body(order("content-length: 50\r\n", b"abc"), &[400])]
#[case::cut_head(b"GET /read/a HTTP/1.1\r\nhost".to_vec(), &[400])]
#[case::too_long(order("content-length: 99999999999\r\n", b""), &[413])]
#[case::connect(head("CONNECT example.org:443 HTTP/1.1", ""), &[404])]
#[case::other_host(b"GET /read/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_vec(), &[404])]
#[case::asterisk(head("OPTIONS * HTTP/1.1", ""), &[404])]
fn a_broken_request_reaches_no_server(#[case] bytes: Vec<u8>, #[case] expected: &[u16]) {
    block_on(async {
        let mut set = Set::start("broken").await;
        let answer = exchange(set.addr(), &bytes, true).await;
        let seen = statuses(&answer);
        let closed = seen.is_empty();
        let refused = seen.len() == 1 && expected.contains(&seen[0]);
        assert!(closed || refused, "{}", String::from_utf8_lossy(&answer));
        assert_eq!(set.server.runs(), 0, "{:?}", set.server.ran());
        set.is_well().await;
    });
}

/// A request names a length and chunks, and bytes that look like another request follow. A balancer in
/// front that goes by the length takes them for the body; served as a request of its own they would give
/// the next caller behind the balancer an answer that is not its own. The chunks count, and the connection
/// ends with the answer.
#[rstest]
#[case::length_first("content-length: 4\r\ntransfer-encoding: chunked\r\n")]
#[case::chunks_first("transfer-encoding: chunked\r\ncontent-length: 4\r\n")]
fn a_length_beside_chunks_smuggles_nothing(#[case] framing: &str) {
    block_on(async {
        let mut set = Set::start("smuggle").await;
        let names = "host: shop.example\r\nchicoryrail-request-id: r1\r\n";
        let head = format!("POST /order/a HTTP/1.1\r\n{names}{framing}\r\n");
        let hidden = "0\r\n\r\nGET /read/smuggled HTTP/1.1\r\nhost: shop.example\r\n\r\n";
        let bytes = format!("{head}{hidden}");
        let answer = exchange(set.addr(), bytes.as_bytes(), false).await;
        assert!(statuses(&answer).len() <= 1);
        assert!(set.server.ran().iter().all(|r| r == "r1"));
        set.is_well().await;
    });
}

/// Requests that arrive in one packet get their own answers, in their order.
#[test]
fn pipelined_requests_get_their_own_answers() {
    block_on(async {
        let mut set = Set::start("pipeline").await;
        let mut bytes = Vec::new();
        for i in 0..20 {
            let last = if i == 19 { "connection: close\r\n" } else { "" };
            let names = format!("host: shop.example\r\nchicoryrail-request-id: p{i}\r\n");
            let text = format!("GET /read/p{i} HTTP/1.1\r\n{names}{last}\r\n");
            bytes.extend_from_slice(text.as_bytes());
        }
        let answer = exchange(set.addr(), &bytes, false).await;
        let text = String::from_utf8_lossy(&answer).into_owned();
        let paths = text.match_indices("\"path\":\"/read/p");
        let seen: Vec<usize> = paths
            .map(|(i, m)| {
                let rest = &text[i + m.len()..];
                rest[..rest.find('"').unwrap()].parse().unwrap()
            })
            .collect();
        assert_eq!(seen, (0..20).collect::<Vec<_>>(), "{text}");
        set.is_well().await;
    });
}

/// Callers that send a byte of their heads now and then hold no place for long: the bound on the head's
/// time ends them, and others are served all the while.
#[test]
fn slow_connections_are_closed() {
    block_on(async {
        let mut set = Set::start("slow").await;
        let addr = set.addr();
        let before = set.memory();
        let mut slow: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(addr).unwrap()).collect();
        for byte in b"GET /read/slow HT" {
            for stream in &mut slow {
                let _ = stream.write_all(&[*byte]);
            }
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        set.is_well().await;
        for stream in &mut slow {
            let limit = Some(Duration::from_secs(10));
            stream.set_read_timeout(limit).unwrap();
            let mut answer = Vec::new();
            // The end of the stream, or a reset; a timeout would be neither.
            let ended = stream.read_to_end(&mut answer);
            let waits = ended.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
            assert!(!waits, "a slow connection is still open");
        }
        assert_eq!(set.server.runs(), 1);
        let grown = set.memory().saturating_sub(before);
        assert!(grown < GROWTH, "{grown} KiB");
    });
}

/// Draws the inputs first: the sockets are asynchronous, the runner is not.
fn drawn<S: Strategy<Value = Vec<u8>>>(cases: u32, strategy: &S) -> Vec<Vec<u8>> {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    (0..cases)
        .map(|_| strategy.new_tree(&mut runner).unwrap().current())
        .collect()
}

fn mangled(seed: &'static [u8]) -> impl Strategy<Value = Vec<u8>> {
    let edits = vec((0..seed.len(), any::<u8>()), 1..6);
    (edits, 1..=seed.len()).prop_map(move |(edits, keep)| {
        let mut bytes = seed.to_vec();
        for (at, byte) in edits {
            bytes[at] = byte;
        }
        bytes.truncate(keep.max(seed.len() / 2));
        bytes
    })
}

const ORDER: &[u8] =
    b"POST /order/a HTTP/1.1\r\nhost: shop.example\r\nchicoryrail-request-id: r1\r\n\
    connection: close\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";

/// Arbitrary bytes, and near misses of a valid request: the process lives, its memory is bounded, and
/// another caller gets its answer between them.
#[test]
fn arbitrary_bytes_harm_nobody() {
    block_on(async {
        let mut set = Set::start("fuzz").await;
        let before = set.memory();
        let mut inputs = drawn(60, &vec(any::<u8>(), 0..2_000));
        inputs.extend(drawn(60, &mangled(ORDER)));
        for (i, input) in inputs.iter().enumerate() {
            exchange(set.addr(), input, true).await;
            if i % 20 == 0 {
                set.is_well().await;
            }
        }
        set.is_well().await;
        let grown = set.memory().saturating_sub(before);
        assert!(grown < GROWTH, "{grown} KiB");
    });
}

/// Arbitrary datagrams at the port of the talk between hosts harm nobody.
#[test]
fn arbitrary_datagrams_harm_nobody() {
    block_on(async {
        let mut set = Set::start("datagrams").await;
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        for input in drawn(300, &vec(any::<u8>(), 0..1_200)) {
            socket.send_to(&input, set.router.talk).unwrap();
        }
        set.is_well().await;
    });
}

/// The start of a list, or of a text, that claims to be as long as a number can say.
const ENDLESS: [u8; 9] = [0xfd, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff];

/// A datagram between hosts, and a request of a host that would follow this one, claim an endless list or name. Taken
/// at that, the process would ask for all memory and die, and with it its callers' requests; both are refused unread.
#[test]
fn endless_lists_between_hosts_harm_nobody() {
    block_on(async {
        let mut set = Set::start("endless").await;
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        for kind in 0..8 {
            let input = [&[kind][..], &ENDLESS].concat();
            socket.send_to(&input, set.router.talk).unwrap();
        }
        let client = HttpClient::default();
        for body in [&ENDLESS[..], b"", b"no request"] {
            let request = Request::post("/relay").body(Bytes::copy_from_slice(body));
            let call = client.call(set.router.talk, request.unwrap(), Millis(2_000));
            let answer = call.await;
            assert_eq!(answer.unwrap().status(), 400);
        }
        set.is_well().await;
    });
}
