//! Pipelining: callers that send several requests to a real router process before the first response.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use chicoryrail_core::Millis;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use monoio::time::sleep;
use monoio::time::timeout;
use nix::sys::signal::Signal;
use rstest::rstest;
use support::Mode;
use support::World;

/// Service time of a request. A server has two slots, so it runs two at a time.
const WORK: Millis = Millis(150);

/// Status and request id of one response, as the caller receives them.
#[derive(Debug, PartialEq, Eq)]
struct Response {
    status: String,
    id: String,
}

/// A connection on which several requests are sent in one write, and which returns their responses in order.
struct Caller(TcpStream);

impl Caller {
    async fn send(addr: SocketAddr, requests: &[(&str, &str)]) -> Self {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let text: String = requests
            .iter()
            .map(|(id, line)| {
                format!(
                    "{line} HTTP/1.1\r\nhost: shop.example\r\nchicoryrail-request-id: {id}\r\n\
                     chicoryrail-deadline-ms: 1500\r\n\r\n"
                )
            })
            .collect();
        stream.write_all(text.into_bytes()).await.0.unwrap();
        Self(stream)
    }

    async fn responses(mut self, count: usize) -> Vec<Response> {
        let mut text = String::new();
        loop {
            let responses = parse(&text);
            if responses.len() >= count {
                return responses;
            }
            let read = self.0.read(vec![0; 16 << 10]);
            match timeout(Duration::from_secs(5), read).await.unwrap() {
                (Ok(length), part) if length > 0 => {
                    text += &String::from_utf8_lossy(&part[..length]);
                }
                _ => return responses,
            }
        }
    }
}

fn parse(text: &str) -> Vec<Response> {
    let heads = text.split("HTTP/1.1 ").skip(1);
    let whole = heads.filter(|head| head.contains("\r\n\r\n"));
    let response = |head: &str| {
        let name = "chicoryrail-request-id: ";
        let id = head.split_once(name).map_or("", |(_, rest)| rest);
        Response {
            status: head[..3].to_owned(),
            id: id.lines().next().unwrap_or_default().to_owned(),
        }
    };
    whole.map(response).collect()
}

fn expected_responses(ids: &[&str], status: &str) -> Vec<Response> {
    let response = |id: &&str| Response {
        status: status.to_owned(),
        id: (*id).to_owned(),
    };
    ids.iter().map(response).collect()
}

/// Guards against pipelined reads that run one after the other, or whose responses are lost or out of order. Four reads
/// must run at the same time on two idle servers, also while the process applies a new configuration, reloads its
/// settings or stops.
#[rstest]
#[case::calm(None)]
#[case::reload(Some(Signal::SIGHUP))]
#[case::stop(Some(Signal::SIGTERM))]
fn pipelined_reads_run_concurrently(#[case] signal: Option<Signal>) {
    block_on(async {
        let world = World::start("side-by-side").await;
        world.configure().await;
        let servers = [
            world.server("i-1", "desk").await,
            world.server("i-2", "desk").await,
        ];
        servers.iter().for_each(|s| s.set_work(WORK));
        let router = world.router("a").await;
        let clock = Clock::start();
        let line = "GET /read/1";
        let sent = [("p-1", line), ("p-2", line), ("p-3", line), ("p-4", line)];
        let caller = Caller::send(router.callers, &sent).await;
        sleep(Millis(40).to_duration()).await;
        world.configure().await;
        if let Some(signal) = signal {
            router.signal(signal);
        }
        let responses = caller.responses(4).await;
        assert_eq!(
            responses,
            expected_responses(&["p-1", "p-2", "p-3", "p-4"], "200")
        );
        let took = clock.now();
        assert!(took < WORK + WORK, "{took:?}");
        let runs: usize = servers.iter().map(|s| s.executed()).sum();
        assert_eq!(runs, 4);
    });
}

/// Guards against errors that are reported out of order or end the caller's connection. The server closes the
/// connection of each request that it ran: each read must get its own `502`, and the next request on the connection
/// its response.
#[test]
fn lost_responses_are_reported_in_order() {
    block_on(async {
        let world = World::start("lost-in-order").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        server.set_mode(Mode::LoseResponse);
        let line = "GET /read/1";
        let sent = [("p-1", line), ("p-2", line), ("p-3", "GET /none/1")];
        let responses = Caller::send(router.callers, &sent).await.responses(3).await;
        assert_eq!(responses[..2], expected_responses(&["p-1", "p-2"], "502"));
        assert_eq!(responses[2..], expected_responses(&["p-3"], "404"));
    });
}

/// Guards against a pipelined order that runs before its turn. An order between two reads must reach the server only
/// after the response to the first read, and the second read after that; each runs once.
#[test]
fn pipelined_order_starts_in_its_turn() {
    block_on(async {
        let world = World::start("order-between").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        server.set_work(Millis(50));
        let router = world.router("a").await;
        let sent = [
            ("p-1", "GET /read/1"),
            ("p-2", "POST /order/1"),
            ("p-3", "GET /read/1"),
        ];
        let responses = Caller::send(router.callers, &sent).await.responses(3).await;
        assert_eq!(responses, expected_responses(&["p-1", "p-2", "p-3"], "200"));
        assert_eq!(server.executed_ids(), ["p-1", "p-2", "p-3"]);
    });
}
