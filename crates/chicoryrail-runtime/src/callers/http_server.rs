//! An HTTP/1.1 listener with bounds on every caller.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use chicoryrail_core::Millis;
use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::select;
use futures_util::pin_mut;
use futures_util::select_biased;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::server::conn::http1::Connection as Http1;
use hyper::service::service_fn;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_compat::hyper::MonoioIo;
use monoio_compat::hyper::MonoioTimer;
use tokio_util::sync::CancellationToken;

use crate::Body;
use crate::callers::HeadScanner;
use crate::callers::caller_io::CallerIo;
use crate::callers::caller_io::CallerStream;
use crate::callers::caller_io::InService;
use crate::callers::pipeline::Pipeline;
use crate::callers::pipeline::Serve;
use crate::says_close;

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
    H: Fn(Request<Body>, SocketAddr) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let limits = Rc::new(Cell::new(limits));
    serve_http_shared(listener, limits, stop, handler, |_| false).await;
}

/// Serves a listener until `stop` is cancelled and the connections then open have ended.
///
/// At the stop each connection finishes the request it is in, says `connection: close` and ends, so
/// a planned stop cuts no request. Requests that a caller sends before the one in front is answered begin
/// side by side as long as `early` says so of each; answers leave in the order of the requests.
pub async fn serve_http_shared<H, F, E>(
    listener: TcpListener,
    limits: SharedLimits,
    stop: CancellationToken,
    handler: H,
    early: E,
) where
    H: Fn(Request<Body>, SocketAddr) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
    E: Fn(&Parts) -> bool + 'static,
{
    let handler = Rc::new(handler);
    let early = Rc::new(early);
    let open = Rc::new(Cell::new(0_u32));
    let take = |stream, addr| {
        open.set(open.get() + 1);
        let (open, handler, stop) = (Rc::clone(&open), Rc::clone(&handler), stop.clone());
        let early = Rc::clone(&early);
        let serve = Serve {
            begin: Box::new(move |request| Box::pin(handler(request, addr))),
            early: Box::new(move |head| early(head)),
        };
        let limits = limits.get();
        monoio::spawn(async move {
            connection(stream, limits, stop, serve).await;
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

async fn connection(stream: TcpStream, limits: HttpLimits, stop: CancellationToken, serve: Serve) {
    let _ = stream.set_nodelay(true);
    let Ok(io) = stream.try_into_poll_io() else {
        return;
    };
    // The HTTP layer takes no smaller bound.
    let head = limits.head.max(8_192);
    let scanner = Rc::new(RefCell::new(HeadScanner::new(head)));
    let stream = CallerStream::new(MonoioIo::new(io), Rc::clone(&scanner));
    let stream = Rc::new(RefCell::new(stream));
    let pipeline = Rc::new(RefCell::new(Pipeline::new(serve, scanner)));
    let asked = Rc::new(Cell::new(false));
    let service = InService::default();
    let io = CallerIo::new(
        Rc::clone(&stream),
        limits.head_time.duration(),
        service.clone(),
    );
    let served = http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(limits.idle.max(limits.head_time).duration())
        .max_headers(limits.headers)
        .max_buf_size(head)
        .half_close(false)
        .serve_connection(io, {
            let (pipeline, asked, service) =
                (Rc::clone(&pipeline), Rc::clone(&asked), service.clone());
            service_fn(move |request: Request<Incoming>| {
                asked.set(true);
                let guard = service.begin();
                let request = request.map(|b| -> Body { Box::pin(b.map_err(io::Error::other)) });
                let answer = pipeline.borrow_mut().turn(request);
                let pipeline = Rc::clone(&pipeline);
                async move {
                    let mut answer = answer.await;
                    close_with_last(&mut pipeline.borrow_mut(), &mut answer);
                    Ok::<_, Infallible>(answer.map(|body| guard.until_sent(body)))
                }
            })
        });
    let mut served = pin!(served);
    // Ready when the connection has ended, or its caller has left.
    let drive = |served: Pin<&mut Http1<_, _>>, cx: &mut Context<'_>| -> Poll<()> {
        if served.poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let left = !service.is_idle() && stream.borrow_mut().poll_left(cx).is_ready();
        pipeline.borrow_mut().go_on(cx);
        if left { Poll::Ready(()) } else { Poll::Pending }
    };
    let stopped = pin!(stop.cancelled());
    let ended = pin!(poll_fn(|cx| drive(served.as_mut(), cx)));
    if let Either::Left(_) = select(ended, stopped).await {
        return;
    }
    // A connection without a request so far is closed by the shutdown at once, although its first request may
    // be on its way.
    for _ in 0..FIRST_LOOKS {
        if asked.get() {
            break;
        }
        let ended = poll_fn(|cx| drive(served.as_mut(), cx));
        if timeout(FIRST_WAIT.duration(), ended).await.is_ok() {
            return;
        }
    }
    // Requests that were begun early are answered before the connection ends: their servers are at work.
    pipeline.borrow_mut().close();
    let answered = poll_fn(|cx| {
        let ended = drive(served.as_mut(), cx);
        if pipeline.borrow().has_begun() {
            return ended.map(|()| true);
        }
        Poll::Ready(ended.is_ready())
    });
    if answered.await {
        return;
    }
    served.as_mut().graceful_shutdown();
    poll_fn(|cx| drive(served.as_mut(), cx)).await;
}

/// Says with the last answer that the connection is to be closed, and with none before it: requests that were begun
/// early are at work at their servers.
fn close_with_last(pipeline: &mut Pipeline, answer: &mut Response<Body>) {
    if says_close(answer.headers()) {
        pipeline.close();
    }
    let headers = answer.headers_mut();
    if pipeline.has_begun() {
        headers.remove(CONNECTION);
    } else if pipeline.is_closing() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
