//! Bad input at the listeners for callers and peers: the gate stays alive, bounded and well for
//! others.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use chicoryrail_runtime::block_on;
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
use support::Gate;
use support::Target;
use support::World;
use support::get;
use support::outcome;
use support::route;

const BUNDLE: &str = r#"
team = "updraft"
[[data_centre]]
name = "north"
[[service]]
name = "lessons"
path = "/v1/lessons/"
kind = "free"
class = "interactive"
deadline_ms = 3000
slots = 2
max_body = 65536
[[service.server]]
name = "s0"
data_centre = "north"
addr = "127.0.0.1:1"
"#;

/// Growth of a gate's memory that the bad input of one test may cause, in KiB. Far above what pools
/// and buffers of the connections at hand take, far below what an unbounded read would.
const GROWTH: u64 = 64 << 10;

struct Set {
    world: World,
    target: Target,
}

impl Set {
    async fn start(flags: &[&str]) -> Self {
        let world = World::start(1, flags);
        let target = Target::start("s0");
        let routes = [route(&target, "g0", 2)];
        world.control.publish_free("lessons", 1, &routes);
        world.control.set_bundle(1, BUNDLE);
        world.ready().await;
        Self { world, target }
    }

    fn gate(&mut self) -> &mut Gate {
        &mut self.world.gates[0]
    }

    /// Another caller's request is answered as ever, by the same process.
    async fn is_well(&mut self) {
        let answer = get(self.world.callers(0), "/v1/lessons/well").await;
        let (status, code, body) = outcome(&answer.unwrap());
        assert_eq!(
            (status, code, body.as_str()),
            (200, None, "s0 GET /v1/lessons/well 0")
        );
        assert!(self.gate().child.try_wait().unwrap().is_none());
    }

    fn memory(&mut self) -> u64 {
        let path = format!("/proc/{}/status", self.gate().child.id());
        let text = std::fs::read_to_string(path).unwrap();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let number = line.unwrap().trim().trim_end_matches(" kB");
        number.parse().unwrap()
    }
}

/// Sends bytes on a connection of their own, closes the sending half and returns what comes back.
async fn exchange(addr: SocketAddr, bytes: &[u8], close: bool) -> Vec<u8> {
    let mut stream = monoio::net::TcpStream::connect(addr).await.unwrap();
    // The gate may answer and close before it has read all.
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
    format!("{line}\r\nhost: x\r\nconnection: close\r\n{more}\r\n").into_bytes()
}

fn flood(headers: usize) -> Vec<u8> {
    let lines: String = (0..headers).map(|i| format!("x-{i}: 1\r\n")).collect();
    head("GET /v1/lessons/a HTTP/1.1", &lines)
}

/// A broken request gets its refusal, or a closed connection, and no server sees anything of it.
#[rstest]
#[case::no_http(b"hello\r\n\r\n".to_vec(), &[400])]
#[case::nul(b"GET /v1/lessons/\0 HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(), &[400])]
#[case::nul_header(head("GET /v1/lessons/a HTTP/1.1", "x-a: \0\r\n"), &[400])]
#[case::only_nuls(vec![0; 4_096], &[400])]
#[case::bare_newline_in_value(head("GET /v1/lessons/a HTTP/1.1", "x: a\rb\r\n"), &[400])]
#[case::space_before_colon(head("GET /v1/lessons/a HTTP/1.1", "x-a : 1\r\n"), &[400])]
#[case::folded_header(head("GET /v1/lessons/a HTTP/1.1", "x: a\r\n b\r\n"), &[400])]
#[case::future_version(head("GET /v1/lessons/a HTTP/9.9", ""), &[400])]
#[case::http2_greeting(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(), &[400])]
#[case::many_headers(flood(1_000), &[431])]
#[case::huge_header(head("GET /v1/lessons/a HTTP/1.1", &format!("x: {}\r\n", "a".repeat(1 << 20))), &[431])]
#[case::huge_line(head(&format!("GET /v1/lessons/{} HTTP/1.1", "a".repeat(1 << 20)), ""), &[414, 431])]
#[case::two_lengths(
    [head("POST /v1/lessons/a HTTP/1.1", "order-id: o1\r\ncontent-length: 3\r\ncontent-length: 5\r\n"), b"abcde".to_vec()].concat(),
    &[400]
)]
#[case::listed_lengths(
    [head("POST /v1/lessons/a HTTP/1.1", "order-id: o1\r\ncontent-length: 3, 5\r\n"), b"abcde".to_vec()].concat(),
    &[400]
)]
#[case::signed_length(
    [head("POST /v1/lessons/a HTTP/1.1", "order-id: o1\r\ncontent-length: +3\r\n"), b"abc".to_vec()].concat(),
    &[400]
)]
#[case::unknown_encoding(
    [head("POST /v1/lessons/a HTTP/1.1", "order-id: o1\r\ntransfer-encoding: zip\r\n"), b"abc".to_vec()].concat(),
    &[400]
)]
#[case::chunks_then_encoding(
    [head("POST /v1/lessons/a HTTP/1.1", "order-id: o1\r\ntransfer-encoding: chunked, zip\r\n"), b"abc".to_vec()].concat(),
    &[400]
)]
#[case::bad_chunk_size(
    [head("POST /v1/lessons/a HTTP/1.1", "order-id: o1\r\ntransfer-encoding: chunked\r\n"), b"xyz\r\nabc\r\n".to_vec()].concat(),
    &[400]
)]
#[case::endless_chunk_size(
    [head("POST /v1/lessons/a HTTP/1.1", "order-id: o1\r\ntransfer-encoding: chunked\r\n"), b"ffffffffffffffffff\r\nabc\r\n".to_vec()].concat(),
    &[400]
)]
#[case::cut_chunk(
    [head("POST /v1/lessons/a HTTP/1.1", "order-id: o1\r\ntransfer-encoding: chunked\r\n"), b"ff\r\nabc".to_vec()].concat(),
    &[400]
)]
#[case::cut_body(
    [head("POST /v1/lessons/a HTTP/1.1", "order-id: o1\r\ncontent-length: 50\r\n"), b"abc".to_vec()].concat(),
    &[400]
)]
#[case::cut_head(b"GET /v1/lessons/a HTTP/1.1\r\nhost".to_vec(), &[400])]
#[case::too_long(head("POST /v1/lessons/a HTTP/1.1", "order-id: o1\r\ncontent-length: 99999999999\r\n"), &[413])]
#[case::connect(head("CONNECT example.org:443 HTTP/1.1", ""), &[404])]
#[case::foreign_absolute(head("GET http://127.0.0.1:1/v2/other HTTP/1.1", ""), &[404])]
#[case::asterisk(head("OPTIONS * HTTP/1.1", ""), &[404])]
fn a_broken_request_reaches_no_server(#[case] bytes: Vec<u8>, #[case] expected: &[u16]) {
    block_on(async {
        let mut set = Set::start(&[]).await;
        let answer = exchange(set.world.callers(0), &bytes, true).await;
        let seen = statuses(&answer);
        let closed = seen.is_empty();
        let refused = seen.len() == 1 && expected.contains(&seen[0]);
        assert!(closed || refused, "{}", String::from_utf8_lossy(&answer));
        assert_eq!(set.target.runs(), 0, "{:?}", set.target.ran);
        set.is_well().await;
    });
}

/// A request names a length and chunks, and bytes that look like another request follow. A balancer
/// in front that goes by the length takes them for the body; served as a request of its own they
/// would give the next caller behind the balancer an answer that is not its own. The chunks count,
/// and the connection ends with the answer.
#[rstest]
#[case::length_first("content-length: 4\r\ntransfer-encoding: chunked\r\n")]
#[case::chunks_first("transfer-encoding: chunked\r\ncontent-length: 4\r\n")]
fn a_length_beside_chunks_smuggles_nothing(#[case] framing: &str) {
    block_on(async {
        let mut set = Set::start(&[]).await;
        let head =
            format!("POST /v1/lessons/a HTTP/1.1\r\nhost: x\r\norder-id: o1\r\n{framing}\r\n");
        let hidden = "0\r\n\r\nGET /v1/lessons/smuggled HTTP/1.1\r\nhost: x\r\n\r\n";
        let bytes = format!("{head}{hidden}");
        let answer = exchange(set.world.callers(0), bytes.as_bytes(), false).await;
        assert_eq!(statuses(&answer), [200]);
        assert_eq!(*set.target.ran.borrow(), ["POST /v1/lessons/a o1"]);
        set.is_well().await;
    });
}

/// Requests that arrive in one packet get their own answers, in their order.
#[test]
fn pipelined_requests_get_their_own_answers() {
    block_on(async {
        let mut set = Set::start(&[]).await;
        let mut bytes = Vec::new();
        for i in 0..20 {
            let last = if i == 19 { "connection: close\r\n" } else { "" };
            let text = format!("GET /v1/lessons/p{i} HTTP/1.1\r\nhost: x\r\n{last}\r\n");
            bytes.extend_from_slice(text.as_bytes());
        }
        let answer = exchange(set.world.callers(0), &bytes, false).await;
        let text = String::from_utf8_lossy(&answer).into_owned();
        let seen: Vec<&str> = text
            .match_indices("s0 GET /v1/lessons/p")
            .map(|(i, _)| text[i..].split_whitespace().nth(2).unwrap())
            .collect();
        let expected: Vec<String> = (0..20).map(|i| format!("/v1/lessons/p{i}")).collect();
        assert_eq!(seen, expected);
        set.is_well().await;
    });
}

/// An absolute URI names the host that the caller meant; the server gets the path alone.
#[test]
fn an_absolute_uri_is_served_by_its_path() {
    block_on(async {
        let set = Set::start(&[]).await;
        let bytes = head("GET http://lessons.example/v1/lessons/a HTTP/1.1", "");
        let answer = exchange(set.world.callers(0), &bytes, false).await;
        assert_eq!(statuses(&answer), [200]);
        assert_eq!(*set.target.ran.borrow(), ["GET /v1/lessons/a"]);
    });
}

/// Callers that send a byte of their heads now and then, and callers above the limit, hold no
/// place for long: the bound on the head's time ends them, and others are served then.
#[test]
fn slow_and_surplus_connections_are_closed() {
    block_on(async {
        let flags = ["--connections", "40", "--head-ms", "400"];
        let mut set = Set::start(&flags).await;
        let addr = set.world.callers(0);
        let before = set.memory();
        let mut slow: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(addr).unwrap()).collect();
        for byte in b"GET /v1/lessons/slow HT" {
            for stream in &mut slow {
                let _ = stream.write_all(&[*byte]);
            }
            monoio::time::sleep(Duration::from_millis(30)).await;
        }
        for stream in &mut slow {
            stream
                .set_read_timeout(Some(Duration::from_secs(10)))
                .unwrap();
            let mut answer = Vec::new();
            // The end of the stream, or a reset; a timeout would be neither.
            let ended = stream.read_to_end(&mut answer);
            let waits = ended.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
            assert!(!waits, "a slow connection is still open");
        }
        set.is_well().await;
        assert_eq!(set.target.runs(), 1);
        let grown = set.memory().saturating_sub(before);
        assert!(grown < GROWTH, "{grown} KiB");
    });
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Draws the inputs first: the sockets are asynchronous, the runner is not.
fn drawn<S: Strategy<Value = Vec<u8>>>(cases: u32, strategy: &S) -> Vec<Vec<u8>> {
    let mut runner = runner(cases);
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

const ORDER: &[u8] = b"POST /v1/lessons/a HTTP/1.1\r\nhost: x\r\norder-id: o1\r\n\
    connection: close\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";

const GREETING: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\x0c\x04\0\0\0\0\0\0\x03\0\0\0\x64\0\x04\0\0\xff\xff\
    \0\0\x08\x01\x04\0\0\0\x01\x83\x86\x84\x41\x8a\x08\x9d\x5c\x0b\0\0\x04\0\x01\0\0\0\x01\x09\xff\xff\xff";

/// Arbitrary bytes, and near misses of valid ones, at both listeners: the process lives, its memory
/// is bounded, and another caller gets its answer between them.
#[rstest]
#[case::callers(true, ORDER)]
#[case::peers(false, GREETING)]
fn arbitrary_bytes_harm_nobody(#[case] callers: bool, #[case] seed: &'static [u8]) {
    block_on(async {
        let mut set = Set::start(&["--head-ms", "300"]).await;
        let gate = set.gate();
        let addr = if callers { gate.callers } else { gate.inner };
        let before = set.memory();
        let mut inputs = drawn(60, &vec(any::<u8>(), 0..2_000));
        inputs.extend(drawn(60, &mangled(seed)));
        for (i, input) in inputs.iter().enumerate() {
            exchange(addr, input, true).await;
            if i % 20 == 0 {
                set.is_well().await;
            }
        }
        set.is_well().await;
        let grown = set.memory().saturating_sub(before);
        assert!(grown < GROWTH, "{grown} KiB");
    });
}
