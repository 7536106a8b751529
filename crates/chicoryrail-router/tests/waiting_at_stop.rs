//! Requests that may wait for longer than the process that holds them has left.

mod support;

use std::rc::Rc;
use std::time::Duration;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::TargetFault;
use chicoryrail_testkit::TargetOptions;
use futures_util::future::join_all;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use monoio::task::JoinHandle;
use monoio::time::sleep;
use monoio::time::timeout;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use support::Cut;
use support::RouterProcess;
use support::Server;
use support::World;
use support::wait_until;

/// Grace period of the hosts, in seconds.
const GRACE_S: u64 = 2;

/// Time that callers have, far beyond the grace period.
const CALLER_TIME: Millis = Millis(10_000);

/// Service time of the requests, in microseconds, and the path that asks for it.
const ORDER: &str = "/order/x?work_us=500000";

/// Time after which requests are at work or queued.
const SETTLED: Duration = Duration::from_millis(200);

/// Writes a configuration whose routes tolerate waiting.
async fn configure_tolerant(world: &World) {
    let mut config = world.next_config();
    let paths = config["virtual_hosts"][0]["paths"].as_array_mut().unwrap();
    for path in paths {
        path["timeout_ms"] = json!(CALLER_TIME.0);
        path["target_latency_ms"] = json!(1_000);
    }
    world.put("op/config", &config).await;
}

/// Starts a server with one slot and no queue.
async fn start_server(world: &World, service: &str) -> Rc<Server> {
    let options = TargetOptions {
        service: service.into(),
        keyed: service == "kits",
        slots: 1,
        queue: 0,
        ..TargetOptions::new("d-1")
    };
    world.server_with(options).await
}

/// Sends a request with a new caller; the status is `None` if the connection ends without a response.
fn send(host: &RouterProcess, method: &'static str, path: &'static str) -> JoinHandle<Option<u16>> {
    let caller = host.caller();
    monoio::spawn(async move {
        let key = path.starts_with("/key/").then_some(7);
        let response = caller.call(method, path, key, CALLER_TIME.0).await;
        response.ok().map(|r| r.status().into())
    })
}

/// Waits until a stopped process has ended, and checks that it had no request in hand.
async fn check_end(host: &mut RouterProcess) {
    wait_until("the process ends", async || host.exit_code().is_some()).await;
    let log = host.log();
    assert_eq!(host.exit_code(), Some(0), "{log}");
    let end = log.lines().find(|l| l.starts_with("log=stop "));
    assert!(end.is_some_and(|l| l.contains("serving=0")), "{log}");
}

/// Returns the time of the first line of a log that begins so, in seconds.
fn logged_at(log: &str, line: &str) -> f64 {
    let line = log.lines().find(|l| l.starts_with(line));
    let time = line.and_then(|l| l.split(" t=").nth(1)?.split(' ').next()?.parse().ok());
    time.unwrap_or_else(|| panic!("{log}"))
}

/// When the requests are sent.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    BeforeStop,
    AfterStop,
}

/// Where the requests wait for their slot.
#[derive(Clone, Copy, Debug)]
enum Queue {
    OwnScheduler,
    OtherScheduler,
}

/// Guards against a process that ends with requests that wait for a slot. Load: eight orders of 500 ms at a server with
/// one slot, with 10 s each, at a host that has 1.6 s left.
#[rstest]
#[case::own_scheduler(Queue::OwnScheduler, Arrival::BeforeStop)]
#[case::own_scheduler_after_stop(Queue::OwnScheduler, Arrival::AfterStop)]
#[case::other_scheduler(Queue::OtherScheduler, Arrival::BeforeStop)]
#[case::other_scheduler_after_stop(Queue::OtherScheduler, Arrival::AfterStop)]
fn a_request_in_a_queue_is_served_or_refused_before_its_host_ends(
    #[case] queue: Queue,
    #[case] arrival: Arrival,
) {
    block_on(async {
        let world = World::start("queued").await;
        configure_tolerant(&world).await;
        let server = start_server(&world, "desk").await;
        let mut hosts = vec![world.router_with_grace("a", GRACE_S).await];
        if matches!(queue, Queue::OtherScheduler) {
            hosts.push(world.router_with_grace("b", GRACE_S).await);
        }
        wait_until("one host schedules", async || {
            let _ = hosts[0].caller().get("/read/x").await;
            hosts.iter().filter(|h| h.schedules("desk", 1)).count() == 1
        })
        .await;
        let at = match queue {
            Queue::OwnScheduler => 0,
            Queue::OtherScheduler => hosts.iter().position(|h| !h.schedules("desk", 1)).unwrap(),
        };
        let runs = server.executed();
        let running = send(&hosts[at], "POST", ORDER);
        sleep(SETTLED).await;
        let send_all = || {
            (0..8)
                .map(|_| send(&hosts[at], "POST", ORDER))
                .collect::<Vec<_>>()
        };
        let mut waiting = Vec::new();
        if matches!(arrival, Arrival::BeforeStop) {
            waiting = send_all();
            sleep(SETTLED).await;
        }
        hosts[at].signal(Signal::SIGTERM);
        if matches!(arrival, Arrival::AfterStop) {
            waiting = send_all();
        }
        assert_eq!(running.await, Some(200));
        let statuses = join_all(waiting).await;
        let served = statuses.iter().filter(|s| **s == Some(200)).count();
        let refused = statuses.iter().filter(|s| **s == Some(503)).count();
        assert_eq!(
            served + refused,
            statuses.len(),
            "{statuses:?} {}",
            hosts[at].log()
        );
        assert_eq!(server.executed(), runs + 1 + served, "{statuses:?}");
        check_end(&mut hosts[at]).await;
    });
}

/// What a request that is not in a queue waits for.
#[derive(Clone, Copy, Debug)]
enum Wait {
    /// The rest of its body, which the caller does not send.
    Body,
    /// A connection to its server, which does not answer.
    Connection,
    /// An owner of its key.
    Owner,
}

/// Guards against a process that ends with a request that waits for something other than a slot: nothing was sent, so the
/// refusal says that it has not run.
#[rstest]
#[case::body(Wait::Body)]
#[case::connection(Wait::Connection)]
#[case::owner(Wait::Owner)]
fn an_unsent_request_is_refused_before_its_host_ends(#[case] wait: Wait) {
    block_on(async {
        let world = World::start("unsent").await;
        configure_tolerant(&world).await;
        let service = if matches!(wait, Wait::Owner) {
            "kits"
        } else {
            "desk"
        };
        let server = start_server(&world, service).await;
        let mut host = world.router_with_grace("a", GRACE_S).await;
        let path = match wait {
            Wait::Owner => "/key/x",
            Wait::Body | Wait::Connection => "/order/x",
        };
        let runs = server.executed();
        let request = match wait {
            Wait::Body => send_half(&host),
            Wait::Connection => {
                host.cut_from(&[Rc::clone(&server)], Cut::Silent);
                send(&host, "POST", path)
            }
            Wait::Owner => {
                server.crash();
                send(&host, "GET", path)
            }
        };
        sleep(SETTLED).await;
        host.signal(Signal::SIGTERM);
        let answer = request.await;
        assert_eq!(answer, Some(503), "{}", host.log());
        assert_eq!(server.executed(), runs);
        check_end(&mut host).await;
    });
}

/// Sends the head of an order and a part of its body on a new connection, and waits for the response.
fn send_half(host: &RouterProcess) -> JoinHandle<Option<u16>> {
    let addr = host.callers;
    monoio::spawn(async move {
        let head = format!(
            "POST /order/x HTTP/1.1\r\nhost: shop.example\r\nchicoryrail-request-id: half\r\n\
             chicoryrail-deadline-ms: {}\r\ncontent-length: 100\r\n\r\nhalf",
            CALLER_TIME.0
        );
        let mut stream = TcpStream::connect(addr).await.unwrap();
        stream.write_all(head.into_bytes()).await.0.unwrap();
        let read = timeout(Duration::from_secs(8), stream.read(vec![0; 1 << 10]));
        let (count, buffer) = read.await.ok()?;
        let text = String::from_utf8_lossy(&buffer[..count.ok()?]).into_owned();
        text.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
    })
}

/// Guards against a connection that ends without a response while a server holds the request: whether it ran is open, and
/// its caller is told so.
#[test]
fn a_request_without_a_response_is_reported_before_its_host_ends() {
    block_on(async {
        let world = World::start("silent").await;
        configure_tolerant(&world).await;
        let server = start_server(&world, "desk").await;
        let mut host = world.router_with_grace("a", GRACE_S).await;
        assert_eq!(send(&host, "POST", "/order/x").await, Some(200));
        server.fault(TargetFault::Mute { for_ms: 600_000 });
        let running = send(&host, "POST", "/order/x?work_us=9000000");
        sleep(SETTLED).await;
        host.signal(Signal::SIGTERM);
        assert_eq!(running.await, Some(504), "{}", host.log());
        check_end(&mut host).await;
    });
}

/// Guards against a stop that keeps the grace period of its beginning although a reload has shortened it, so that the
/// platform kills the process with requests in hand.
#[test]
fn a_shorter_grace_period_holds_for_a_stop_under_way() {
    block_on(async {
        let world = World::start("shorter").await;
        configure_tolerant(&world).await;
        let _server = start_server(&world, "desk").await;
        let mut host = world.router_with_grace("a", 9).await;
        let running = send(&host, "POST", "/order/x?work_us=600000");
        sleep(SETTLED).await;
        let waiting: Vec<_> = (0..12).map(|_| send(&host, "POST", ORDER)).collect();
        sleep(SETTLED).await;
        host.signal(Signal::SIGTERM);
        sleep(SETTLED).await;
        host.edit_boot("grace_period_s = 9", "grace_period_s = 2");
        host.signal(Signal::SIGHUP);
        assert_eq!(running.await, Some(200));
        let statuses = join_all(waiting).await;
        let is_ended = |s: &Option<u16>| matches!(s, Some(200 | 503));
        assert!(statuses.iter().all(is_ended), "{statuses:?}");
        check_end(&mut host).await;
        let log = host.log();
        let took = logged_at(&log, "log=stop ") - logged_at(&log, "log=stopping ");
        assert!(took < GRACE_S as f64, "{took} s");
    });
}

/// Guards against a host that takes a request of another host which it can't finish. Load: a caller of a host without a
/// path, every 50 ms, while the first of two hosts that pass its requests on stops; each request takes 300 ms.
#[test]
fn a_stopping_host_passes_on_only_what_it_can_finish() {
    block_on(async {
        let world = World::start("passing").await;
        configure_tolerant(&world).await;
        let server = world.server("d-1", "desk").await;
        let mut hosts = Vec::new();
        for name in ["a", "b", "c"] {
            hosts.push(world.router_with_grace(name, GRACE_S).await);
        }
        sleep(Duration::from_millis(1_500)).await;
        hosts[0].cut_from(&[Rc::clone(&server)], Cut::Refused);
        wait_until("requests are passed on", async || {
            send(&hosts[0], "GET", "/read/x").await == Some(200)
        })
        .await;
        hosts[1].signal(Signal::SIGTERM);
        let mut requests = Vec::new();
        for _ in 0..40 {
            requests.push(send(&hosts[0], "POST", "/order/x?work_us=100000"));
            sleep(Duration::from_millis(50)).await;
        }
        let statuses = join_all(requests).await;
        let is_known = |s: &Option<u16>| matches!(s, Some(200 | 503));
        assert!(statuses.iter().all(is_known), "{statuses:?}");
        check_end(&mut hosts[1]).await;
    });
}

/// Guards against a stop that is cut short by a reload: a grace period that is over already leaves no time, but requests
/// in the queue of another host must still be refused before the process exits.
#[test]
fn queued_requests_are_refused_if_a_reload_ends_the_grace_period() {
    block_on(async {
        let world = World::start("ended").await;
        configure_tolerant(&world).await;
        let _server = start_server(&world, "desk").await;
        let mut hosts = Vec::new();
        for name in ["a", "b"] {
            hosts.push(world.router_with_grace(name, 9).await);
        }
        wait_until("one host schedules", async || {
            let _ = hosts[0].caller().get("/read/x").await;
            hosts.iter().filter(|h| h.schedules("desk", 1)).count() == 1
        })
        .await;
        let at = hosts.iter().position(|h| !h.schedules("desk", 1)).unwrap();
        let running = send(&hosts[1 - at], "POST", "/order/x?work_us=4000000");
        sleep(SETTLED).await;
        let mut waiting = Vec::new();
        for _ in 0..6 {
            waiting.push(send(&hosts[at], "POST", ORDER));
            sleep(Duration::from_millis(20)).await;
        }
        sleep(SETTLED).await;
        hosts[at].signal(Signal::SIGTERM);
        sleep(Duration::from_millis(1_500)).await;
        hosts[at].edit_boot("grace_period_s = 9", "grace_period_s = 1");
        hosts[at].signal(Signal::SIGHUP);
        let statuses = join_all(waiting).await;
        assert!(
            statuses.iter().all(|s| *s == Some(503)),
            "{statuses:?} {}",
            hosts[at].log()
        );
        assert_eq!(running.await, Some(200));
        check_end(&mut hosts[at]).await;
    });
}

/// Guards against a refusal that blames the caller's body for the end of the host: an upload that arrives after the stop
/// is refused like one that arrived before it.
#[test]
fn a_body_that_is_awaited_after_the_stop_is_refused_for_the_stop() {
    block_on(async {
        let world = World::start("after").await;
        configure_tolerant(&world).await;
        let _server = start_server(&world, "desk").await;
        let mut host = world.router_with_grace("a", GRACE_S).await;
        host.signal(Signal::SIGTERM);
        sleep(Duration::from_millis(50)).await;
        assert_eq!(send_half(&host).await, Some(503), "{}", host.log());
        check_end(&mut host).await;
    });
}

/// Guards against a refusal at a stopping host of a request that a free server would have served at once. Load: a route
/// whose responses take a few milliseconds, with a latency target of 1 s, at a host that has 1.6 s left.
#[test]
fn a_stopping_host_serves_a_request_for_which_a_server_is_free() {
    block_on(async {
        let world = World::start("free").await;
        configure_tolerant(&world).await;
        let _server = start_server(&world, "desk").await;
        let mut host = world.router_with_grace("a", GRACE_S).await;
        for _ in 0..210 {
            assert_eq!(send(&host, "POST", "/order/x").await, Some(200));
        }
        host.signal(Signal::SIGTERM);
        sleep(Duration::from_millis(50)).await;
        let status = send(&host, "POST", "/order/x").await;
        assert_eq!(status, Some(200), "{}", host.log());
        check_end(&mut host).await;
    });
}
