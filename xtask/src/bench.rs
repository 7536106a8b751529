//! What a request costs on its way through a listener, alone and behind others on its connection.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use bpaf::Bpaf;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::full;
use chicoryrail_runtime::serve_http_shared;
use http::Response;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use serde::Serialize;

use crate::tools::print_json;

/// Requests that a caller sends before the first answer; all of them begin at once.
const DEPTH: u32 = 8;

/// One request as a caller sends it.
const REQUEST: &str =
    "GET /a/b HTTP/1.1\r\nhost: shop.example\r\nx-request: 9c41d07be2a35f68\r\n\r\n";

/// What an answer's body is.
const ANSWER: &str = "<answer>";

/// How the listener is measured
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Bench {
    /// Requests of each way
    #[bpaf(argument("N"), fallback(40_000), display_fallback)]
    requests: u32,
}

/// Microseconds a request, caller and listener together on one core.
#[derive(Debug, Serialize)]
struct Costs {
    requests: u32,
    single_us: f64,
    pipelined_us: f64,
    /// Pipelined over single, in one run; above 1 a pipelined request costs more.
    ratio: f64,
}

impl Bench {
    pub(crate) fn run(&self) -> bool {
        let requests = self.requests.max(DEPTH);
        let costs = block_on(async {
            let addr = listen();
            // The first round warms caches up and is not counted.
            send(addr, requests / 4, 1).await;
            let single_us = send(addr, requests, 1).await;
            let pipelined_us = send(addr, requests, DEPTH).await;
            Costs {
                requests,
                single_us,
                pipelined_us,
                ratio: pipelined_us / single_us,
            }
        });
        println!("way        us a request");
        println!("single     {:.2}", costs.single_us);
        println!("pipelined  {:.2} ({DEPTH} at a time)", costs.pipelined_us);
        print_json(&costs)
    }
}

fn listen() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback address is free");
    let addr = listener.local_addr().expect("a listener has an address");
    monoio::spawn(serve_http_shared(
        listener,
        Rc::new(Cell::new(HttpLimits::default())),
        CancellationToken::new(),
        |_, _| async { Response::new(full(ANSWER)) },
        |_| true,
    ));
    addr
}

/// Sends requests on one connection, `depth` at a time; returns the microseconds each took.
async fn send(addr: SocketAddr, requests: u32, depth: u32) -> f64 {
    let mut stream = TcpStream::connect(addr).await.expect("the listener is up");
    stream.set_nodelay(true).expect("a socket takes the option");
    let group = REQUEST.repeat(depth as usize).into_bytes();
    let started = Instant::now();
    for _ in 0..requests / depth {
        let (sent, _) = stream.write_all(group.clone()).await;
        sent.expect("the listener reads");
        let mut answers = 0;
        while answers < depth {
            let (read, buf) = stream.read(vec![0; 4_096]).await;
            let read = read.expect("the listener answers");
            let text = String::from_utf8_lossy(&buf[..read]);
            answers += text.matches(ANSWER).count() as u32;
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(requests)
}
