//! Small stand-ins of the platform inside the test's own process, and the means to break them.
#![allow(dead_code, unreachable_pub, unused_imports)]

mod bundle;
mod cluster;
mod gate;
mod store;
mod target;

use std::net::SocketAddr;

pub use bundle::bundle;
use bytes::Bytes;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::HttpLimits;
use chicoryrail_runtime::collect;
use chicoryrail_runtime::serve_http;
pub use cluster::Cluster;
pub use cluster::wait_until;
pub use gate::FakeGate;
pub use gate::Watch;
use monoio::net::TcpListener;
pub use store::FakeStore;
pub use target::FakeTarget;

/// Serves whole requests at a port that the system chooses.
pub fn listen<H, F>(stop: &CancellationToken, handler: H) -> SocketAddr
where
    H: Fn(String, String, Bytes) -> F + 'static,
    F: Future<Output = http::Response<Body>> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let handler = std::rc::Rc::new(handler);
    let serve = move |request: http::Request<hyper::body::Incoming>, _| {
        let handler = std::rc::Rc::clone(&handler);
        async move {
            let (head, body) = request.into_parts();
            let body = collect(body, 1 << 20).await.unwrap_or_default();
            let uri = head.uri.path_and_query().unwrap().to_string();
            handler(head.method.to_string(), uri, body).await
        }
    };
    monoio::spawn(serve_http(
        listener,
        HttpLimits::default(),
        stop.clone(),
        serve,
    ));
    addr
}
