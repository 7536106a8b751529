//! The `bench` command: cost of a request through a listener, one at a time and pipelined.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use bpaf::Bpaf;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::OpenConnections;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::full_body;
use chicoryrail_runtime::serve_http_shared;
use http::Response;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use serde::Serialize;

use crate::tools::print_json;

/// Requests that a caller sends before it reads the first response; the listener starts all of them at once.
const PIPELINE_DEPTH: u32 = 8;

/// A request as it is sent.
const REQUEST: &str =
    "GET /a/b HTTP/1.1\r\nhost: shop.example\r\nx-request: 9c41d07be2a35f68\r\n\r\n";

/// Body of the response; counted to find the end of each response.
const RESPONSE_BODY: &str = "<answer>";

/// Options of the measurement
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Bench {
    /// Requests to send in each mode, one at a time and pipelined
    #[bpaf(argument("N"), fallback(40_000), display_fallback)]
    requests: u32,
}

/// Microseconds per request, for caller and listener together on one core.
#[derive(Debug, Serialize)]
struct Costs {
    requests: u32,
    single_us: f64,
    pipelined_us: f64,
    /// `pipelined_us` over `single_us` of the same run; above 1, a pipelined request costs more.
    ratio: f64,
}

impl Bench {
    /// Measures both modes and prints the costs as a table and as JSON; returns `false` if JSON can't be written.
    pub(crate) fn run(&self) -> bool {
        let requests = self.requests.max(PIPELINE_DEPTH);
        let costs = block_on(async {
            let addr = listen();
            // The first round warms up caches and is not counted.
            send(addr, requests / 4, 1).await;
            let single_us = send(addr, requests, 1).await;
            let pipelined_us = send(addr, requests, PIPELINE_DEPTH).await;
            Costs {
                requests,
                single_us,
                pipelined_us,
                ratio: pipelined_us / single_us,
            }
        });
        println!("mode       us per request");
        println!("single     {:.2}", costs.single_us);
        println!(
            "pipelined  {:.2} ({PIPELINE_DEPTH} at a time)",
            costs.pipelined_us
        );
        print_json(&costs)
    }
}

/// Starts a listener that responds to every request at once.
fn listen() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let addr = listener.local_addr().expect("a listener has an address");
    monoio::spawn(serve_http_shared(
        listener,
        (
            Rc::new(Cell::new(HttpLimits::default())),
            OpenConnections::default(),
        ),
        CancellationToken::new(),
        |_, _| async { Response::new(full_body(RESPONSE_BODY)) },
        |_| true,
    ));
    addr
}

/// Sends requests on one connection, `depth` at a time; returns the mean microseconds per request.
async fn send(addr: SocketAddr, requests: u32, depth: u32) -> f64 {
    let mut stream = TcpStream::connect(addr)
        .await
        .expect("the listener accepts connections");
    stream.set_nodelay(true).expect("TCP_NODELAY can be set");
    let group = REQUEST.repeat(depth as usize).into_bytes();
    let started = Instant::now();
    for _ in 0..requests / depth {
        let (sent, _) = stream.write_all(group.clone()).await;
        sent.expect("the listener reads the requests");
        let mut responses = 0;
        while responses < depth {
            let (read, buf) = stream.read(vec![0; 4_096]).await;
            let read = read.expect("the listener responds");
            let text = String::from_utf8_lossy(&buf[..read]);
            responses += text.matches(RESPONSE_BODY).count() as u32;
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(requests)
}
