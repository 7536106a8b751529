//! An HTTP/1.1 listener with bounds on every caller.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::select;
use futures_util::pin_mut;
use futures_util::select_biased;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_compat::hyper::MonoioIo;
use monoio_compat::hyper::MonoioTimer;
use tokio_util::sync::CancellationToken;

use crate::Body;
use crate::caller_io::CallerIo;
use crate::caller_io::InService;

/// Bounds on what callers may use of a listener.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Largest head of a request in bytes, at least 8192.
    pub head: usize,
    /// Most headers of a request.
    pub headers: usize,
    /// Time in which a head must arrive, from its first byte on.
    pub head_time: Millis,
    /// Time for which a connection without a request is kept.
    pub idle: Millis,
    /// Connections open at a time. One more is closed at once, so that the file descriptors needed
    /// for servers and peers stay free.
    pub connections: u32,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            head: 16 << 10,
            headers: 64,
            head_time: Millis(3_000),
            idle: Millis(15_000),
            connections: 4_000,
        }
    }
}

/// Most connections that are taken in after the stop; the system keeps about a thousand of them
/// ready.
const LAST_ACCEPTS: u32 = 1_024;

/// Looks at a connection without a request before it is closed at a stop, and the time between two
/// of them: together far above the time that a first request is on its way after its connect.
const FIRST_LOOKS: u32 = 20;
const FIRST_WAIT: Millis = Millis(5);

/// Time without a new connection after which the listener is closed at a stop.
const LAST_WAIT: Millis = Millis(10);

/// Bounds that may change while a listener serves; they hold for connections that come after.
pub type SharedLimits = Rc<Cell<HttpLimits>>;

/// Serves a listener under fixed limits until `stop` is cancelled and the connections then open have
/// ended, as [`serve_http_shared`] does.
pub async fn serve_http<H, F>(
    listener: TcpListener,
    limits: HttpLimits,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    serve_http_shared(listener, Rc::new(Cell::new(limits)), stop, handler).await;
}

/// Serves a listener until `stop` is cancelled and the connections then open have ended.
///
/// At the stop each connection finishes the request it is in, says `connection: close` and ends, so
/// a planned stop cuts no request.
pub async fn serve_http_shared<H, F>(
    listener: TcpListener,
    limits: SharedLimits,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let handler = Rc::new(handler);
    let open = Rc::new(Cell::new(0_u32));
    let take = |stream, addr| {
        open.set(open.get() + 1);
        let (open, handler, stop) = (Rc::clone(&open), Rc::clone(&handler), stop.clone());
        let limits = limits.get();
        monoio::spawn(async move {
            connection(stream, addr, limits, stop, handler).await;
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
                Ok((stream, addr)) if open.get() < limits.get().connections => take(stream, addr),
                Ok(_) => {}
                // Out of file descriptors: a short rest in place of a busy loop.
                Err(_) => monoio::time::sleep(Millis(10).duration()).await,
            },
        }
    }
    // Connections that the system has accepted already have sent a request, or are about to: closing
    // the listener would reset them. They get their first answer.
    for _ in 0..LAST_ACCEPTS {
        let Ok(Ok((stream, addr))) = timeout(LAST_WAIT.duration(), listener.accept()).await else {
            break;
        };
        take(stream, addr);
    }
    drop(listener);
    while open.get() > 0 {
        monoio::time::sleep(Millis(5).duration()).await;
    }
}

async fn connection<H, F>(
    stream: TcpStream,
    addr: SocketAddr,
    limits: HttpLimits,
    stop: CancellationToken,
    handler: Rc<H>,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let _ = stream.set_nodelay(true);
    let Ok(io) = stream.try_into_poll_io() else {
        return;
    };
    let asked = Rc::new(Cell::new(false));
    let seen = Rc::clone(&asked);
    let in_service = InService::default();
    let io = CallerIo::new(
        MonoioIo::new(io),
        limits.head_time.duration(),
        in_service.clone(),
    );
    let service = service_fn(move |request| {
        asked.set(true);
        let guard = in_service.begin();
        let answer = handler(request, addr);
        async move {
            let answer = answer.await;
            Ok::<_, Infallible>(answer.map(|body| guard.until_sent(body)))
        }
    });
    let served = http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(limits.idle.max(limits.head_time).duration())
        .max_headers(limits.headers)
        .max_buf_size(limits.head.max(8_192))
        .half_close(false)
        .serve_connection(io, service);
    let mut served = std::pin::pin!(served);
    let stopped = std::pin::pin!(stop.cancelled());
    match select(served.as_mut(), stopped).await {
        Either::Left(_) => {}
        Either::Right(_) => {
            // A connection without a request so far is closed by the shutdown at once, although its
            // first request may be on its way.
            for _ in 0..FIRST_LOOKS {
                if seen.get() {
                    break;
                }
                if timeout(FIRST_WAIT.duration(), served.as_mut())
                    .await
                    .is_ok()
                {
                    return;
                }
            }
            served.as_mut().graceful_shutdown();
            let _ = served.await;
        }
    }
}
