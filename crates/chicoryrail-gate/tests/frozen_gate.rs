//! What callers get when another gate goes away without a word.

mod support;

use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_platform::header;
use chicoryrail_runtime::block_on;
use chicoryrail_wire::Handler;
use chicoryrail_wire::PeerLimits;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use chicoryrail_wire::serve;
use h2::RecvStream;
use h2::server::SendResponse;
use monoio::net::TcpListener;
use rstest::rstest;
use support::Target;
use support::World;
use support::call;
use support::code;
use support::get;
use support::order;
use support::route;
use support::until;

const BUNDLE: &str = r#"
team = "tanduay"
[[data_centre]]
name = "north"
[[service]]
name = "casks"
path = "/v1/casks/"
kind = "keyed"
class = "interactive"
deadline_ms = 2000
[[service.server]]
name = "s0"
data_centre = "north"
addr = "127.0.0.1:1"
"#;

/// A gate that answers each request itself.
struct Answering;

impl Handler for Answering {
    async fn call(&self, _: Request) -> Reply {
        Reply::Done
    }

    async fn forward(&self, request: http::Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let mut answer = http::Response::new(());
        let id = request.headers()[header::REQUEST_ID].clone();
        answer.headers_mut().insert(header::REQUEST_ID, id);
        let _ = respond.send_response(answer, true);
    }
}

/// Plays a gate that takes its first connection and never answers on it, as one whose machine is
/// gone; a new process at its address answers all later ones.
fn frozen_once() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    monoio::spawn(async move {
        let _frozen = listener.accept().await.unwrap();
        serve(
            listener,
            PeerLimits::default(),
            Rc::new(Answering),
            pending(),
        )
        .await;
    });
    addr
}

async fn start(target: &Target) -> World {
    let world = World::start_beside(1, &[], &[("g9", frozen_once())]);
    let through = [route(target, "g9", 2)];
    world.control.publish("casks", 1, &through, 0);
    world.control.set_bundle(1, BUNDLE);
    world.ready().await;
    world
}

/// A gate goes without a word, and no answer comes to a request sent through it before its deadline.
/// The connection still looks open: kept, it would make each later request wait for its deadline,
/// although the gate at that address answers new connections.
#[rstest]
#[case::lookup("GET")]
#[case::order("POST")]
fn a_request_after_a_late_one_has_a_new_connection(#[case] method: &str) {
    block_on(async {
        let target = Target::start("s0");
        let world = start(&target).await;
        let headers = [("deadline-ms", "200"), ("order-id", "o1")];
        let late = call(world.callers(0), method, "/v1/casks/c1", &headers, b"").await;
        assert_eq!(code(&late.unwrap()), Some(1202));
        let next = order(world.callers(0), "/v1/casks/c2", "o2").await.unwrap();
        assert_eq!(code(&next), None);
    });
}

/// A gate goes without a word, and the routes name another one while a lookup waits for it. When the
/// slots come back to it, requests must not be sent on the old connection.
#[test]
fn routes_that_leave_a_gate_give_up_its_connection() {
    block_on(async {
        let target = Target::start("s0");
        let world = start(&target).await;
        let lookup = get(world.callers(0), "/v1/casks/c1");
        let moved = async {
            monoio::time::sleep(std::time::Duration::from_millis(100)).await;
            let own = [route(&target, "g0", 2)];
            world.control.publish("casks", 2, &own, 0);
        };
        let (answer, ()) = futures_util::join!(lookup, moved);
        assert_eq!(code(&answer.unwrap()), None);
        let through = [route(&target, "g9", 2)];
        world.control.publish("casks", 3, &through, 0);
        until("the route is in force", || {
            world.control.knows("g0", "casks", 3)
        })
        .await;
        let next = order(world.callers(0), "/v1/casks/c2", "o2").await.unwrap();
        assert_eq!(code(&next), None);
    });
}
