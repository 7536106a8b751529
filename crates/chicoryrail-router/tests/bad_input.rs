//! Malformed input: the router process survives with bounded memory, serves other callers, and forwards none of it.

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

/// Limit on the growth of a router's memory in one test, in KiB. It is far above what the pools and buffers of the open
/// connections take, and far below what an unbounded read would take.
const GROWTH_MAX_KIB: u64 = 64 << 10;

struct Fixture {
    _world: World,
    server: Rc<Server>,
    router: RouterProcess,
}

impl Fixture {
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

    /// Asserts that the same process still serves another caller's request.
    async fn assert_healthy(&mut self) {
        let response = self.router.caller().get("/read/well").await.unwrap();
        assert_eq!(response.status(), 200);
        assert_eq!(self.router.exit_code(), None);
    }

    fn memory(&self) -> u64 {
        self.router.memory()
    }
}

/// Sends bytes on a new connection, closes the sending half if `close` is set, and returns what arrives until the end
/// of the stream, within 1.5 seconds.
async fn exchange(addr: SocketAddr, bytes: &[u8], close: bool) -> Vec<u8> {
    let mut stream = monoio::net::TcpStream::connect(addr).await.unwrap();
    // The router may respond and close the connection before it has read all bytes.
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

/// Returns the status codes of the responses in a byte stream.
fn statuses(response: &[u8]) -> Vec<u16> {
    let text = String::from_utf8_lossy(response).into_owned();
    let found = text.match_indices("HTTP/1.1 ");
    found
        .filter_map(|(i, m)| text.get(i + m.len()..i + m.len() + 3)?.parse().ok())
        .collect()
}

fn head(line: &str, extra_headers: &str) -> Vec<u8> {
    let names = "host: shop.example\r\nchicoryrail-request-id: r1";
    format!("{line}\r\n{names}\r\nconnection: close\r\n{extra_headers}\r\n").into_bytes()
}

fn order(extra_headers: &str, body: &[u8]) -> Vec<u8> {
    [head("POST /order/a HTTP/1.1", extra_headers), body.to_vec()].concat()
}

fn with_headers(headers: usize) -> Vec<u8> {
    let lines: String = (0..headers).map(|i| format!("x-{i}: 1\r\n")).collect();
    head("GET /read/a HTTP/1.1", &lines)
}

/// Guards against a malformed request that is forwarded: it must be refused, or its connection closed, and no server
/// may run any part of it.
#[rstest]
#[case::not_http(b"hello\r\n\r\n".to_vec(), &[400])]
#[case::nul(b"GET /read/\0 HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(), &[400])]
#[case::nul_header(head("GET /read/a HTTP/1.1", "x-a: \0\r\n"), &[400])]
#[case::only_nuls(vec![0; 4_096], &[400])]
#[case::bare_cr_in_value(head("GET /read/a HTTP/1.1", "x: a\rb\r\n"), &[400])]
#[case::space_before_colon(head("GET /read/a HTTP/1.1", "x-a : 1\r\n"), &[400])]
#[case::folded_header(head("GET /read/a HTTP/1.1", "x: a\r\n b\r\n"), &[400])]
#[case::future_version(head("GET /read/a HTTP/9.9", ""), &[400])]
#[case::http2_preface(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(), &[400])]
#[case::many_headers(with_headers(1_000), &[431])]
#[case::huge_header(head("GET /read/a HTTP/1.1", &format!("x: {}\r\n", "a".repeat(1 << 20))), &[431])]
#[case::huge_line(head(&format!("GET /read/{} HTTP/1.1", "a".repeat(1 << 20)), ""), &[414, 431])]
#[case::duplicate_lengths(order("content-length: 3\r\ncontent-length: 5\r\n", b"abcde"), &[400])]
#[case::listed_lengths(order("content-length: 3, 5\r\n", b"abcde"), &[400])]
#[case::signed_length(order("content-length: +3\r\n", b"abc"), &[400])]
#[case::unknown_encoding(order("transfer-encoding: zip\r\n", b"abc"), &[400])]
#[case::chunks_then_encoding(order("transfer-encoding: chunked, zip\r\n", b"abc"), &[400])]
#[case::bad_chunk_size(order("transfer-encoding: chunked\r\n", b"xyz\r\nabc\r\n"), &[400])]
#[case::huge_chunk_size(order("transfer-encoding: chunked\r\n", b"ffffffffffffffffff\r\nabc\r\n"), &[400])]
#[case::truncated_chunk(order("transfer-encoding: chunked\r\n", b"ff\r\nabc"), &[400])]
#[case::truncated_body(order("content-length: 50\r\n", b"abc"), &[400])]
#[case::truncated_head(b"GET /read/a HTTP/1.1\r\nhost".to_vec(), &[400])]
#[case::too_long(order("content-length: 99999999999\r\n", b""), &[413])]
#[case::connect(head("CONNECT example.org:443 HTTP/1.1", ""), &[404])]
#[case::other_host(b"GET /read/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_vec(), &[404])]
#[case::asterisk(head("OPTIONS * HTTP/1.1", ""), &[404])]
fn malformed_request_reaches_no_server(#[case] bytes: Vec<u8>, #[case] expected: &[u16]) {
    block_on(async {
        let mut fixture = Fixture::start("broken").await;
        let response = exchange(fixture.addr(), &bytes, true).await;
        let seen = statuses(&response);
        let closed = seen.is_empty();
        let refused = seen.len() == 1 && expected.contains(&seen[0]);
        assert!(closed || refused, "{}", String::from_utf8_lossy(&response));
        assert_eq!(
            fixture.server.executed(),
            0,
            "{:?}",
            fixture.server.executed_ids()
        );
        fixture.assert_healthy().await;
    });
}

/// Guards against request smuggling: a load balancer that uses the content length takes the bytes after the chunked
/// body for part of the body, and a router that served them would send their response to another caller. The router
/// must use the chunked encoding and close the connection after the response.
#[rstest]
#[case::length_first("content-length: 4\r\ntransfer-encoding: chunked\r\n")]
#[case::chunks_first("transfer-encoding: chunked\r\ncontent-length: 4\r\n")]
fn length_beside_chunked_encoding_smuggles_nothing(#[case] framing: &str) {
    block_on(async {
        let mut fixture = Fixture::start("smuggle").await;
        let names = "host: shop.example\r\nchicoryrail-request-id: r1\r\n";
        let head = format!("POST /order/a HTTP/1.1\r\n{names}{framing}\r\n");
        let hidden = "0\r\n\r\nGET /read/smuggled HTTP/1.1\r\nhost: shop.example\r\n\r\n";
        let bytes = format!("{head}{hidden}");
        let response = exchange(fixture.addr(), bytes.as_bytes(), false).await;
        assert!(statuses(&response).len() <= 1);
        assert!(fixture.server.executed_ids().iter().all(|r| r == "r1"));
        fixture.assert_healthy().await;
    });
}

/// Guards against responses that are swapped or out of order when many requests arrive in one write.
#[test]
fn pipelined_requests_get_their_own_responses() {
    block_on(async {
        let mut fixture = Fixture::start("pipeline").await;
        let mut bytes = Vec::new();
        for i in 0..20 {
            let last = if i == 19 { "connection: close\r\n" } else { "" };
            let names = format!("host: shop.example\r\nchicoryrail-request-id: p{i}\r\n");
            let text = format!("GET /read/p{i} HTTP/1.1\r\n{names}{last}\r\n");
            bytes.extend_from_slice(text.as_bytes());
        }
        let response = exchange(fixture.addr(), &bytes, false).await;
        let text = String::from_utf8_lossy(&response).into_owned();
        let paths = text.match_indices("\"path\":\"/read/p");
        let seen: Vec<usize> = paths
            .map(|(i, m)| {
                let rest = &text[i + m.len()..];
                rest[..rest.find('"').unwrap()].parse().unwrap()
            })
            .collect();
        assert_eq!(seen, (0..20).collect::<Vec<_>>(), "{text}");
        fixture.assert_healthy().await;
    });
}

/// Guards against callers that occupy connections by sending their request heads a byte at a time. The header timeout
/// must close these connections, and other callers must be served meanwhile.
#[test]
fn slow_connections_are_closed() {
    block_on(async {
        let mut fixture = Fixture::start("slow").await;
        let addr = fixture.addr();
        let before = fixture.memory();
        let mut slow: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(addr).unwrap()).collect();
        for byte in b"GET /read/slow HT" {
            for stream in &mut slow {
                let _ = stream.write_all(&[*byte]);
            }
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        fixture.assert_healthy().await;
        for stream in &mut slow {
            let limit = Some(Duration::from_secs(10));
            stream.set_read_timeout(limit).unwrap();
            let mut response = Vec::new();
            // The end of the stream and a reset both show that it was closed; a read timeout shows that it is still
            // open.
            let ended = stream.read_to_end(&mut response);
            let waits = ended.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
            assert!(!waits, "a slow connection is still open");
        }
        assert_eq!(fixture.server.executed(), 1);
        let grown = fixture.memory().saturating_sub(before);
        assert!(grown < GROWTH_MAX_KIB, "{grown} KiB");
    });
}

/// Generates all inputs up front from a fixed seed: the sockets are asynchronous, the test runner is not.
fn generate_inputs<S: Strategy<Value = Vec<u8>>>(cases: u32, strategy: &S) -> Vec<Vec<u8>> {
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

/// Overwrites up to five bytes of a valid request and truncates it to no less than half its length.
fn mutated(seed: &'static [u8]) -> impl Strategy<Value = Vec<u8>> {
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

const VALID_ORDER: &[u8] =
    b"POST /order/a HTTP/1.1\r\nhost: shop.example\r\nchicoryrail-request-id: r1\r\n\
    connection: close\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";

/// Guards against arbitrary bytes, or mutations of a valid request, that end the process, grow its memory without bound
/// or keep another caller from being served between them.
#[test]
fn arbitrary_bytes_do_not_affect_other_callers() {
    block_on(async {
        let mut fixture = Fixture::start("fuzz").await;
        let before = fixture.memory();
        let mut inputs = generate_inputs(60, &vec(any::<u8>(), 0..2_000));
        inputs.extend(generate_inputs(60, &mutated(VALID_ORDER)));
        for (i, input) in inputs.iter().enumerate() {
            exchange(fixture.addr(), input, true).await;
            if i % 20 == 0 {
                fixture.assert_healthy().await;
            }
        }
        fixture.assert_healthy().await;
        let grown = fixture.memory().saturating_sub(before);
        assert!(grown < GROWTH_MAX_KIB, "{grown} KiB");
    });
}

/// Guards against arbitrary datagrams, at the port for messages between hosts, that end the process.
#[test]
fn arbitrary_datagrams_do_not_affect_callers() {
    block_on(async {
        let mut fixture = Fixture::start("datagrams").await;
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        for input in generate_inputs(300, &vec(any::<u8>(), 0..1_200)) {
            socket.send_to(&input, fixture.router.peer_addr).unwrap();
        }
        fixture.assert_healthy().await;
    });
}

/// Length prefix of an encoded list or text, with the largest value that it can have.
const MAX_LENGTH_PREFIX: [u8; 9] = [0xfd, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff];

/// Guards against memory that is allocated by a claimed length. A datagram between hosts, and a request of a host that
/// would follow this one, claim a list or name of the largest length. Allocating it would end the process and fail its
/// callers' requests, so both must be refused before the claimed content is read.
#[test]
fn oversized_lengths_between_hosts_are_refused() {
    block_on(async {
        let mut fixture = Fixture::start("endless").await;
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        for kind in 0..8 {
            let input = [&[kind][..], &MAX_LENGTH_PREFIX].concat();
            socket.send_to(&input, fixture.router.peer_addr).unwrap();
        }
        let client = HttpClient::default();
        for body in [&MAX_LENGTH_PREFIX[..], b"", b"no request"] {
            let request = Request::post("/relay").body(Bytes::copy_from_slice(body));
            let call = client.call(fixture.router.peer_addr, request.unwrap(), Millis(2_000));
            let response = call.await;
            assert_eq!(response.unwrap().status(), 400);
        }
        fixture.assert_healthy().await;
    });
}
