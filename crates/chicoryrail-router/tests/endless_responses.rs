//! Servers that send bytes without end in place of a response, until their caller closes the connection.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::block_on;
use chicoryrail_testkit::ResponseHead;
use futures_util::future::join_all;
use rstest::rstest;
use support::RouterProcess;
use support::Server;
use support::World;
use support::ready_member;
use support::wait_until;

/// Number of requests while one of four servers sends without end, and the time between two.
const REQUESTS: usize = 200;
const REQUEST_INTERVAL: Millis = Millis(10);

/// Number of responses from which a host knows the usual sizes, with a margin.
const OBSERVED: usize = 50;

/// Requests that reach the endless server at most; an even share would be 50.
const ENDLESS_REQUESTS_MAX: usize = 20;

/// Requests that may fail: one in a hundred.
const FAILED_MAX: usize = REQUESTS / 100;

/// Growth of the process's memory that is allowed, in KiB.
const GROWTH_MAX_KIB: u64 = 16 << 10;

/// Time after which a line is in the log.
const LOG_DELAY_MAX: Millis = Millis(500);

/// Pause between two pieces of a response that trickles.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(10);

/// What a server sends without end.
#[derive(Clone, Copy, Debug)]
struct Endless {
    /// First part of the response. `ID` stands for the id of the request.
    head: &'static str,
    /// What follows again and again.
    rest: &'static str,
    trickles: bool,
}

/// A server that responds to each request without end.
struct EndlessServer {
    addr: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl EndlessServer {
    fn start(response: Endless) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&requests);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let count = Arc::clone(&count);
                thread::spawn(move || respond(stream.unwrap(), response, &count));
            }
        });
        Self { addr, requests }
    }

    async fn register(&self, world: &World, service: &str) {
        let member = ready_member("endless", service, self.addr);
        world.put_members(&[member]).await;
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

/// Reads the head of a request, and sends the response until the connection is closed.
fn respond(mut stream: TcpStream, response: Endless, requests: &AtomicUsize) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read_exact(&mut byte).is_err() {
            return;
        }
        head.extend_from_slice(&byte);
    }
    requests.fetch_add(1, Ordering::Relaxed);
    let head = String::from_utf8(head).unwrap();
    let id = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_id = name.eq_ignore_ascii_case(call_header::REQUEST_ID.as_str());
        is_id.then(|| value.trim().to_owned())
    });
    let id = id.unwrap_or_default();
    let rest = if response.trickles {
        response.rest.to_owned()
    } else {
        response.rest.repeat(1_000)
    };
    let mut sent = stream.write_all(response.head.replace("ID", &id).as_bytes());
    while sent.is_ok() {
        sent = stream.write_all(rest.as_bytes());
        if response.trickles {
            thread::sleep(TRICKLE_INTERVAL);
        }
    }
}

/// Head of a response that looks sound.
macro_rules! sound_head {
    ($status:literal, $more:literal) => {
        concat!(
            "HTTP/1.1 ",
            $status,
            "\r\nchicoryrail-request-id: ID\r\nchicoryrail-upstream-stamp: endless\r\n",
            $more,
            "\r\n"
        )
    };
}

const INTERIM_HEADS: Endless = Endless {
    head: "",
    rest: "HTTP/1.1 100 Continue\r\n\r\n",
    trickles: false,
};
const NO_STATUS_LINE: Endless = Endless {
    head: "",
    rest: "abcdefgh",
    trickles: false,
};
const HEADERS: Endless = Endless {
    head: "HTTP/1.1 200 OK\r\n",
    rest: "a: b\r\n",
    trickles: false,
};
const CHUNKS: Endless = Endless {
    head: sound_head!("200 OK", "transfer-encoding: chunked\r\n"),
    rest: "4\r\nabcd\r\n",
    trickles: false,
};
const CHUNK_EXTENSION: Endless = Endless {
    head: concat!(
        sound_head!("200 OK", "transfer-encoding: chunked\r\n"),
        "4;"
    ),
    rest: "aaaaaaaa",
    trickles: false,
};
const TRAILERS: Endless = Endless {
    head: concat!(
        sound_head!("200 OK", "transfer-encoding: chunked\r\n"),
        "0\r\n"
    ),
    rest: "a: b\r\n",
    trickles: false,
};
const UNTIL_CLOSE: Endless = Endless {
    head: sound_head!("200 OK", ""),
    rest: "abcdefgh",
    trickles: false,
};
const TRICKLING_REFUSAL: Endless = Endless {
    head: sound_head!(
        "503 Service Unavailable",
        "chicoryrail-not-executed: 1\r\ntransfer-encoding: chunked\r\n"
    ),
    rest: "4\r\nabcd\r\n",
    trickles: true,
};

/// Starts three sound servers and a router that knows the usual size of their responses.
async fn start(test: &str) -> (World, Vec<Rc<Server>>, RouterProcess) {
    let world = World::start(test).await;
    world.configure().await;
    let mut servers = Vec::new();
    for name in ["i-1", "i-2", "i-3"] {
        servers.push(world.server(name, "desk").await);
    }
    let router = world.router("a").await;
    let caller = router.caller();
    for _ in 0..OBSERVED {
        assert_eq!(caller.get("/read/1").await.unwrap().status(), 200);
    }
    (world, servers, router)
}

/// Registers an endless server beside the sound ones, and waits until the router knows it.
async fn add_endless(world: &World, router: &RouterProcess, response: Endless) -> EndlessServer {
    let endless = EndlessServer::start(response);
    endless.register(world, "desk").await;
    wait_until("the server is known", async || {
        router.log().contains("server=endless")
    })
    .await;
    endless
}

/// Guards against callers that get bytes without end or wait for them while sound servers are idle, against a server that
/// keeps its share of the requests that way, and against memory that fills with what it sends.
#[rstest]
#[case::interim_heads("heads", INTERIM_HEADS)]
#[case::no_status_line("no-status", NO_STATUS_LINE)]
#[case::headers("headers", HEADERS)]
#[case::chunks("chunks", CHUNKS)]
#[case::chunk_extension("extension", CHUNK_EXTENSION)]
#[case::trailers("trailers", TRAILERS)]
#[case::until_close("until-close", UNTIL_CLOSE)]
fn safe_requests_are_served_beside_a_server_that_sends_without_end(
    #[case] test: &str,
    #[case] response: Endless,
) {
    block_on(async {
        let (world, _servers, router) = start(&format!("endless-{test}")).await;
        let endless = add_endless(&world, &router, response).await;
        let before = router.memory();
        let caller = router.caller();
        let mut failed = 0;
        for i in 0..REQUESTS {
            let path = format!("/read/{i}");
            let response = caller.get(&path).await;
            let is_served = response.is_ok_and(|r| {
                let head = ResponseHead::check(r.body());
                r.status() == 200 && head.is_some_and(|head| head.path == path)
            });
            failed += usize::from(!is_served);
            monoio::time::sleep(REQUEST_INTERVAL.to_duration()).await;
        }
        let grown = router.memory().saturating_sub(before);
        println!(
            "{failed} failed, {} sent there, {grown} KiB",
            endless.requests()
        );
        assert!(failed <= FAILED_MAX, "{failed} failed");
        let sent = endless.requests();
        assert!(sent <= ENDLESS_REQUESTS_MAX, "{sent} sent there");
        assert!(grown < GROWTH_MAX_KIB, "{grown} KiB");
    });
}

/// Guards against a caller that waits for the body of a refusal whose head says that the request did not run.
#[test]
fn a_refusal_without_an_end_does_not_delay_its_caller() {
    const TOOK_MAX: Millis = Millis(250);
    block_on(async {
        let (world, _servers, router) = start("endless-refusal").await;
        let endless = add_endless(&world, &router, TRICKLING_REFUSAL).await;
        let caller = router.caller();
        let mut slowest = Millis::ZERO;
        for i in 0..REQUESTS {
            let clock = Clock::start();
            let _ = caller.get(&format!("/read/{i}")).await.unwrap();
            slowest = slowest.max(clock.now());
            monoio::time::sleep(REQUEST_INTERVAL.to_duration()).await;
        }
        println!(
            "slowest {} ms, {} sent there",
            slowest.0,
            endless.requests()
        );
        assert!(endless.requests() > 0);
        assert!(slowest < TOOK_MAX, "{} ms", slowest.0);
    });
}

/// Guards against a long response that is given up as one without an end: it is the right one, and no other server has a
/// shorter one.
#[rstest]
#[case::fixed_length("body=300000")]
#[case::chunked("body=300000&chunked=1")]
fn a_response_longer_than_all_others_arrives_complete(#[case] query: &str) {
    block_on(async {
        let (_world, _servers, router) = start(&format!("endless-long-{}", query.len())).await;
        let caller = router.caller();
        for _ in 0..2 {
            let response = caller.get(&format!("/read/1?{query}")).await.unwrap();
            assert_eq!(response.status(), 200);
            assert!(ResponseHead::check(response.body()).is_some());
        }
        monoio::time::sleep(LOG_DELAY_MAX.to_duration()).await;
        let unusual = router.log().matches("log=send_unusual").count();
        assert_eq!(unusual, 1, "{}", router.log());
    });
}

/// Guards against a leader that waits for, or stores, the response to a grant that has no end: the keys of the other
/// servers must be granted and renewed meanwhile.
#[test]
fn keys_of_others_are_served_beside_a_server_that_answers_grants_without_end() {
    block_on(async {
        let world = World::start("endless-grants").await;
        world.configure().await;
        let mut servers = Vec::new();
        for name in ["k-1", "k-2"] {
            servers.push(world.server(name, "kits").await);
        }
        let router = world.router("a").await;
        wait_until("all keys are served", async || {
            router.serves_all_keys().await
        })
        .await;
        let before = router.memory();
        let endless = EndlessServer::start(CHUNKS);
        endless.register(&world, "kits").await;
        wait_until("it gets a grant", async || endless.requests() > 0).await;
        let key = (0..=u16::MAX).step_by(4_096).find(|k| {
            let owners = servers.iter().filter(|s| s.owns(*k));
            owners.count() == 1
        });
        let key = key.expect("a server still holds some key");
        for _ in 0..REQUESTS {
            let owner_holds = servers.iter().any(|s| s.owns(key));
            let response = router.caller().key(key).await.unwrap();
            assert!(!owner_holds || response.status() == 200, "{response:?}");
            monoio::time::sleep(REQUEST_INTERVAL.to_duration()).await;
        }
        let grown = router.memory().saturating_sub(before);
        println!("{} calls, {grown} KiB", endless.requests());
        assert!(grown < GROWTH_MAX_KIB, "{grown} KiB");
    });
}

/// Endless servers of each form, and callers, where most servers send without end.
const ENDLESS_EACH: usize = 3;
const CALLERS: usize = 24;

/// Requests of each of these callers.
const REQUESTS_EACH: usize = 12;

/// Guards against memory that fills where many servers send without end at once, also to orders and downloads, and against a
/// process that ends with it.
#[test]
fn many_servers_that_send_without_end_fill_no_memory() {
    block_on(async {
        let (world, _servers, mut router) = start("endless-many").await;
        let forms = [
            INTERIM_HEADS,
            NO_STATUS_LINE,
            HEADERS,
            CHUNKS,
            CHUNK_EXTENSION,
            TRAILERS,
            UNTIL_CLOSE,
        ];
        let forms = forms.iter().cycle().take(forms.len() * ENDLESS_EACH);
        let endless: Vec<_> = forms.map(|form| EndlessServer::start(*form)).collect();
        let members = endless.iter().enumerate();
        let members: Vec<_> = members
            .map(|(i, server)| ready_member(&format!("endless-{i}"), "desk", server.addr))
            .collect();
        world.put_members(&members).await;
        wait_until("the servers are known", async || {
            router.log().contains("server=endless-20")
        })
        .await;
        let before = router.memory();
        let callers = (0..CALLERS).map(|i| {
            let caller = router.caller();
            async move {
                for j in 0..REQUESTS_EACH {
                    let _ = match (i + j) % 3 {
                        0 => caller.get("/read/x").await,
                        1 => caller.post("/order/x").await,
                        _ => caller.get("/manual/x").await,
                    };
                }
            }
        });
        join_all(callers).await;
        let grown = router.peak_memory().saturating_sub(before);
        let sent: usize = endless.iter().map(EndlessServer::requests).sum();
        println!("{sent} sent there, {grown} KiB");
        assert!(sent >= endless.len(), "{sent} sent there");
        assert!(grown < GROWTH_MAX_KIB, "{grown} KiB");
        assert_eq!(router.exit_code(), None);
        assert!(router.is_ready().await);
    });
}
