//! Callers that send several requests before the first answer, at a real process.

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

/// Work of a request; two slots serve two at a time.
const WORK: Millis = Millis(150);

/// One answer as the caller sees it.
#[derive(Debug, PartialEq, Eq)]
struct Answer {
    status: String,
    id: String,
}

/// Sends requests in one go on one connection and returns what comes back, in order.
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

    async fn answers(mut self, count: usize) -> Vec<Answer> {
        let mut text = String::new();
        loop {
            let answers = parse(&text);
            if answers.len() >= count {
                return answers;
            }
            let read = self.0.read(vec![0; 16 << 10]);
            match timeout(Duration::from_secs(5), read).await.unwrap() {
                (Ok(length), part) if length > 0 => {
                    text += &String::from_utf8_lossy(&part[..length]);
                }
                _ => return answers,
            }
        }
    }
}

fn parse(text: &str) -> Vec<Answer> {
    let heads = text.split("HTTP/1.1 ").skip(1);
    let whole = heads.filter(|head| head.contains("\r\n\r\n"));
    let answer = |head: &str| {
        let name = "chicoryrail-request-id: ";
        let id = head.split_once(name).map_or("", |(_, rest)| rest);
        Answer {
            status: head[..3].to_owned(),
            id: id.lines().next().unwrap_or_default().to_owned(),
        }
    };
    whole.map(answer).collect()
}

fn answered(ids: &[&str], status: &str) -> Vec<Answer> {
    let answer = |id: &&str| Answer {
        status: status.to_owned(),
        id: (*id).to_owned(),
    };
    ids.iter().map(answer).collect()
}

/// A caller sends four lookups at once to two free servers. All run at the same time; each answer is the caller's own,
/// in the order of the requests, whatever happens to the process meanwhile: its settings are read again, a
/// new configuration comes into force, or it is told to stop.
#[rstest]
#[case::calm(None)]
#[case::reload(Some(Signal::SIGHUP))]
#[case::stop(Some(Signal::SIGTERM))]
fn lookups_of_one_connection_run_side_by_side(#[case] signal: Option<Signal>) {
    block_on(async {
        let world = World::start("side-by-side").await;
        world.configure().await;
        let servers = [
            world.server("i-1", "desk").await,
            world.server("i-2", "desk").await,
        ];
        servers.iter().for_each(|s| s.takes(WORK));
        let router = world.router("a").await;
        let clock = Clock::start();
        let line = "GET /read/1";
        let sent = [("p-1", line), ("p-2", line), ("p-3", line), ("p-4", line)];
        let caller = Caller::send(router.callers, &sent).await;
        sleep(Millis(40).duration()).await;
        world.configure().await;
        if let Some(signal) = signal {
            router.signal(signal);
        }
        let answers = caller.answers(4).await;
        assert_eq!(answers, answered(&["p-1", "p-2", "p-3", "p-4"], "200"));
        let took = clock.now();
        assert!(took < WORK + WORK, "{took:?}");
        let runs: usize = servers.iter().map(|s| s.runs()).sum();
        assert_eq!(runs, 4);
    });
}

/// The servers close the connection of each request that they ran. The caller is told so for each lookup, in order,
/// and the connection goes on.
#[test]
fn lost_answers_are_told_in_order() {
    block_on(async {
        let world = World::start("lost-in-order").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        server.does(Mode::LoseAnswer);
        let line = "GET /read/1";
        let sent = [("p-1", line), ("p-2", line), ("p-3", "GET /none/1")];
        let answers = Caller::send(router.callers, &sent).await.answers(3).await;
        assert_eq!(answers[..2], answered(&["p-1", "p-2"], "502"));
        assert_eq!(answers[2..], answered(&["p-3"], "404"));
    });
}

/// An order stands between two lookups. It reaches its server when the lookup in front of it is answered, and the
/// lookup behind it after that; each runs once.
#[test]
fn an_order_begins_when_its_turn_comes() {
    block_on(async {
        let world = World::start("order-between").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        server.takes(Millis(50));
        let router = world.router("a").await;
        let sent = [
            ("p-1", "GET /read/1"),
            ("p-2", "POST /order/1"),
            ("p-3", "GET /read/1"),
        ];
        let answers = Caller::send(router.callers, &sent).await.answers(3).await;
        assert_eq!(answers, answered(&["p-1", "p-2", "p-3"], "200"));
        assert_eq!(server.ran(), ["p-1", "p-2", "p-3"]);
    });
}
