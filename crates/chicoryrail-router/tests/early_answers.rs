//! Servers that answer before they have read the body of a request: no server may take a part of a body for the whole.

mod support;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_runtime::block_on;
use futures_util::future::join_all;
use monoio::net::TcpStream;
use monoio::time::sleep;
use rstest::rstest;
use support::Cut;
use support::Early;
use support::RawServer;
use support::Reader;
use support::Received;
use support::RouterProcess;
use support::World;
use support::numbered_body as body;
use support::send_slowly;
use support::wait_until;

/// Bytes of a body: the start that a host buffers, and some more.
const BODY_BYTES: usize = 24_000;

/// Bytes of a piece of a body, and the pause of the caller behind it.
const PIECES: (usize, Duration) = (2_000, Duration::from_millis(4));

/// Requests of a test, one after the other.
const ROUNDS: usize = 12;

/// Longest silence of the caller of an upload.
const SILENCE_MAX: Millis = Millis(600);

/// Largest accepted body in bytes.
const MAX_BYTES: usize = 2_000_000;

struct Fixture {
    _world: World,
    servers: [Rc<RawServer>; 2],
    router: RouterProcess,
}

impl Fixture {
    async fn start(test: &str) -> Self {
        let world = World::start(&format!("early-{test}")).await;
        world.configure_uploads(SILENCE_MAX, MAX_BYTES).await;
        let servers = ["i-1", "i-2"].map(RawServer::start);
        let members = servers.each_ref().map(|server| server.member.clone());
        world.put_members(&members).await;
        let router = world.router("a").await;
        Self {
            _world: world,
            servers,
            router,
        }
    }

    /// Sends a request of which each server answers the first one early, and returns the status.
    async fn send(&self, path: &str, id: &str, body: &[u8], is_chunked: bool) -> Option<u16> {
        let reader = Reader::new(TcpStream::connect(self.router.callers).await.unwrap());
        let line = format!("POST {path}{id}");
        let sent = send_slowly(reader, &line, id, body, PIECES, is_chunked).await;
        sent.map(|(status, _)| status)
    }

    fn received(&self) -> Vec<Received> {
        self.servers.iter().flat_map(|s| s.received()).collect()
    }
}

/// Asserts that each body that came to its end is the one that the caller sent.
fn assert_whole(received: &[Received], id: &str, body: &[u8]) {
    for request in received.iter().filter(|r| r.id == id) {
        if let Some(seen) = &request.body {
            assert!(
                seen == body,
                "{id} {:?}: {} of {}",
                request.early,
                seen.len(),
                body.len()
            );
        }
    }
}

/// Guards against a second send that takes what the first one left of a body, and against a first send that goes on with a
/// body whose rest the second one takes.
#[rstest]
#[case::refused_order("/order/", Early::Refusal, BODY_BYTES, true)]
#[case::refused_order_by_length("/order/", Early::Refusal, BODY_BYTES, false)]
#[case::misdirected_order("/order/", Early::Misdirected, BODY_BYTES, true)]
#[case::failed_read("/read/", Early::Failure, BODY_BYTES, true)]
#[case::refused_upload("/upload/", Early::Refusal, 200_000, true)]
#[case::misdirected_upload("/upload/", Early::Misdirected, 200_000, true)]
fn a_body_is_whole_at_the_next_server(
    #[case] path: &str,
    #[case] early: Early,
    #[case] bytes: usize,
    #[case] is_chunked: bool,
) {
    block_on(async {
        let fixture = Fixture::start("refused").await;
        let mut served = 0;
        for round in 0..ROUNDS {
            let (id, body) = (format!("r-{round}"), body(round, bytes));
            fixture.servers[round % 2].answer_early(early, 1);
            fixture.servers[(round + 1) % 2].answer_early(early, 0);
            let status = fixture.send(path, &id, &body, is_chunked).await;
            sleep(Duration::from_millis(50)).await;
            let received = fixture.received();
            assert_whole(&received, &id, &body);
            if status == Some(200) {
                served += 1;
                let ran = |r: &Received| r.id == id && r.early.is_none() && r.body.is_some();
                assert_eq!(received.iter().filter(|r| ran(r)).count(), 1, "{id}");
            }
        }
        assert!(served >= ROUNDS / 2, "{served}\n{}", fixture.router.log());
    });
}

/// Guards against a body that is cut off since the server accepted the request before it had read it, and against another
/// request on the connection that still takes the body.
#[rstest]
#[case::order("/order/", BODY_BYTES, true)]
#[case::order_by_length("/order/", BODY_BYTES, false)]
#[case::read("/read/", BODY_BYTES, true)]
#[case::upload("/upload/", 200_000, true)]
#[case::upload_by_length("/upload/", 200_000, false)]
fn a_body_that_is_accepted_early_is_sent_to_its_end(
    #[case] path: &str,
    #[case] bytes: usize,
    #[case] is_chunked: bool,
) {
    block_on(async {
        let fixture = Fixture::start("accepted").await;
        for round in 0..ROUNDS {
            let (id, body) = (format!("r-{round}"), body(round, bytes));
            for server in &fixture.servers {
                server.answer_early(Early::Success, 1);
            }
            assert_eq!(fixture.send(path, &id, &body, is_chunked).await, Some(200));
            wait_until("the body has ended", async || {
                fixture.received().iter().any(|r| r.id == id)
            })
            .await;
            let received = fixture.received();
            assert_whole(&received, &id, &body);
            let whole = received.iter().filter(|r| r.id == id && r.body.is_some());
            assert_eq!(whole.count(), 1, "{id}");
        }
    });
}

/// Guards against requests that wait behind the unread body of one that was accepted early.
#[test]
fn other_requests_do_not_wait_for_a_body_that_is_accepted_early() {
    block_on(async {
        let fixture = Fixture::start("beside").await;
        for server in &fixture.servers {
            server.answer_early(Early::Success, 1);
        }
        let slow = async {
            let stream = TcpStream::connect(fixture.router.callers).await.unwrap();
            let pieces = (1_000, Duration::from_millis(30));
            let body = body(99, BODY_BYTES);
            let sent = send_slowly(
                Reader::new(stream),
                "POST /order/s",
                "s",
                &body,
                pieces,
                true,
            );
            (sent.await, body)
        };
        let others = async {
            sleep(Duration::from_millis(600)).await;
            for round in 0..ROUNDS {
                let (id, body) = (format!("r-{round}"), body(round, 100));
                let begun = Instant::now();
                assert_eq!(fixture.send("/order/", &id, &body, true).await, Some(200));
                assert!(
                    begun.elapsed() < Duration::from_millis(100),
                    "{:?}",
                    begun.elapsed()
                );
                assert_whole(&fixture.received(), &id, &body);
            }
        };
        let ((sent, body), ()) = futures_util::join!(slow, others);
        assert_eq!(sent.map(|(status, _)| status), Some(200));
        assert_whole(&fixture.received(), "s", &body);
    });
}

/// Guards against a host that passes a request on with what another host, which could not, has left of its body.
#[test]
fn the_next_host_that_passes_a_request_on_gets_the_whole_body() {
    block_on(async {
        let world = World::start("early-forward").await;
        world.configure_uploads(SILENCE_MAX, MAX_BYTES).await;
        let servers = ["i-1", "i-2"].map(RawServer::start);
        let members = servers.each_ref().map(|server| server.member.clone());
        world.put_members(&members).await;
        let mut hosts = Vec::new();
        for name in ["a", "b", "c"] {
            hosts.push(world.router(name).await);
        }
        wait_until("the hosts know each other", async || {
            let served = hosts
                .iter()
                .map(async |host| host.caller().post("/order/x").await);
            let served = join_all(served).await.into_iter();
            served.flatten().all(|r| r.status() == 200)
        })
        .await;
        for host in &hosts[..2] {
            host.cut_addrs(members.iter().map(|m| m.addr), Cut::Silent);
        }
        sleep(Duration::from_millis(100)).await;
        let orders = (0..ROUNDS).map(async |round| {
            let (id, body) = (format!("f-{round}"), body(round, BODY_BYTES));
            let stream = TcpStream::connect(hosts[0].callers).await.unwrap();
            let pieces = (2_000, Duration::from_millis(40));
            let line = format!("POST /order/{id}");
            let sent = send_slowly(Reader::new(stream), &line, &id, &body, pieces, true).await;
            (id, body, sent.map(|(status, _)| status))
        });
        let orders = join_all(orders).await;
        sleep(Duration::from_millis(300)).await;
        let received: Vec<_> = servers.iter().flat_map(|s| s.received()).collect();
        for (id, body, status) in &orders {
            assert_whole(&received, id, body);
            let whole = received.iter().filter(|r| r.id == *id && r.body.is_some());
            assert_eq!(
                whole.count(),
                usize::from(*status == Some(200)),
                "{id} {status:?}"
            );
        }
        let asked = hosts[0].log().matches("forward_failed").count();
        assert!(asked > 0, "{:?}", hosts[0].log());
    });
}
