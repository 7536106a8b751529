//! Responses that end with their connections, as to callers of HTTP/1.0, which know no chunks.

mod support;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::block_on;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use monoio::time::sleep;
use monoio::time::timeout;
use nix::sys::signal::Signal;
use rstest::rstest;
use support::Cut;
use support::End;
use support::RawServer;
use support::RouterProcess;
use support::World;
use support::chunk;
use support::numbered_body;
use support::wait_until;

/// Bytes of a complete body, more than a host buffers of one.
const BODY_BYTES: usize = 300_000;

/// Bytes of a body that breaks off.
const PART_BYTES: usize = 200_000;

/// Largest accepted body of a request in bytes.
const REQUEST_BYTES_MAX: usize = 16 << 10;

/// Grace period of a host in seconds, shorter than the time for which a caller waits.
const GRACE_S: u64 = 2;

/// Time for which a caller waits for the end of its connection.
const END_TIME_MAX: Duration = Duration::from_secs(8);

/// Bytes that a slow caller reads at a time, and its pause behind them.
const SLOW_READING: (usize, Duration) = (20_000, Duration::from_millis(20));

/// Bytes read at a time, without a pause.
const READING: (usize, Duration) = (64 << 10, Duration::ZERO);

/// The version and connection header of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Request {
    Http10,
    Http10KeepAlive,
    /// The connection is to end behind the response.
    Http11Close,
}

impl Request {
    const fn words(self) -> (&'static str, &'static str) {
        match self {
            Self::Http10 => ("HTTP/1.0", ""),
            Self::Http10KeepAlive => ("HTTP/1.0", "connection: keep-alive\r\n"),
            Self::Http11Close => ("HTTP/1.1", "connection: close\r\n"),
        }
    }
}

/// How a server frames its body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Chunks,
    Length,
    /// The end of the connection is the end of the body.
    Close,
}

/// Returns a response with the first `bytes` of a body, and with its end if these are all.
fn response(id: &str, framing: Framing, bytes: usize) -> Vec<u8> {
    let (id_header, stamp) = (call_header::REQUEST_ID, call_header::UPSTREAM_STAMP);
    let statement = match framing {
        Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
        Framing::Length => format!("content-length: {BODY_BYTES}\r\n"),
        Framing::Close => "connection: close\r\n".to_owned(),
    };
    let head = format!("HTTP/1.1 200 OK\r\n{id_header}: {id}\r\n{stamp}: x\r\n{statement}\r\n");
    let mut response = head.into_bytes();
    let body = numbered_body(0, BODY_BYTES);
    let pieces = body[..bytes].chunks(50_000);
    match framing {
        Framing::Chunks => {
            response.extend(pieces.flat_map(chunk));
            if bytes == BODY_BYTES {
                response.extend(b"0\r\n\r\n");
            }
        }
        Framing::Length | Framing::Close => response.extend(pieces.flatten()),
    }
    response
}

struct Fixture {
    _world: World,
    hosts: Vec<RouterProcess>,
}

impl Fixture {
    /// Starts a server that sends `bytes` of a body, and hosts. The first host passes its requests to the second if there
    /// is one.
    async fn start(hosts: &[&str], framing: Framing, bytes: usize, end: End) -> Self {
        let world = World::start("close-delimited").await;
        world
            .configure_uploads(Millis(600), REQUEST_BYTES_MAX)
            .await;
        let server = RawServer::start_with("i-1", move |id| {
            if id.starts_with("warm") {
                let stamp = call_header::UPSTREAM_STAMP;
                return (support::response("200 OK", id, stamp.as_str()), End::Keep);
            }
            (response(id, framing, bytes), end)
        });
        world
            .put_members(std::slice::from_ref(&server.member))
            .await;
        let mut routers = Vec::new();
        for host in hosts {
            routers.push(world.router_with_grace(host, GRACE_S).await);
        }
        let fixture = Self {
            _world: world,
            hosts: routers,
        };
        for host in &fixture.hosts {
            wait_until("each host serves", async || is_served(host.callers).await).await;
        }
        if let [first, second] = &*fixture.hosts {
            first.cut_addrs(std::iter::once(server.member.addr), Cut::Refused);
            wait_until("the other host passes requests on", async || {
                is_served(first.callers).await && second.log().contains("log=forwarded_answered")
            })
            .await;
        }
        fixture
    }

    fn logs(&self) -> String {
        self.hosts.iter().map(RouterProcess::log).collect()
    }
}

async fn send(addr: SocketAddr, id: &str, request: Request) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let (version, headers) = request.words();
    let text = format!(
        "GET /manual/{id} {version}\r\nhost: shop.example\r\nchicoryrail-request-id: {id}\r\nchicoryrail-deadline-ms: 1500\r\n{headers}\r\n"
    );
    stream.write_all(text.into_bytes()).await.0.unwrap();
    stream
}

async fn is_served(addr: SocketAddr) -> bool {
    let mut stream = send(addr, "warm", Request::Http10).await;
    let (_, seen) = read_to_end(&mut stream, READING).await;
    seen.starts_with(b"HTTP/1.0 200")
}

/// Reads to the end of the connection, and returns how it ended and what was read.
async fn read_to_end(
    stream: &mut TcpStream,
    (bytes, pause): (usize, Duration),
) -> (io::Result<()>, Vec<u8>) {
    let mut seen = Vec::new();
    let end = loop {
        let Ok((read, piece)) = timeout(END_TIME_MAX, stream.read(vec![0; bytes])).await else {
            break Err(io::ErrorKind::TimedOut.into());
        };
        match read {
            Ok(0) => break Ok(()),
            Ok(n) => seen.extend_from_slice(&piece[..n]),
            Err(error) => break Err(error),
        }
        sleep(pause).await;
    };
    (end, seen)
}

/// Returns `true` if a caller takes what it has read for a complete response.
fn looks_complete(request: Request, end: &io::Result<()>, seen: &[u8]) -> bool {
    match request {
        Request::Http10 | Request::Http10KeepAlive => end.is_ok(),
        Request::Http11Close => seen.ends_with(b"\r\n0\r\n\r\n"),
    }
}

/// Returns the body of a response that ended with its connection.
fn body_of(seen: &[u8]) -> &[u8] {
    let at = seen.windows(4).position(|w| w == b"\r\n\r\n").unwrap();
    &seen[at + 4..]
}

/// What breaks a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Break {
    ServerCloses,
    ServerResets,
    /// The host that the caller is connected to gets a signal while the server sends nothing more.
    EntryGetsSignal(Signal),
    /// The host that passes the request on gets a signal while the server sends nothing more.
    PassingGetsSignal(Signal),
}

/// Guards against a response without a length that breaks off and looks complete to its caller, as its connection ends in
/// order.
#[rstest]
#[case::server_closes(Framing::Chunks, Break::ServerCloses)]
#[case::server_resets(Framing::Chunks, Break::ServerResets)]
#[case::server_resets_close_delimited(Framing::Close, Break::ServerResets)]
#[case::entry_killed(Framing::Chunks, Break::EntryGetsSignal(Signal::SIGKILL))]
#[case::entry_stops(Framing::Chunks, Break::EntryGetsSignal(Signal::SIGTERM))]
#[case::passing_killed(Framing::Chunks, Break::PassingGetsSignal(Signal::SIGKILL))]
#[case::passing_stops(Framing::Chunks, Break::PassingGetsSignal(Signal::SIGTERM))]
fn a_response_that_breaks_off_does_not_look_complete(
    #[case] framing: Framing,
    #[case] how: Break,
    #[values(Request::Http10, Request::Http10KeepAlive, Request::Http11Close)] request: Request,
) {
    block_on(async {
        let end = match how {
            Break::ServerCloses => End::Close,
            Break::ServerResets => End::Reset,
            Break::EntryGetsSignal(_) | Break::PassingGetsSignal(_) => End::Keep,
        };
        let hosts: &[_] = match how {
            Break::PassingGetsSignal(_) => &["a", "b"],
            _ => &["a"],
        };
        let fixture = Fixture::start(hosts, framing, PART_BYTES, end).await;
        let mut stream = send(fixture.hosts[0].callers, "r-1", request).await;
        let reading = monoio::spawn(async move { read_to_end(&mut stream, READING).await });
        sleep(Duration::from_millis(300)).await;
        match how {
            Break::EntryGetsSignal(signal) => fixture.hosts[0].signal(signal),
            Break::PassingGetsSignal(signal) => fixture.hosts[1].signal(signal),
            Break::ServerCloses | Break::ServerResets => {}
        }
        let (end, seen) = reading.await;
        let (bytes, is_ended) = (seen.len(), !is_time_out(&end));
        assert!(
            bytes > PART_BYTES / 2 && is_ended && !looks_complete(request, &end, &seen),
            "{bytes} bytes, {end:?}\n{}",
            fixture.logs()
        );
    });
}

fn is_time_out(end: &io::Result<()>) -> bool {
    end.as_ref()
        .is_err_and(|e| e.kind() == io::ErrorKind::TimedOut)
}

/// Guards against a complete response that loses its end, since its connection is reset.
#[rstest]
#[case::chunks(Framing::Chunks, READING, None)]
#[case::length(Framing::Length, READING, None)]
#[case::close_delimited(Framing::Close, READING, None)]
#[case::chunks_read_slowly(Framing::Chunks, SLOW_READING, None)]
#[case::chunks_read_slowly_at_a_stop(Framing::Chunks, SLOW_READING, Some(Signal::SIGTERM))]
fn a_complete_response_arrives_whole(
    #[case] framing: Framing,
    #[case] reading: (usize, Duration),
    #[case] signal: Option<Signal>,
) {
    block_on(async {
        let end = match framing {
            Framing::Chunks | Framing::Length => End::Keep,
            Framing::Close => End::Close,
        };
        let fixture = Fixture::start(&["a"], framing, BODY_BYTES, end).await;
        let mut stream = send(fixture.hosts[0].callers, "r-1", Request::Http10).await;
        if let Some(signal) = signal {
            sleep(Duration::from_millis(50)).await;
            fixture.hosts[0].signal(signal);
        }
        let (end, seen) = read_to_end(&mut stream, reading).await;
        assert!(
            end.is_ok(),
            "{end:?}, {} bytes\n{}",
            seen.len(),
            fixture.logs()
        );
        assert!(
            body_of(&seen) == numbered_body(0, BODY_BYTES),
            "{}",
            seen.len()
        );
    });
}
