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
use monoio_compat::hyper::MonoioIo;
use monoio_compat::hyper::MonoioTimer;
use tokio_util::sync::CancellationToken;

use crate::Body;

/// Bounds on what callers may use of a listener.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Largest head of a request in bytes, at least 8192.
    pub head: usize,
    /// Most headers of a request.
    pub headers: usize,
    /// Time in which a head must arrive; also how long an idle connection is kept.
    pub head_time: Millis,
    /// Connections open at a time. One more is closed at once, so that the file descriptors needed
    /// for servers and peers stay free.
    pub connections: u32,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            head: 16 << 10,
            headers: 64,
            head_time: Millis(15_000),
            connections: 4_000,
        }
    }
}

/// Serves a listener until `stop` is cancelled and the connections then open have ended.
///
/// At the stop each connection finishes the request it is in, says `connection: close` and ends, so
/// a planned stop cuts no request.
pub async fn serve_http<H, F>(
    listener: TcpListener,
    limits: HttpLimits,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let handler = Rc::new(handler);
    let open = Rc::new(Cell::new(0_u32));
    loop {
        let accepted = listener.accept().fuse();
        let stopped = stop.cancelled().fuse();
        pin_mut!(accepted, stopped);
        select_biased! {
            () = stopped => break,
            result = accepted => match result {
                Ok((stream, addr)) if open.get() < limits.connections => {
                    open.set(open.get() + 1);
                    let (open, handler, stop) = (Rc::clone(&open), Rc::clone(&handler), stop.clone());
                    monoio::spawn(async move {
                        connection(stream, addr, limits, stop, handler).await;
                        open.set(open.get() - 1);
                    });
                }
                Ok(_) => {}
                // Out of file descriptors: a short rest in place of a busy loop.
                Err(_) => monoio::time::sleep(Millis(10).duration()).await,
            },
        }
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
    let service = service_fn(move |request| {
        let answer = handler(request, addr);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let served = http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(limits.head_time.duration())
        .max_headers(limits.headers)
        .max_buf_size(limits.head.max(8_192))
        .half_close(false)
        .serve_connection(MonoioIo::new(io), service);
    let mut served = std::pin::pin!(served);
    let stopped = std::pin::pin!(stop.cancelled());
    match select(served.as_mut(), stopped).await {
        Either::Left(_) => {}
        Either::Right(_) => {
            served.as_mut().graceful_shutdown();
            let _ = served.await;
        }
    }
}
