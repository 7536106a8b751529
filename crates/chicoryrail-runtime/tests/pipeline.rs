//! Tests of pipelined requests: those sent before the responses to earlier ones.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::Clock;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::OpenConnections;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::full_body;
use chicoryrail_runtime::serve_http_shared;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use monoio::time::sleep;
use monoio::time::timeout;

/// Duration of a slow request.
const SLOW: Millis = Millis(100);

/// Far shorter than a slow request.
const QUICK: Millis = Millis(30);

/// Starts (`begin`) and ends (`end`) of requests, in order. A request that is dropped has no end.
type Events = Rc<RefCell<Vec<String>>>;

/// A listener whose responses contain the path of the request. The prefix of the path selects the behaviour: `/slow`
/// takes [`SLOW`], `/order` must not start early, `/close` closes the connection, `/cut` ends the body early.
struct Service {
    addr: SocketAddr,
    events: Events,
    stop: CancellationToken,
}

impl Service {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let events = Events::default();
        let stop = CancellationToken::new();
        let recorded = Rc::clone(&events);
        monoio::spawn(serve_http_shared(
            listener,
            (
                Rc::new(std::cell::Cell::new(HttpLimits::default())),
                OpenConnections::default(),
            ),
            stop.clone(),
            move |request, _| respond(Rc::clone(&recorded), request),
            |head| !head.uri.path().starts_with("/order"),
        ));
        Self { addr, events, stop }
    }

    async fn caller(&self) -> Caller {
        let stream = TcpStream::connect(self.addr).await.unwrap();
        Caller { stream }
    }

    fn events(&self) -> Vec<String> {
        self.events.borrow().clone()
    }
}

async fn respond(events: Events, request: Request<Body>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    events.borrow_mut().push(format!("begin {path}"));
    let _ = request.into_body().collect().await;
    if path.starts_with("/slow") {
        sleep(SLOW.to_duration()).await;
    }
    events.borrow_mut().push(format!("end {path}"));
    if path.starts_with("/cut") {
        let parts = [
            Ok(Frame::data(Bytes::from(path))),
            Err(std::io::Error::other("cut")),
        ];
        // Delays the second part so that the first one is sent before.
        let parts = stream::iter(parts).then(|part| async move {
            sleep(Duration::from_millis(5)).await;
            part
        });
        return Response::new(Box::pin(StreamBody::new(Box::pin(parts))));
    }
    let mut response = Response::new(full_body(format!("<{path}>")));
    if path.starts_with("/close") {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

struct Caller {
    stream: TcpStream,
}

impl Caller {
    async fn send(&mut self, text: &str) {
        let (sent, _) = self.stream.write_all(text.as_bytes().to_vec()).await;
        sent.unwrap();
    }

    /// Reads until `count` responses are received or the connection has ended, and returns their paths.
    async fn read_responses(&mut self, count: usize) -> Vec<String> {
        let mut text = String::new();
        while text.matches('>').count() < count {
            let read = self.stream.read(vec![0; 4_096]);
            let (read, buf) = timeout(Duration::from_secs(5), read).await.unwrap();
            match read {
                Ok(length) if length > 0 => text += std::str::from_utf8(&buf[..length]).unwrap(),
                _ => break,
            }
        }
        let paths = text.split('<').skip(1);
        let paths = paths.filter_map(|part| Some(part.split_once('>')?.0.to_owned()));
        paths.collect()
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

fn gets(paths: &[&str]) -> String {
    paths.iter().map(|p| get(p)).collect()
}

/// Guards against head-of-line blocking: of three pipelined lookups the first is slow. The others run concurrently, and
/// the responses keep the order of the requests.
#[test]
fn quick_requests_do_not_wait_for_a_slow_one_in_front() {
    block_on(async {
        let service = Service::start();
        let mut caller = service.caller().await;
        let clock = Clock::start();
        let paths = ["/slow/1", "/quick/2", "/slow/3"];
        caller.send(&gets(&paths)).await;
        assert_eq!(caller.read_responses(3).await, paths);
        let took = clock.now();
        assert!(took < SLOW + QUICK, "{took:?}");
        assert_eq!(service.events()[2], "end /quick/2");
    });
}

/// Guards against unbounded concurrency of one connection: at most nine requests (the current one and eight early ones)
/// are served at a time, so eighteen slow ones take two rounds.
#[test]
fn concurrency_of_a_connection_is_bounded() {
    block_on(async {
        let service = Service::start();
        let mut caller = service.caller().await;
        let paths: Vec<String> = (0..18).map(|i| format!("/slow/{i}")).collect();
        let clock = Clock::start();
        caller
            .send(&paths.iter().map(|p| get(p)).collect::<String>())
            .await;
        sleep(QUICK.to_duration()).await;
        assert_eq!(service.events().len(), 9);
        assert_eq!(caller.read_responses(18).await, paths);
        let took = clock.now();
        assert!(took < SLOW + SLOW + QUICK + QUICK, "{took:?}");
    });
}

/// An order among lookups starts only when the earlier requests are answered, and later ones start only after it.
/// Otherwise, if the connection ended early, an order could have run that the caller sends again.
#[test]
fn an_order_waits_for_earlier_requests_and_delays_later_ones() {
    block_on(async {
        let service = Service::start();
        let mut caller = service.caller().await;
        let order = "POST /order/2 HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nabcde";
        let text = get("/slow/1") + order + &gets(&["/quick/3", "/quick/4"]);
        caller.send(&text).await;
        let paths = ["/slow/1", "/order/2", "/quick/3", "/quick/4"];
        assert_eq!(caller.read_responses(4).await, paths);
        let order: Vec<String> = paths
            .iter()
            .flat_map(|p| [format!("begin {p}"), format!("end {p}")])
            .collect();
        let events = service.events();
        assert_eq!(events[..5], order[..5]);
    });
}

/// An order without a body must not start early. Neither must a lookup with a body, whose end is known only when
/// the body is read.
#[test]
fn neither_an_order_without_a_body_nor_a_lookup_with_one_starts_early() {
    block_on(async {
        for (head, path) in [
            ("POST /order/2 HTTP/1.1\r\nhost: a", "/order/2"),
            (
                "GET /quick/2 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked",
                "/quick/2",
            ),
        ] {
            let service = Service::start();
            let mut caller = service.caller().await;
            caller
                .send(&format!("{}{head}\r\n\r\n", get("/slow/1")))
                .await;
            sleep(QUICK.to_duration()).await;
            assert_eq!(service.events(), ["begin /slow/1"]);
            caller.send("0\r\n\r\n").await;
            let responses = caller.read_responses(2).await;
            assert_eq!(responses[..2], ["/slow/1", path]);
        }
    });
}

/// The head of the second lookup arrives byte by byte while the first lookup is in flight. The second one starts when
/// the last byte of its head arrives.
#[test]
fn a_head_sent_byte_by_byte_starts_with_its_last_byte() {
    block_on(async {
        let service = Service::start();
        let mut caller = service.caller().await;
        caller.send(&get("/slow/1")).await;
        let head = get("/quick/2");
        let (start, last) = head.split_at(head.len() - 1);
        for byte in start.chars() {
            caller.send(&byte.to_string()).await;
        }
        sleep(Millis(10).to_duration()).await;
        assert_eq!(service.events(), ["begin /slow/1"]);
        caller.send(last).await;
        sleep(Millis(10).to_duration()).await;
        assert_eq!(service.events()[1..], ["begin /quick/2", "end /quick/2"]);
        assert_eq!(caller.read_responses(2).await, ["/slow/1", "/quick/2"]);
    });
}

/// Guards against wasted work: the caller of two slow lookups disconnects, and both are cancelled at once.
#[test]
fn requests_of_a_disconnected_caller_are_cancelled() {
    block_on(async {
        let service = Service::start();
        let mut caller = service.caller().await;
        caller.send(&gets(&["/slow/1", "/slow/2"])).await;
        sleep(QUICK.to_duration()).await;
        drop(caller);
        sleep((SLOW + QUICK).to_duration()).await;
        assert_eq!(service.events(), ["begin /slow/1", "begin /slow/2"]);
    });
}

/// The process stops while lookups of one connection are in flight. Those already started are answered, the last one
/// with `connection: close`, so the caller knows that no later request was read.
#[test]
fn a_stop_answers_started_requests() {
    block_on(async {
        let service = Service::start();
        let mut caller = service.caller().await;
        let paths = ["/slow/1", "/slow/2", "/quick/3"];
        caller.send(&gets(&paths)).await;
        sleep(QUICK.to_duration()).await;
        service.stop.cancel();
        sleep(QUICK.to_duration()).await;
        caller.send(&get("/quick/4")).await;
        assert_eq!(caller.read_responses(4).await, paths);
        assert!(!service.events().contains(&"begin /quick/4".to_owned()));
    });
}

/// A response has `connection: close` while later lookups are in flight. Servers are processing those, so the
/// connection ends after their responses. A later order does not start.
#[test]
fn a_closing_response_lets_started_requests_finish_and_starts_no_others() {
    block_on(async {
        let service = Service::start();
        let mut caller = service.caller().await;
        let paths = ["/slow/1", "/close/2", "/slow/3", "/close/4", "/order/5"];
        caller.send(&gets(&paths)).await;
        assert_eq!(caller.read_responses(5).await, paths[..4]);
        assert!(!service.events().contains(&"begin /order/5".to_owned()));
    });
}

/// Guards against a mixed-up response: the first response body ends early. The connection must end within it, since the
/// response to the next lookup could pass for the missing rest.
#[test]
fn nothing_follows_a_truncated_response() {
    block_on(async {
        let service = Service::start();
        let mut caller = service.caller().await;
        caller.send(&gets(&["/cut/1", "/quick/2"])).await;
        assert_eq!(caller.read_responses(2).await, Vec::<String>::new());
    });
}

/// Guards against the loss of body bytes: while the first request is in flight, the second part of its body is read
/// ahead before hyper requests it.
#[test]
fn a_body_in_parts_is_read_completely() {
    block_on(async {
        let service = Service::start();
        let mut caller = service.caller().await;
        let head = "POST /order/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\nabc";
        caller.send(head).await;
        sleep(QUICK.to_duration()).await;
        assert_eq!(service.events(), ["begin /order/1"]);
        caller.send(&format!("def{}", get("/quick/2"))).await;
        assert_eq!(caller.read_responses(2).await, ["/order/1", "/quick/2"]);
    });
}
