//! Pipelined responses that their caller reads long after they were written, when its connection is closed as idle.

mod support;

use std::time::Duration;

use chicoryrail_runtime::block_on;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::time::sleep;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use support::End;
use support::RawServer;
use support::World;
use support::connect_with;
use support::response_with_body;
use support::wait_until;

/// Requests that the caller sends at once.
const REQUESTS: usize = 8;

/// Bytes of a response's body.
const BODY_BYTES: usize = 30_000;

/// Bytes of the caller's receive buffer, far less than all responses.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Time after which a host closes an idle connection.
const IDLE_TIMEOUT_MS: u64 = 6_000;

/// Time for which the caller reads nothing; the connection is closed before.
const PAUSE: Duration = Duration::from_millis(6_500);

/// Time from the requests to the stop. Then the connection is closed 6.1 s after them.
const STOP_DELAY: Duration = Duration::from_millis(3_500);

/// Bytes that the caller reads at a time, and its pause behind them.
const READING: (usize, Duration) = (10_000, Duration::from_millis(20));

fn request(id: usize) -> Vec<u8> {
    format!(
        "GET /read/x HTTP/1.1\r\nhost: shop.example\r\nchicoryrail-request-id: p-{id}\r\nchicoryrail-deadline-ms: 9000\r\n\r\n"
    )
    .into_bytes()
}

/// Guards against an idle connection that is closed at once, and reset when its caller goes on: the responses that the
/// caller has not read are lost.
#[rstest]
#[case::idle_timeout(false)]
#[case::stop(true)]
fn a_caller_that_pauses_gets_its_pipelined_responses(#[case] stops: bool) {
    block_on(async {
        let world = World::start("idle-pipelines").await;
        let mut config = world.next_config();
        config["limits"]["idle_timeout_ms"] = json!(IDLE_TIMEOUT_MS);
        world.put("op/config", &config).await;
        let server =
            RawServer::start_with("i-1", |id| (response_with_body(id, BODY_BYTES), End::Keep));
        let members = std::slice::from_ref(&server.member);
        world.put_members(members).await;
        let host = world.router("a").await;
        wait_until("the host serves", async || {
            let response = host.caller().get("/read/x").await;
            response.is_ok_and(|r| r.status() == 200)
        })
        .await;
        let mut stream = connect_with(host.callers, |s| {
            s.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        });
        let requests: Vec<u8> = (0..REQUESTS).flat_map(request).collect();
        stream.write_all(requests).await.0.unwrap();
        if stops {
            sleep(STOP_DELAY).await;
            host.signal(Signal::SIGTERM);
            sleep(PAUSE.saturating_sub(STOP_DELAY)).await;
        } else {
            sleep(PAUSE).await;
        }
        let _ = stream.write_all(request(REQUESTS)).await;
        let mut received = Vec::new();
        while let (Ok(bytes @ 1..), piece) = stream.read(vec![0; READING.0]).await {
            received.extend_from_slice(&piece[..bytes]);
            sleep(READING.1).await;
        }
        let bodies = received.iter().filter(|byte| **byte == b'r').count();
        let all = REQUESTS * BODY_BYTES;
        assert!(bodies >= all, "{bodies} of {all} bytes\n{}", host.log());
    });
}
