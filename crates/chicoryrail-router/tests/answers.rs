//! Answers and bodies on their way through a real process.

mod support;

use std::io::Read;
use std::io::Write;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::AnswerHead;
use chicoryrail_testkit::TargetFault;
use chicoryrail_testkit::TargetOptions;
use rstest::rstest;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use support::World;
use support::wait_until;

/// A long answer arrives whole, with its length told or in chunks.
#[rstest]
#[case::fixed_length("body=300000")]
#[case::chunked("body=300000&chunked=1")]
#[case::empty("body=0")]
fn an_answer_arrives_whole(#[case] query: &str) {
    block_on(async {
        let world = World::start(&format!("whole-{}", query.len())).await;
        world.configure().await;
        let _server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        let answer = router.caller().get(&format!("/read/1?{query}")).await;
        let answer = answer.unwrap();
        assert_eq!(answer.status(), 200);
        assert!(AnswerHead::check(answer.body()).is_some());
    });
}

/// Two hundred callers ask for a download of 540 KB each and read nothing but its start. What is read of the servers'
/// answers ahead of them is bounded, so the process stays within a quarter of the smallest host's 160 MB; all of
/// it would be 108 MB.
#[test]
fn many_slow_readers_take_little_memory() {
    const READERS: u32 = 200;
    const MOST_KIB: u64 = 40 << 10;
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
        monoio::time::sleep(Millis(500).duration()).await;
        let grown = router.memory() - before;
        assert!(grown < MOST_KIB, "{grown} KiB");
        // One that reads on gets the rest.
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

/// A server's answer ends early. What has reached the caller by then can't be taken back, so its connection
/// is cut too: a short answer is never a whole one.
#[rstest]
#[case::fixed_length("body=3000")]
#[case::chunked("body=3000&chunked=1")]
fn a_cut_answer_is_never_a_short_one(#[case] query: &str) {
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
        let answer = router.caller().post(&format!("/order/1?{query}")).await;
        let taken = answer.is_ok_and(|a| a.status().is_success());
        assert!(!taken);
        assert_eq!(server.runs(), 1);
    });
}

/// A server answers long after the caller's time. The caller learns in time that nothing is known, and the
/// late answer reaches nobody: the next request on the way gets its own.
#[test]
fn a_late_answer_reaches_nobody() {
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
        monoio::time::sleep(Millis(200).duration()).await;
        for i in 0..5 {
            let path = format!("/read/{i}");
            let answer = caller.get(&path).await.unwrap();
            let head = AnswerHead::check(answer.body()).unwrap();
            assert_eq!(head.path, path);
        }
        monoio::time::sleep(Millis(500).duration()).await;
        let answer = caller.get("/read/after").await.unwrap();
        let head = AnswerHead::check(answer.body()).unwrap();
        assert_eq!(head.path, "/read/after");
    });
}

/// A caller leaves while its lookup runs. The server is told by the end of the connection, and its slot is
/// free for others.
#[test]
fn a_caller_that_leaves_cancels_its_lookup() {
    block_on(async {
        let world = World::start("leaves").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let router = world.router("a").await;
        let caller = router.caller();
        caller.leaves("/read/1?work_us=8000000", Millis(200)).await;
        wait_until("the lookup is cancelled", async || {
            server.ledger().cancelled > 0
        })
        .await;
        assert_eq!(server.runs(), 0);
        wait_until("it is logged", async || {
            router.log().contains("log=request_given_up")
        })
        .await;
    });
}

/// Many callers at once, through two hosts, to one server with two slots: no more than two run and a few
/// wait there, and nobody is refused by the server.
#[test]
fn slots_are_kept_over_all_hosts() {
    block_on(async {
        let world = World::start("slots").await;
        world.configure().await;
        let server = world.server("i-1", "desk").await;
        let routers = [world.router("a").await, world.router("b").await];
        monoio::time::sleep(Millis(1_000).duration()).await;
        server.takes(Millis(20));
        let calls = (0..20).map(|i| {
            let caller = routers[i % 2].caller();
            async move { caller.get("/read/1").await.unwrap().status() }
        });
        let answers = futures_util::future::join_all(calls).await;
        let served = answers.iter().filter(|s| **s == 200).count();
        assert!(served >= 10, "{answers:?}");
        let ledger = server.ledger();
        assert_eq!(ledger.shed, 0);
        assert!(ledger.max_busy <= 3, "{}", ledger.max_busy);
    });
}

/// Hosts forbid io_uring, so no descriptor of the process may be one.
#[test]
fn the_process_uses_no_io_uring() {
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
