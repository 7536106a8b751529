//! Servers that close idle connections, as the `Keep-Alive` header of their responses states.

mod support;

use std::time::Duration;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::block_on;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use support::World;
use support::ready_member;

/// Time for which the server keeps an idle connection open, as its responses state.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Time that a request takes on its way to the server.
const TRANSIT: Duration = Duration::from_millis(100);

/// Time between two requests: the second one is sent before the server closes the connection, and arrives after it.
const PAUSE: Millis = Millis(940);

/// Number of orders on the same connection of the caller.
const ORDERS: usize = 3;

/// Responds to requests on one connection, and closes it when a request crosses its close.
async fn serve(mut stream: TcpStream) {
    let mut answered_at: Option<Instant> = None;
    loop {
        let (read, bytes) = stream.read(vec![0; 16 << 10]).await;
        let Ok(read @ 1..) = read else {
            return;
        };
        if answered_at.is_some_and(|at| at.elapsed() + TRANSIT >= KEEP_ALIVE) {
            return;
        }
        let request = String::from_utf8_lossy(&bytes[..read]).to_lowercase();
        let field = format!("{}: ", call_header::REQUEST_ID);
        let id = request.lines().find_map(|line| line.strip_prefix(&field));
        let response = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nkeep-alive: timeout={}\r\n{}: x\r\n{}: {}\r\n\r\n",
            KEEP_ALIVE.as_secs(),
            call_header::UPSTREAM_STAMP,
            call_header::REQUEST_ID,
            id.unwrap_or_default(),
        );
        if stream.write_all(response.into_bytes()).await.0.is_err() {
            return;
        }
        answered_at = Some(Instant::now());
    }
}

/// Guards against an order that is lost because it is sent while its server closes the idle connection.
#[test]
fn no_order_crosses_the_close_of_an_idle_connection() {
    block_on(async {
        let world = World::start("keep-alive").await;
        world.configure().await;
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let member = ready_member("i-1", "desk", listener.local_addr().unwrap());
        world.put_members(&[member]).await;
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(serve(stream));
            }
        });
        let router = world.router("a").await;
        let caller = router.caller();
        for order in 0..ORDERS {
            let response = caller.post("/order/x").await.unwrap();
            assert_eq!(response.status(), 200, "order {order}");
            monoio::time::sleep(PAUSE.to_duration()).await;
        }
    });
}
