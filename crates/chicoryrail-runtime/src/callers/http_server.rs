//! HTTP/1.1 server with limits on every caller.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use futures_util::FutureExt;
use futures_util::pin_mut;
use futures_util::select_biased;
use http::Request;
use http::Response;
use http::request::Parts;
use monoio::net::TcpListener;
use monoio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::Body;
use crate::callers::connection::serve_connection;
use crate::callers::pipeline::Callbacks;

/// Limits on what callers may use of a listener.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Largest request head in bytes. Values below 8192 count as 8192.
    pub max_head_bytes: usize,
    /// Maximum number of headers of a request.
    pub max_headers: usize,
    /// Largest request body in bytes. The handler refuses longer ones. Of a request that is answered before its body has
    /// arrived, as much is still read, so that its caller gets the response.
    pub max_body_bytes: u64,
    /// Timeout for receiving a request head, from its first byte.
    pub head_timeout: Millis,
    /// Time for which a connection without a request is kept open. Values below `head_timeout` count as
    /// `head_timeout`.
    pub idle_timeout: Millis,
    /// Time for which a caller may read what was written, after the last write, or after the end of the stream if it
    /// pipelines. The system discards it if the connection is closed earlier and the caller sends something, as it resets
    /// the connection then.
    pub linger_time: Millis,
    /// Maximum number of connections open at a time. Further ones are closed on accept, so that the file descriptors
    /// needed for servers and peers stay free.
    pub max_connections: u32,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_headers: 64,
            max_body_bytes: 1 << 20,
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
            linger_time: Millis(5_000),
            max_connections: 4_000,
        }
    }
}

/// Maximum number of connections accepted after the stop. The kernel's accept queue contains about a thousand.
const MAX_FINAL_ACCEPTS: u32 = 1_024;

/// Time without a new connection after which a stopping listener is closed.
const FINAL_ACCEPT_WAIT: Millis = Millis(10);

/// Limits that may change while a listener serves. A change applies to connections accepted later.
pub type SharedLimits = Rc<Cell<HttpLimits>>;

/// Number of a listener's open connections.
pub type OpenConnections = Rc<Cell<u32>>;

/// Serves a listener with fixed limits and without starting pipelined requests early.
///
/// Returns when `stop` is cancelled and the open connections have ended; see [`serve_http_shared`].
pub async fn serve_http<H, F>(
    listener: TcpListener,
    limits: HttpLimits,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Body>, SocketAddr) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let limits = Rc::new(Cell::new(limits));
    let open = OpenConnections::default();
    serve_http_shared(listener, (limits, open), stop, handler, |_| false).await;
}

/// Serves a listener until `stop` is cancelled and the open connections have ended.
///
/// At the stop each connection finishes its requests in flight, sends `connection: close` and ends, so a planned stop
/// cuts no request. Pipelined requests are served concurrently as long as `can_start_early` returns `true` for each of
/// them. Responses keep the order of the requests. The open connections are counted in `open`.
pub async fn serve_http_shared<H, F, E>(
    listener: TcpListener,
    (limits, open): (SharedLimits, OpenConnections),
    stop: CancellationToken,
    handler: H,
    can_start_early: E,
) where
    H: Fn(Request<Body>, SocketAddr) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
    E: Fn(&Parts) -> bool + 'static,
{
    let handler = Rc::new(handler);
    let can_start_early = Rc::new(can_start_early);
    let accept = |stream, addr| {
        open.set(open.get() + 1);
        let (open, handler, stop) = (Rc::clone(&open), Rc::clone(&handler), stop.clone());
        let can_start_early = Rc::clone(&can_start_early);
        let callbacks = Callbacks {
            start: Box::new(move |request| Box::pin(handler(request, addr))),
            can_start_early: Box::new(move |head| can_start_early(head)),
        };
        let limits = limits.get();
        monoio::spawn(async move {
            serve_connection(stream, limits, stop, callbacks).await;
            open.set(open.get() - 1);
        });
    };
    loop {
        let accepted = listener.accept().fuse();
        let stopped = stop.cancelled().fuse();
        pin_mut!(accepted, stopped);
        select_biased! {
            () = stopped => break,
            result = accepted => match result {
                Ok((stream, addr)) if open.get() < limits.get().max_connections => {
                    accept(stream, addr);
                }
                Ok(_) => {}
                // Out of file descriptors: waits a little to avoid a busy loop.
                Err(_) => monoio::time::sleep(Millis(10).to_duration()).await,
            },
        }
    }
    // Connections in the kernel's accept queue have sent a request or are about to, and closing the listener would
    // reset them. They are accepted and get one response.
    for _ in 0..MAX_FINAL_ACCEPTS {
        let Ok(Ok((stream, addr))) =
            timeout(FINAL_ACCEPT_WAIT.to_duration(), listener.accept()).await
        else {
            break;
        };
        accept(stream, addr);
    }
    drop(listener);
    while open.get() > 0 {
        monoio::time::sleep(Millis(5).to_duration()).await;
    }
}
