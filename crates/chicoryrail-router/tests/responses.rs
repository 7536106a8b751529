//! Forwarding of responses and their bodies through a real router process.

mod support;

use std::io::Read;
use std::io::Write;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::ResponseHead;
use chicoryrail_testkit::TargetFault;
use chicoryrail_testkit::TargetOptions;
use rstest::rstest;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use support::World;
use support::wait_until;

/// Guards against a response that arrives truncated or changed, with a content length or with chunked encoding.
#[rstest]
#[case::fixed_length("body=300000")]
#[case::chunked("body=300000&chunked=1")]
#[case::empty("body=0")]
fn response_arrives_complete(#[case] query: &str) {
    block_on(async {
        let world = World::start(&format!("whole-{}", query.len())).await;
        world.configure().await;
        let _server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        let response = router.caller().get(&format!("/read/1?{query}")).await;
        let response = response.unwrap();
        assert_eq!(response.status(), 200);
        assert!(ResponseHead::check(response.body()).is_some());
    });
}

/// Guards against unbounded buffering for slow readers. Two hundred callers request a download of 540 KB each and do
/// not read it. The process may buffer a quarter of the smallest host's memory of 160 MB; all of the downloads would
/// take 108 MB.
#[test]
fn slow_readers_use_bounded_memory() {
    const READERS: u32 = 200;
    const GROWTH_MAX_KIB: u64 = 40 << 10;
    block_on(async {
        let world = World::start("slow-readers").await;
        world.configure().await;
        let mut servers = Vec::new();
        for i in 0..20 {
            let server = TargetOptions {
                service: "desk".into(),
                slots: 16,
                ..TargetOptions::new(&format!("i-{i}"))
            };
            servers.push(world.server_with(server).await);
        }
        let router = world.router("a").await;
        wait_until("all servers are known", async || {
            router.log().matches("log=server ").count() >= servers.len()
        })
        .await;
        assert_eq!(router.caller().get("/read/1").await.unwrap().status(), 200);
        let before = router.memory();
        let mut readers = Vec::new();
        for i in 0..READERS {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_recv_buffer_size(4 << 10).unwrap();
            socket.connect(&router.callers.into()).unwrap();
            let mut stream: std::net::TcpStream = socket.into();
            let text = format!(
                "GET /manual/1?body=540000 HTTP/1.1\r\nhost: shop.example\r\n\
                 chicoryrail-request-id: slow-{i}\r\nchicoryrail-deadline-ms: 10000\r\n\r\n"
            );
            stream.write_all(text.as_bytes()).unwrap();
            readers.push(stream);
        }
        wait_until("all downloads have begun", async || {
            router.log().matches("route=manual").count() >= READERS as usize
        })
        .await;
        monoio::time::sleep(Millis(500).to_duration()).await;
        let grown = router.memory() - before;
        assert!(grown < GROWTH_MAX_KIB, "{grown} KiB");
        // A caller that resumes reading receives the rest.
        let mut reader = readers.swap_remove(0);
        drop(readers);
        let whole = std::thread::spawn(move || {
            let mut all = vec![0; 540_000];
            reader.read_exact(&mut all).is_ok()
        });
        wait_until("the rest is read", async || whole.is_finished()).await;
        assert!(whole.join().unwrap());
    });
}

/// Guards against a truncated response that the caller takes for a complete one. Bytes that were already forwarded
/// can't be recalled, so the caller's connection must be closed early too.
#[rstest]
#[case::fixed_length("body=3000")]
#[case::chunked("body=3000&chunked=1")]
fn truncated_response_never_looks_complete(#[case] query: &str) {
    block_on(async {
        let world = World::start(&format!("cut-{}", query.len())).await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        server.fault(TargetFault::Cut {
            for_ms: 60_000,
            share: 1.0,
            after: 200,
        });
        let response = router.caller().post(&format!("/order/1?{query}")).await;
        let succeeded = response.is_ok_and(|a| a.status().is_success());
        assert!(!succeeded);
        assert_eq!(server.executed(), 1);
    });
}

/// Guards against a late response that reaches the caller of a later request. A server responds long after the caller's
/// deadline: the caller must receive `504` in time, and later requests their own responses.
#[test]
fn late_response_reaches_no_caller() {
    block_on(async {
        let world = World::start("late").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        server.fault(TargetFault::Late {
            for_ms: 400,
            share: 1.0,
            delay_ms: 900,
        });
        let caller = router.caller();
        let late = caller.call("POST", "/order/1", None, 300).await.unwrap();
        assert_eq!(late.status(), 504);
        monoio::time::sleep(Millis(200).to_duration()).await;
        for i in 0..5 {
            let path = format!("/read/{i}");
            let response = caller.get(&path).await.unwrap();
            let head = ResponseHead::check(response.body()).unwrap();
            assert_eq!(head.path, path);
        }
        monoio::time::sleep(Millis(500).to_duration()).await;
        let response = caller.get("/read/after").await.unwrap();
        let head = ResponseHead::check(response.body()).unwrap();
        assert_eq!(head.path, "/read/after");
    });
}

/// Guards against a server that goes on working for a caller that has disconnected. The router must close its
/// connection to the server, which cancels the read and frees its slot.
#[test]
fn disconnected_caller_cancels_its_read() {
    block_on(async {
        let world = World::start("leaves").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        let caller = router.caller();
        caller
            .cancel_after("/read/1?work_us=8000000", Millis(200))
            .await;
        wait_until("the read is cancelled", async || {
            server.ledger().cancelled > 0
        })
        .await;
        assert_eq!(server.executed(), 0);
        wait_until("the cancellation is logged", async || {
            router.log().contains("log=request_given_up")
        })
        .await;
    });
}

/// Guards against hosts that each use all slots of a server. Many callers send through two hosts to one server with two
/// slots: at most three requests may be at the server, queued ones included, and the server may refuse none.
#[test]
fn slots_are_shared_by_all_hosts() {
    block_on(async {
        let world = World::start("slots").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let routers = [world.router("a").await, world.router("b").await];
        monoio::time::sleep(Millis(1_000).to_duration()).await;
        server.set_work(Millis(20));
        let calls = (0..20).map(|i| {
            let caller = routers[i % 2].caller();
            async move { caller.get("/read/1").await.unwrap().status() }
        });
        let responses = futures_util::future::join_all(calls).await;
        let served = responses.iter().filter(|s| **s == 200).count();
        assert!(served >= 10, "{responses:?}");
        let ledger = server.ledger();
        assert_eq!(ledger.shed, 0);
        assert!(ledger.max_busy <= 3, "{}", ledger.max_busy);
    });
}

/// Guards against a runtime that uses io_uring, which hosts forbid: no file descriptor of the process may be one.
#[test]
fn process_uses_no_io_uring() {
    block_on(async {
        let world = World::start("uring").await;
        world.configure().await;
        let _server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        router.caller().get("/read/1").await.unwrap();
        let links = std::fs::read_dir(format!("/proc/{}/fd", router.pid())).unwrap();
        let names: Vec<_> = links
            .filter_map(|l| std::fs::read_link(l.ok()?.path()).ok())
            .map(|p| p.to_string_lossy().into_owned())
            .collect();
        assert!(names.iter().any(|n| n.contains("eventpoll")), "{names:?}");
        assert!(!names.iter().any(|n| n.contains("io_uring")), "{names:?}");
    });
}
