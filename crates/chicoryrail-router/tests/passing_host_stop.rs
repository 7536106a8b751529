//! A host that stops while another host still takes the response that it passes on.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use chicoryrail_runtime::block_on;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use monoio::time::sleep;
use nix::sys::signal::Signal;
use rstest::rstest;
use support::End;
use support::RawServer;
use support::World;
use support::connect_with;
use support::response_with_body;

/// Bytes of the other host's receive buffer. A small one leaves most of a response at the host that sends it.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Bytes of a segment on the way to the other host. The system's send buffer is small if they are few.
const SEGMENT_BYTES: u32 = 1_000;

/// Bytes that the other host reads at a time, and its pause behind them, until the first host has ended.
const READING: (usize, Duration) = (4_000, Duration::from_millis(20));

/// Grace period of the host in seconds.
const GRACE_S: u64 = 20;

/// Connects over a path that holds few bytes.
fn connect(addr: SocketAddr) -> TcpStream {
    connect_with(addr, |socket| {
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.set_mss(SEGMENT_BYTES)
    })
}

/// Message with which another host asks for a request to be passed on to the server `i-1`.
const MESSAGE: &[u8] = b"GET /forward/manual/x HTTP/1.1\r\nhost: shop.example\r\nchicoryrail-request-id: f-1\r\n\
    chicoryrail-deadline-ms: 1500\r\nchicoryrail-forward-server: i-1\r\nchicoryrail-forward-born: 1\r\n\
    chicoryrail-forward-service: desk\r\n\r\n";

/// Guards against a stopping host that ends before it has written a response that it passes on. How much the way holds
/// differs by a few segments, so there are several lengths.
#[rstest]
fn a_stop_truncates_no_response_that_another_host_still_takes(
    #[values(
        1_400_000, 1_440_000, 1_480_000, 1_520_000, 1_560_000, 1_600_000, 1_640_000
    )]
    body_bytes: usize,
) {
    block_on(async {
        let world = World::start("passing-stop").await;
        world.configure().await;
        let server = RawServer::start_with("i-1", move |id| {
            (response_with_body(id, body_bytes), End::Keep)
        });
        let members = std::slice::from_ref(&server.member);
        world.put_members(members).await;
        let mut host = world.router_with_grace("a", GRACE_S).await;
        let mut stream = connect(host.peer_addr);
        stream.write_all(MESSAGE).await.0.unwrap();
        let (mut received, mut is_stopped, mut has_ended) = (Vec::new(), false, false);
        while received.len() <= body_bytes {
            let (read, piece) = stream.read(vec![0; READING.0]).await;
            match read {
                Ok(bytes @ 1..) => received.extend_from_slice(&piece[..bytes]),
                Ok(0) | Err(_) => break,
            }
            if !is_stopped {
                is_stopped = true;
                host.signal(Signal::SIGTERM);
            }
            has_ended |= host.exit_code().is_some();
            if !has_ended {
                sleep(READING.1).await;
            }
        }
        assert!(received.starts_with(b"HTTP/1.1 200"));
        let count = received.len();
        assert!(
            count > body_bytes,
            "{count} of {body_bytes}\n{}",
            host.log()
        );
    });
}
