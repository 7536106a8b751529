//! Refusals of uploads whose callers send their whole bodies before they read the response.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use monoio::time::sleep;
use nix::sys::signal::Signal;
use rstest::rstest;
use support::World;
use support::ready_member;
use support::wait_until;

/// Largest accepted body in bytes.
const BODY_BYTES_MAX: usize = 8 << 20;

/// Bytes that a caller writes at a time.
const PIECE_BYTES: usize = 64 << 10;

/// Sends a whole request, then reads the response; `Err` if the connection ends before.
fn upload(addr: SocketAddr, path: &str, bytes: usize, pause: Duration) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\nchicoryrail-request-id: u-1\r\nchicoryrail-deadline-ms: 8000\r\ncontent-length: {bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let body = vec![b'u'; bytes];
    for piece in body.chunks(PIECE_BYTES) {
        stream.write_all(piece)?;
        thread::sleep(pause);
    }
    let mut seen = Vec::new();
    while !seen.windows(4).any(|w| w == b"\r\n\r\n") {
        let mut piece = [0; 4_096];
        match stream.read(&mut piece)? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            n => seen.extend_from_slice(&piece[..n]),
        }
    }
    let text = String::from_utf8_lossy(&seen);
    Ok(text[9..12].parse().unwrap())
}

/// Guards against a refused upload whose caller gets a reset in place of the refusal, and can't know that it has not run.
#[rstest]
#[case::short("/upload/x", 500_000, Duration::ZERO, 503, false)]
#[case::long("/upload/x", 3_000_000, Duration::ZERO, 503, false)]
#[case::longest("/upload/x", BODY_BYTES_MAX, Duration::ZERO, 503, false)]
#[case::slow("/upload/x", 4_000_000, Duration::from_millis(60), 503, false)]
#[case::long_at_a_stop("/upload/x", 3_000_000, Duration::ZERO, 503, true)]
#[case::without_a_route("/none/x", 3_000_000, Duration::ZERO, 404, false)]
#[case::too_long("/upload/x", 12_000_000, Duration::ZERO, 413, false)]
fn the_refusal_of_an_upload_reaches_a_caller_that_sends_on(
    #[case] path: &'static str,
    #[case] bytes: usize,
    #[case] pause: Duration,
    #[case] status: u16,
    #[case] stops: bool,
) {
    block_on(async {
        let world = World::start("refused-uploads").await;
        world.configure_uploads(Millis(600), BODY_BYTES_MAX).await;
        // No server takes uploads.
        let addr = "127.0.0.1:9".parse().unwrap();
        world
            .put_members(&[ready_member("i-1", "kits", addr)])
            .await;
        let host = world.router("a").await;
        wait_until("the host has a configuration", async || {
            host.caller()
                .get("/none/x")
                .await
                .is_ok_and(|r| r.status() == 404)
        })
        .await;
        if stops {
            host.signal(Signal::SIGTERM);
            sleep(Duration::from_millis(100)).await;
        }
        let addr = host.callers;
        let caller = thread::spawn(move || upload(addr, path, bytes, pause));
        while !caller.is_finished() {
            sleep(Duration::from_millis(10)).await;
        }
        let seen = caller.join().unwrap();
        assert!(
            matches!(seen, Ok(s) if s == status),
            "{seen:?}\n{}",
            host.log()
        );
    });
}
