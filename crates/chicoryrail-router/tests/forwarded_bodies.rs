//! Bodies of requests that other hosts pass on, and bodies whose way to the server breaks.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use monoio::net::TcpStream;
use monoio::time::sleep;
use nix::sys::signal::Signal;
use rstest::rstest;
use socket2::SockRef;
use support::Cut;
use support::RawServer;
use support::Reader;
use support::Received;
use support::RouterProcess;
use support::World;
use support::chunk;
use support::numbered_body as body;
use support::send_slowly;
use support::wait_until;

/// Bytes at the start of a body that a host keeps for a retry.
const KEPT_BYTES: usize = 16 << 10;

/// Bytes of a piece of a body, and the pause of the caller behind it.
const PIECES: (usize, Duration) = (2_000, Duration::from_millis(4));

/// A body that is written at once.
const AT_ONCE: (usize, Duration) = (usize::MAX, Duration::ZERO);

/// Hosts that were asked to pass a request on and could not, in one test.
const FAILED_ASKS: usize = 3;

/// Largest number of requests of a test.
const ROUNDS_MAX: usize = 40;

/// Time after which a host that could not pass a request on is asked again.
const AVOID_TIME: Duration = Duration::from_millis(1_100);

/// Bytes of a body whose way breaks, and the bytes after which it does.
const BROKEN_BODY: (usize, usize) = (60_000, 30_000);

/// Time in which a server has noticed the end of a connection.
const SETTLE_TIME: Duration = Duration::from_millis(400);

struct Fixture {
    _world: World,
    server: Rc<RawServer>,
    hosts: Vec<RouterProcess>,
}

impl Fixture {
    /// Starts a server, and hosts of which the first is cut off from it and asks the others.
    async fn start(hosts: &[&str]) -> Self {
        let world = World::start("forwarded-bodies").await;
        world.configure_uploads(Millis(600), 2_000_000).await;
        let server = RawServer::start("i-1");
        world
            .put_members(std::slice::from_ref(&server.member))
            .await;
        let mut routers = Vec::new();
        for host in hosts {
            routers.push(world.router(host).await);
        }
        let fixture = Self {
            _world: world,
            server,
            hosts: routers,
        };
        for (i, host) in fixture.hosts.iter().enumerate() {
            wait_until("each host serves", async || {
                fixture.order(host, &format!("warm-{i}")).await == Some(200)
            })
            .await;
        }
        fixture
    }

    async fn order(&self, host: &RouterProcess, id: &str) -> Option<u16> {
        self.send(host, id, b"x", AT_ONCE, true).await
    }

    async fn send(
        &self,
        host: &RouterProcess,
        id: &str,
        body: &[u8],
        pieces: (usize, Duration),
        is_chunked: bool,
    ) -> Option<u16> {
        let reader = Reader::new(TcpStream::connect(host.callers).await.ok()?);
        let line = format!("POST /order/{id}");
        let sent = send_slowly(reader, &line, id, body, pieces, is_chunked).await;
        sent.map(|(status, _)| status)
    }

    fn cut(&self, host: usize) {
        let addr = self.server.member.addr;
        self.hosts[host].cut_addrs(std::iter::once(addr), Cut::Refused);
    }

    fn received(&self, id: &str) -> Vec<Received> {
        let mut received = self.server.received();
        received.retain(|r| r.id == id);
        received
    }

    fn logs(&self) -> String {
        self.hosts.iter().map(RouterProcess::log).collect()
    }
}

/// Asserts that each body that came to its end is the one that the caller sent; returns the number of these.
fn assert_whole(fixture: &Fixture, id: &str, body: &[u8]) -> usize {
    let received = fixture.received(id);
    let bodies = received.iter().filter_map(|r| r.body.as_ref());
    let ran = bodies.inspect(|seen| {
        assert!(
            *seen == body,
            "{id}: {} of {}\n{}",
            seen.len(),
            body.len(),
            fixture.logs()
        );
    });
    ran.count()
}

/// Guards against a host that is asked to pass a request on after another has taken a part of its body, and gets the rest.
#[rstest]
#[case::kept(KEPT_BYTES / 2, PIECES, true)]
#[case::just_kept(KEPT_BYTES, AT_ONCE, true)]
#[case::just_beyond(KEPT_BYTES + 1, AT_ONCE, true)]
#[case::beyond(KEPT_BYTES + 1_000, AT_ONCE, true)]
#[case::beyond_in_pieces(24_000, PIECES, true)]
#[case::beyond_by_length(24_000, PIECES, false)]
#[case::far_beyond(90_000, AT_ONCE, true)]
fn a_body_is_whole_at_the_next_host(
    #[case] bytes: usize,
    #[case] pieces: (usize, Duration),
    #[case] is_chunked: bool,
) {
    block_on(async {
        let fixture = Fixture::start(&["a", "b", "c"]).await;
        fixture.cut(0);
        fixture.cut(1);
        let entry = &fixture.hosts[0];
        let failed_asks = || entry.log().matches("log=forward_failed").count();
        for round in 0..ROUNDS_MAX {
            let (id, body) = (format!("r-{round}"), body(round, bytes));
            let status = fixture.send(entry, &id, &body, pieces, is_chunked).await;
            sleep(Duration::from_millis(50)).await;
            let ran = assert_whole(&fixture, &id, &body);
            assert!(ran <= 1, "{id} ran {ran} times");
            assert!(status != Some(503) || ran == 0, "{id} was refused and ran");
            if failed_asks() >= FAILED_ASKS {
                return;
            }
            sleep(AVOID_TIME).await;
        }
        panic!("{} of {FAILED_ASKS} asks failed", failed_asks());
    });
}

/// What breaks while a body passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Break {
    /// The caller resets its connection.
    Reset,
    /// The caller ends its stream in order, in the middle of the body.
    HalfClose,
    /// A signal ends the host that the caller is connected to.
    EntryGetsSignal(Signal),
    /// A signal reaches the host that is connected to the server.
    LastGetsSignal(Signal),
}

impl Break {
    async fn act(self, fixture: &Fixture, stream: &mut Option<Reader>) {
        match self {
            Self::Reset => *stream = None,
            Self::HalfClose => {
                if let Some(mut reader) = stream.take() {
                    monoio::spawn(async move { reader.close().await });
                }
            }
            Self::EntryGetsSignal(signal) => fixture.hosts[0].signal(signal),
            Self::LastGetsSignal(signal) => fixture.hosts[fixture.hosts.len() - 1].signal(signal),
        }
    }
}

/// Opens a connection that is reset when it is dropped.
fn connect_with_reset(addr: SocketAddr) -> Reader {
    let stream = std::net::TcpStream::connect(addr).unwrap();
    stream.set_nonblocking(true).unwrap();
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    Reader::new(TcpStream::from_std(stream).unwrap())
}

/// Sends a body in chunks and lets its way break after a part of it.
async fn send_broken(fixture: &Fixture, id: &str, body: &[u8], how: Break) {
    let mut stream = Some(connect_with_reset(fixture.hosts[0].callers));
    let head = format!(
        "POST /order/{id} HTTP/1.1\r\nhost: shop.example\r\nchicoryrail-request-id: {id}\r\nchicoryrail-deadline-ms: 1200\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let (piece_bytes, pause) = PIECES;
    let mut pieces = vec![head.into_bytes()];
    pieces.extend(body.chunks(piece_bytes).map(chunk));
    pieces.push(b"0\r\n\r\n".to_vec());
    let breaks_at = BROKEN_BODY.1 / piece_bytes;
    for (i, piece) in pieces.into_iter().enumerate() {
        if i == breaks_at {
            how.act(fixture, &mut stream).await;
        }
        let Some(reader) = &mut stream else {
            return;
        };
        if reader.write(piece).await.is_err() {
            return;
        }
        sleep(pause).await;
    }
    if let Some(mut reader) = stream {
        let _ = reader.head().await;
    }
}

/// Guards against a part of a body in chunks that a server takes for the whole, since a connection on its way broke.
#[rstest]
#[case::reset(Break::Reset)]
#[case::half_close(Break::HalfClose)]
#[case::entry_killed(Break::EntryGetsSignal(Signal::SIGKILL))]
#[case::last_killed(Break::LastGetsSignal(Signal::SIGKILL))]
#[case::entry_stops(Break::EntryGetsSignal(Signal::SIGTERM))]
#[case::last_stops(Break::LastGetsSignal(Signal::SIGTERM))]
fn a_body_that_breaks_off_has_no_end(
    #[case] how: Break,
    #[values(false, true)] is_passed_on: bool,
) {
    block_on(async {
        let hosts: &[_] = if is_passed_on { &["a", "b"] } else { &["a"] };
        let fixture = Fixture::start(hosts).await;
        if is_passed_on {
            fixture.cut(0);
            wait_until("the other host passes requests on", async || {
                let log = fixture.hosts[1].log();
                fixture.order(&fixture.hosts[0], "passed").await == Some(200)
                    && log.contains("log=forwarded_answered")
            })
            .await;
        }
        let body = body(0, BROKEN_BODY.0);
        send_broken(&fixture, "broken", &body, how).await;
        sleep(SETTLE_TIME).await;
        let reached = fixture.received("broken");
        assert!(!reached.is_empty(), "{how:?}\n{}", fixture.logs());
        let ran = assert_whole(&fixture, "broken", &body);
        let is_planned = matches!(
            how,
            Break::EntryGetsSignal(Signal::SIGTERM) | Break::LastGetsSignal(Signal::SIGTERM)
        );
        assert_eq!(ran, usize::from(is_planned), "{how:?}\n{}", fixture.logs());
    });
}
