//! Responses that their callers have not read yet when their host stops.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::block_on;
use futures_util::future::join_all;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::time::sleep;
use nix::sys::signal::Signal;
use support::End;
use support::RawServer;
use support::World;
use support::connect_with;
use support::response_with_body;
use support::wait_until;

/// Bytes of a response.
const RESPONSE_BYTES: usize = 30_000;

/// Bytes that a caller reads at a time, and its pause behind them.
const READING: (usize, Duration) = (10_000, Duration::from_millis(40));

/// Requests whose responses a caller has not read, at most.
const DEPTH: usize = 8;

/// Bytes of a caller's receive buffer.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Callers of the host.
const CALLERS: usize = 6;

/// Time from the first request to the stop.
const SERVING_TIME: Duration = Duration::from_millis(700);

/// Largest accepted body of a request in bytes.
const BODY_BYTES_MAX: usize = 16 << 10;

/// What a caller has seen.
#[derive(Debug, Default)]
struct Seen {
    answered: BTreeSet<String>,
    /// Whether the last response announced the end of the connection.
    is_closed: bool,
}

/// Takes the complete responses from what was read, and returns the number of these.
fn take_responses(buffer: &mut Vec<u8>, seen: &mut Seen) -> usize {
    let mut taken = 0;
    while let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
        let head = String::from_utf8_lossy(&buffer[..at]).to_lowercase();
        let length = support::field(&head, "content-length").map_or(0, |l| l.parse().unwrap());
        if buffer.len() < at + 4 + length {
            break;
        }
        buffer.drain(..at + 4 + length);
        taken += 1;
        seen.is_closed |= support::field(&head, "connection").is_some_and(|c| c == "close");
        if head.starts_with("http/1.1 200") {
            let id = support::field(&head, call_header::REQUEST_ID.as_str());
            seen.answered.extend(id);
        }
    }
    taken
}

/// Sends reads behind one another, and reads the responses slowly, until the connection ends.
async fn read_slowly(addr: SocketAddr, caller: usize) -> Seen {
    let mut stream = connect_with(addr, |s| s.set_recv_buffer_size(RECEIVE_BUFFER_BYTES));
    let (mut seen, mut buffer) = (Seen::default(), Vec::new());
    let (mut sent, mut waiting) = (0, 0);
    loop {
        while waiting < DEPTH && !seen.is_closed {
            let id = format!("{caller}-{sent}");
            let text = format!(
                "GET /read/{id} HTTP/1.1\r\nhost: shop.example\r\nchicoryrail-request-id: {id}\r\nchicoryrail-deadline-ms: 1500\r\n\r\n"
            );
            if stream.write_all(text.into_bytes()).await.0.is_err() {
                break;
            }
            sent += 1;
            waiting += 1;
        }
        let (read, piece) = stream.read(vec![0; READING.0]).await;
        match read {
            Ok(n) if n > 0 => buffer.extend_from_slice(&piece[..n]),
            _ => return seen,
        }
        waiting -= take_responses(&mut buffer, &mut seen).min(waiting);
        sleep(READING.1).await;
    }
}

/// Guards against a stopping host that closes a connection on which its caller still sends: the system resets it, and
/// discards the responses that the caller has not read.
#[test]
fn a_stop_discards_no_response_that_its_caller_has_not_read() {
    block_on(async {
        let world = World::start("unread").await;
        world.configure_uploads(Millis(600), BODY_BYTES_MAX).await;
        let server = RawServer::start_with("i-1", |id| {
            (response_with_body(id, RESPONSE_BYTES), End::Keep)
        });
        world
            .put_members(std::slice::from_ref(&server.member))
            .await;
        let mut host = world.router("a").await;
        wait_until("the host serves", async || {
            host.caller()
                .get("/read/x")
                .await
                .is_ok_and(|r| r.status() == 200)
        })
        .await;
        let addr = host.callers;
        let callers: Vec<_> = (0..CALLERS)
            .map(|i| monoio::spawn(read_slowly(addr, i)))
            .collect();
        sleep(SERVING_TIME).await;
        host.signal(Signal::SIGTERM);
        let seen = join_all(callers).await;
        let answered: BTreeSet<_> = seen.into_iter().flat_map(|s| s.answered).collect();
        let ran: BTreeSet<_> = server
            .received()
            .into_iter()
            .map(|r| r.id)
            .filter(|id| id.as_bytes()[0].is_ascii_digit())
            .collect();
        let lost: Vec<_> = ran.difference(&answered).collect();
        assert!(
            lost.is_empty() && answered.len() > CALLERS * DEPTH,
            "{} answered, lost {lost:?}\n{}",
            answered.len(),
            host.log()
        );
        wait_until("the process ends", async || host.exit_code().is_some()).await;
    });
}
