//! Many callers that send large bodies slowly, at a host with little memory.

mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetOptions;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use monoio::time::sleep;
use monoio::time::timeout;
use support::World;
use support::wait_until;

/// Number of callers.
const CALLERS: usize = 1_000;

/// Declared length of each body in bytes.
const BODY_BYTES: usize = 1 << 20;

/// Bytes of one write of a caller. Small writes cost a host the most memory for each byte.
const PIECE_BYTES: usize = 1 << 10;

/// Bytes that each caller sends in all: more than a host reads ahead of a slot.
const SENT_BYTES: usize = 128 << 10;

/// Time between two writes of a caller.
const PIECE_INTERVAL: Duration = Duration::from_millis(60);

/// Memory limit of the host in megabytes.
const MEMORY_MB: u64 = 120;

/// Sends a part of an upload slowly, and returns the status of the response, 0 for none.
async fn upload_slowly(addr: SocketAddr, i: usize) -> u16 {
    let Ok(mut stream) = TcpStream::connect(addr).await else {
        return 0;
    };
    let head = format!(
        "POST /upload/{i} HTTP/1.1\r\nhost: shop.example\r\nchicoryrail-request-id: u{i}\r\n\
         content-length: {BODY_BYTES}\r\n\r\n"
    );
    if stream.write_all(head.into_bytes()).await.0.is_err() {
        return 0;
    }
    for _ in 0..SENT_BYTES / PIECE_BYTES {
        let piece = vec![b'a'; PIECE_BYTES];
        let write = timeout(Duration::from_secs(2), stream.write_all(piece));
        match write.await {
            Ok((Ok(_), _)) => {}
            Ok((Err(_), _)) => break,
            // The host reads no further.
            Err(_) => break,
        }
        sleep(PIECE_INTERVAL).await;
    }
    let read = timeout(Duration::from_millis(500), stream.read(vec![0_u8; 64]));
    let Ok((Ok(n), response)) = read.await else {
        return 0;
    };
    let status = std::str::from_utf8(&response[..n]).ok();
    status
        .and_then(|text| text.get(9..12)?.parse().ok())
        .unwrap_or(0)
}

/// Guards against a host that is killed because slow callers' bodies take more memory than it has. With 400 slots at the
/// servers, 400 of the 1,000 uploads can be streamed at a time and the others wait.
#[test]
fn slow_callers_of_large_bodies_stay_within_memory() {
    block_on(async {
        let world = World::start("slow-uploads").await;
        world.configure_uploads(Millis(3_000), BODY_BYTES).await;
        for i in 0..4 {
            let options = TargetOptions {
                service: "desk".into(),
                slots: 100,
                ..TargetOptions::new(&format!("i-{i}"))
            };
            world.server_with(options).await;
        }
        world.server("k-1", "kits").await;
        let router = world.router_with_memory("a", MEMORY_MB, &[]).await;
        wait_until("keys are served", async || router.serves_all_keys().await).await;
        // The servers warm up.
        sleep(Duration::from_secs(4)).await;
        let before = router.peak_memory();
        let ended = Rc::new(Cell::new(0));
        let mut callers = Vec::new();
        for i in 0..CALLERS {
            let (addr, ended) = (router.callers, Rc::clone(&ended));
            callers.push(monoio::spawn(async move {
                let status = upload_slowly(addr, i).await;
                ended.set(ended.get() + 1);
                status
            }));
        }
        let mut served = 0;
        let mut others = 0;
        while ended.get() < CALLERS {
            let response = router.caller().key(7).await;
            others += 1;
            served += u32::from(response.is_ok_and(|r| r.status() == 200));
            sleep(Duration::from_millis(500)).await;
        }
        let mut refused = 0;
        for caller in callers {
            refused += usize::from(caller.await == 503);
        }
        let peak = router.peak_memory();
        let log = router.log();
        let count = |text: &str| log.matches(text).count();
        println!(
            "resident: {before} KiB at rest, {peak} KiB peak; uploads: {refused} refused, {} host_memory, {} full, {} left; \
             others: {served} of {others} served",
            count("cause=host_memory"),
            count("cause=full"),
            count("log=request_given_up"),
        );
        assert_eq!(served, others);
        assert!(peak < MEMORY_MB << 10, "{peak} KiB");
    });
}
