//! Memory of connections.

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::HttpClient;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::block_on;
use chicoryrail_runtime::full;
use chicoryrail_runtime::serve_http;
use chicoryrail_wire::Peer;
use chicoryrail_wire::Request;

use crate::Line;
use crate::Usage;
use crate::calls::Echo;
use crate::calls::listen;

const LIMIT: Millis = Millis(10_000);

/// Measures what an open connection keeps in memory at both ends together, for peers and callers.
#[must_use]
pub fn link_memory(counts: &[u32]) -> Vec<Line> {
    vec![
        Line::new(
            "memory.peer",
            "bytes per connection, both ends",
            &peers(counts),
        ),
        Line::new(
            "memory.caller",
            "bytes per connection, both ends",
            &callers(counts),
        ),
    ]
}

fn peers(counts: &[u32]) -> Vec<(f64, f64)> {
    block_on(async {
        let addr = Echo::start();
        let before = Usage::now();
        let mut open = Vec::new();
        let mut points = Vec::new();
        for &n in counts {
            while open.len() < n as usize {
                let peer = Peer::new(addr);
                peer.call(&Request::Ping, LIMIT)
                    .await
                    .expect("the peer is in this process");
                open.push(peer);
            }
            points.push((f64::from(n), Usage::now().memory_since(before)));
        }
        points
    })
}

fn callers(counts: &[u32]) -> Vec<(f64, f64)> {
    block_on(async {
        let (listener, addr) = listen();
        let served = serve_http(
            listener,
            HttpLimits::default(),
            CancellationToken::new(),
            |_, _| async { http::Response::new(full("ok")) },
        );
        monoio::spawn(served);
        let before = Usage::now();
        let mut open = Vec::new();
        let mut points = Vec::new();
        for &n in counts {
            while open.len() < n as usize {
                let client = HttpClient::default();
                let request = http::Request::get("/")
                    .body(Bytes::new())
                    .expect("a constant request is valid");
                client
                    .call(addr, request, LIMIT)
                    .await
                    .expect("the listener is in this process");
                open.push(client);
            }
            points.push((f64::from(n), Usage::now().memory_since(before)));
        }
        points
    })
}
