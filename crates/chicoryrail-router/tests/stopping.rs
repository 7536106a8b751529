//! Hosts that stop or reload while a server is at work on a request: the response must reach the caller.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::LinkFault;
use chicoryrail_testkit::ProxyNet;
use chicoryrail_testkit::ResponseHead;
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
use support::Cut;
use support::RouterProcess;
use support::Server;
use support::World;
use support::ready_member;
use support::wait_until;

/// Time after which a request is at work at its server.
const AT_WORK: Millis = Millis(150);

/// Time for which two hosts exchange heartbeats before one loses its paths.
const SETTLE_TIME: Millis = Millis(1_500);

/// An order that takes 900 ms.
const LONG_ORDER: &str = "/order/x?work_us=900000";

/// A read that takes 500 ms, less than the time after which a host sends it again.
const READ: &str = "/read/x?work_us=500000";

/// A read that takes longer than that.
const SLOW_READ: &str = "/read/x?work_us=1100000";

/// A host on the way of a request.
#[derive(Clone, Copy, Debug)]
enum Host {
    /// The one that the caller uses, which can't reach the server.
    Receiving,
    /// The one that passes the request on.
    Passing,
}

/// Memory limit of a host in megabytes.
const MEMORY_MB: u64 = 300;

/// Starts two hosts, the first of which can't reach the server's address.
async fn start_forwarding(world: &World, addr: SocketAddr, args: &[&str]) -> Vec<RouterProcess> {
    let mut hosts = Vec::new();
    for name in ["a", "b"] {
        hosts.push(world.router_with_memory(name, MEMORY_MB, args).await);
    }
    wait_until("the hosts know each other", async || {
        hosts.iter().all(|h| h.log().contains("log=core_host"))
    })
    .await;
    sleep(SETTLE_TIME.to_duration()).await;
    hosts[0].cut_addrs([addr].into_iter(), Cut::Refused);
    let response = hosts[0].caller().get("/read/x").await.unwrap();
    assert_eq!(response.status(), 200);
    hosts
}

/// Sends a request that the first host can't send itself, and a signal to a host while the server is at work.
async fn signal_forwarding(method: &'static str, path: &'static str, at: Host, signal: Signal) {
    let world = World::start("forwarded").await;
    world.configure().await;
    let server = world.server("d-1", "desk").await;
    let hosts = start_forwarding(&world, server.addr, &[]).await;
    let caller = hosts[0].caller();
    let running = monoio::spawn(async move { caller.call(method, path, None, 1_500).await });
    sleep(AT_WORK.to_duration()).await;
    let runs = server.executed();
    hosts[at as usize].signal(signal);
    let response = running.await.unwrap();
    assert_eq!(response.status(), 200, "{response:?} {}", hosts[0].log());
    assert_eq!(server.executed(), runs + 1);
}

/// Guards against a signal at a host on the way that ends a request at work behind another host.
#[rstest]
#[case::order_stop_receiving("POST", LONG_ORDER, Host::Receiving, Signal::SIGTERM)]
#[case::order_stop_passing("POST", LONG_ORDER, Host::Passing, Signal::SIGTERM)]
#[case::order_reload_receiving("POST", LONG_ORDER, Host::Receiving, Signal::SIGHUP)]
#[case::order_reload_passing("POST", LONG_ORDER, Host::Passing, Signal::SIGHUP)]
#[case::read_stop_passing("GET", READ, Host::Passing, Signal::SIGTERM)]
fn a_signal_interrupts_no_forwarded_request(
    #[case] method: &'static str,
    #[case] path: &'static str,
    #[case] at: Host,
    #[case] signal: Signal,
) {
    block_on(signal_forwarding(method, path, at, signal));
}

/// Guards against a read that the receiving host gives up although a server behind another host runs it.
#[rstest]
#[case::stop_receiving(Host::Receiving)]
#[case::stop_passing(Host::Passing)]
fn a_stop_interrupts_no_slow_forwarded_read(#[case] at: Host) {
    block_on(signal_forwarding("GET", SLOW_READ, at, Signal::SIGTERM));
}

/// Bytes that a slow server sends in a second.
const SLOW_RATE: u64 = 50_000;

/// Starts a server that is reached over a link, and hosts: two of which the first can't reach the server if `forwards`.
async fn start_slow(world: &World, forwards: bool) -> (ProxyNet, Vec<RouterProcess>) {
    let server = Server::start(TargetOptions {
        service: "desk".into(),
        ..TargetOptions::new("d-1")
    });
    let mut net = ProxyNet::start(1);
    let link = net.link_any_port("server", server.addr).unwrap();
    let member = ready_member(&server.name, "desk", link.addr());
    world.put_members(&[member]).await;
    let hosts = if forwards {
        start_forwarding(world, link.addr(), &[]).await
    } else {
        vec![world.router("a").await]
    };
    link.set_fault(LinkFault {
        drip: Some(SLOW_RATE),
        ..LinkFault::default()
    });
    (net, hosts)
}

/// Guards against a stop that truncates a response that a slow server is still sending, within the grace period. The
/// response takes 4 s.
#[rstest]
#[case::direct(None)]
#[case::receiving(Some(Host::Receiving))]
#[case::passing(Some(Host::Passing))]
fn a_stop_truncates_no_streamed_response(#[case] at: Option<Host>) {
    block_on(async {
        let world = World::start("stream").await;
        world.configure().await;
        let (_net, hosts) = start_slow(&world, at.is_some()).await;
        let path = format!("/manual/x?body={}", SLOW_RATE * 4);
        let caller = hosts[0].caller();
        let running = monoio::spawn(async move { caller.get(&path).await });
        sleep(Duration::from_millis(700)).await;
        hosts[at.map_or(0, |at| at as usize)].signal(Signal::SIGTERM);
        let response = running.await;
        let response = response.unwrap_or_else(|e| panic!("{e} {}", hosts[0].log()));
        assert_eq!(response.status(), 200);
        assert!(ResponseHead::check(response.body()).is_some());
    });
}

/// Guards against a read that is given up while its response arrives. The response takes 1.1 s.
#[test]
fn a_response_that_has_begun_is_not_given_up() {
    block_on(async {
        let world = World::start("begun").await;
        world.configure().await;
        let (_net, hosts) = start_slow(&world, false).await;
        let path = format!("/read/x?body={}", SLOW_RATE * 11 / 10);
        let response = hosts[0].caller().get(&path).await.unwrap();
        assert_eq!(response.status(), 200, "{response:?}");
    });
}

/// Reads up to `count` responses on a connection, or until its end, and returns their status codes.
async fn read_statuses(stream: &mut TcpStream, count: usize) -> Vec<u16> {
    let mut text = String::new();
    while text.matches("HTTP/1.1 ").count() < count {
        let read = timeout(Duration::from_secs(5), stream.read(vec![0; 16 << 10]));
        match read.await {
            Ok((Ok(n), buffer)) if n > 0 => text += &String::from_utf8_lossy(&buffer[..n]),
            _ => break,
        }
    }
    let heads = text.split("HTTP/1.1 ").skip(1);
    heads.map(|head| head[..3].parse().unwrap()).collect()
}

fn head(line: &str, id: &str, length: usize) -> Vec<u8> {
    format!(
        "{line} HTTP/1.1\r\nhost: shop.example\r\nchicoryrail-request-id: {id}\r\n\
         chicoryrail-deadline-ms: 10000\r\ncontent-length: {length}\r\n\r\n"
    )
    .into_bytes()
}

/// Guards against a stop that ends an upload whose server is at work, or whose caller is still sending.
#[rstest]
#[case::at_work(0, None)]
#[case::being_sent(10, None)]
#[case::being_sent_for_long(32, None)]
#[case::being_sent_receiving(10, Some(Host::Receiving))]
#[case::being_sent_passing(10, Some(Host::Passing))]
fn a_stop_interrupts_no_upload(#[case] late_pieces: usize, #[case] at: Option<Host>) {
    const STREAMED: &[&str] = &["--upload-reading", "start"];
    const LINE: &str = "POST /upload/x?work_us=900000";
    const PIECE_BYTES: usize = 4 << 10;
    const PIECE_INTERVAL: Duration = Duration::from_millis(100);
    const START_BYTES: usize = 200 << 10;
    block_on(async {
        let world = World::start("upload").await;
        world.configure_uploads(Millis(600), 1 << 20).await;
        let server = world.server("d-1", "desk").await;
        let hosts = match at {
            None => vec![world.router_with_memory("a", MEMORY_MB, STREAMED).await],
            Some(_) => start_forwarding(&world, server.addr, STREAMED).await,
        };
        let mut stream = TcpStream::connect(hosts[0].callers).await.unwrap();
        let length = START_BYTES + late_pieces * PIECE_BYTES;
        let start = [head(LINE, "u-1", length), vec![b'a'; START_BYTES]].concat();
        stream.write_all(start).await.0.unwrap();
        sleep(AT_WORK.to_duration()).await;
        hosts[at.map_or(0, |at| at as usize)].signal(Signal::SIGTERM);
        for _ in 0..late_pieces {
            sleep(PIECE_INTERVAL).await;
            stream.write_all(vec![b'a'; PIECE_BYTES]).await.0.unwrap();
        }
        let statuses = read_statuses(&mut stream, 1).await;
        assert_eq!(statuses, [200], "{}", hosts[0].log());
        assert!(server.executed_ids().ends_with(&["u-1".to_owned()]));
    });
}

/// Guards against a request behind one at work on a connection of a stopping host that is lost, or that runs without a
/// response.
#[rstest]
#[case::read("GET /read/x?work_us=400000", "GET /read/x")]
#[case::order("POST /order/x?work_us=400000", "POST /order/x")]
#[case::order_behind_read("GET /read/x?work_us=400000", "POST /order/x")]
fn a_request_behind_one_at_work_is_served_or_not_run(#[case] first: &str, #[case] second: &str) {
    block_on(async {
        let world = World::start("behind").await;
        world.configure().await;
        let server = world.server("d-1", "desk").await;
        let router = world.router("a").await;
        let mut stream = TcpStream::connect(router.callers).await.unwrap();
        stream.write_all(head(first, "p-1", 0)).await.0.unwrap();
        sleep(AT_WORK.to_duration()).await;
        router.signal(Signal::SIGTERM);
        sleep(Duration::from_millis(50)).await;
        stream.write_all(head(second, "p-2", 0)).await.0.unwrap();
        let statuses = read_statuses(&mut stream, 2).await;
        let expected = vec![200; server.executed().max(1)];
        assert_eq!(statuses, expected, "{:?}", server.executed_ids());
    });
}

/// The host that ends, and how.
#[derive(Clone, Copy, Debug)]
enum End {
    SchedulerStops,
    SchedulerDies,
    ReceivingStops,
}

/// Sends a request with a new caller.
fn send(host: &RouterProcess, method: &'static str, path: &'static str) -> JoinHandle<u16> {
    let caller = host.caller();
    monoio::spawn(async move {
        let response = caller.call(method, path, None, 1_500).await;
        response.unwrap().status().into()
    })
}

/// Guards against a host's end that loses the request at work, or one that waits for its slot. Load: a server with one
/// slot runs an order of 900 ms, and an order and a read wait.
#[rstest]
#[case::only_host_stops(1, End::SchedulerStops)]
#[case::scheduler_of_two_stops(2, End::SchedulerStops)]
#[case::scheduler_of_two_dies(2, End::SchedulerDies)]
#[case::scheduler_of_three_dies(3, End::SchedulerDies)]
#[case::receiving_host_stops(2, End::ReceivingStops)]
fn a_waiting_request_is_served_or_refused(#[case] host_count: usize, #[case] end: End) {
    block_on(async {
        let world = World::start("waiting").await;
        world.configure().await;
        let options = TargetOptions {
            service: "desk".into(),
            slots: 1,
            queue: 0,
            ..TargetOptions::new("d-1")
        };
        let server = world.server_with(options).await;
        let mut hosts = Vec::new();
        for name in &["a", "b", "c"][..host_count] {
            hosts.push(world.router(name).await);
        }
        wait_until("one host schedules", async || {
            let _ = hosts[0].caller().get("/read/x").await;
            hosts.iter().filter(|h| h.schedules("desk", 1)).count() == 1
        })
        .await;
        let scheduler = hosts.iter().find(|h| h.schedules("desk", 1)).unwrap();
        let other = hosts.iter().find(|h| !h.schedules("desk", 1));
        let receiving = other.unwrap_or(scheduler);
        let running = send(receiving, "POST", LONG_ORDER);
        sleep(AT_WORK.to_duration()).await;
        let runs = server.executed();
        let waiting = [
            send(receiving, "POST", "/order/x"),
            send(receiving, "GET", "/read/x"),
        ];
        sleep(AT_WORK.to_duration()).await;
        match end {
            End::SchedulerStops => scheduler.signal(Signal::SIGTERM),
            End::SchedulerDies => scheduler.signal(Signal::SIGKILL),
            End::ReceivingStops => receiving.signal(Signal::SIGTERM),
        }
        assert_eq!(running.await, 200, "{}", receiving.log());
        let statuses = join_all(waiting).await;
        let served = statuses.iter().filter(|s| **s == 200).count();
        let refused = statuses.iter().filter(|s| **s == 503).count();
        assert_eq!(served + refused, statuses.len(), "{statuses:?}");
        assert_eq!(server.executed(), runs + 1 + served, "{statuses:?}");
    });
}
