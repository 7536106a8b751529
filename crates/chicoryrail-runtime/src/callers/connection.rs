//! Serves one connection of a caller.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use chicoryrail_core::Millis;
use futures_util::future::Either;
use futures_util::future::select;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::server::conn::http1::Connection as Http1;
use hyper::service::service_fn;
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_compat::hyper::MonoioIo;
use monoio_compat::hyper::MonoioTimer;
use tokio_util::sync::CancellationToken;

use crate::Body;
use crate::callers::HeadScanner;
use crate::callers::HttpLimits;
use crate::callers::caller_io::CallerIo;
use crate::callers::caller_io::CallerStream;
use crate::callers::caller_io::CallerTcpStream;
use crate::callers::caller_io::InFlight;
use crate::callers::linger::linger;
use crate::callers::pipeline::Callbacks;
use crate::callers::pipeline::Pipeline;
use crate::framing::is_close_delimited;
use crate::guard_body;
use crate::is_connection_close;

/// Number of checks for a first request on a connection without one, before it is closed at a stop.
const FIRST_REQUEST_CHECKS: u32 = 20;

/// Time between two of these checks. All checks together last far longer than a first request takes to arrive after
/// its connect.
const FIRST_REQUEST_WAIT: Millis = Millis(5);

/// Serves a connection until it ends.
pub(crate) async fn serve_connection(
    stream: TcpStream,
    limits: HttpLimits,
    stop: CancellationToken,
    callbacks: Callbacks,
) {
    let _ = stream.set_nodelay(true);
    let Ok(io) = stream.try_into_poll_io() else {
        return;
    };
    let scanner = Rc::new(RefCell::new(HeadScanner::new(head_bytes(limits))));
    let stream = CallerStream::new(MonoioIo::new(io), Rc::clone(&scanner));
    let stream = Rc::new(RefCell::new(stream));
    let pipeline = Rc::new(RefCell::new(Pipeline::new(callbacks, scanner)));
    match serve_requests(&stream, &pipeline, limits, stop).await {
        ConnectionEnd::Complete => stream.borrow_mut().set_reset_on_close(false),
        // In order, the end of the connection would be the end of the response that broke off.
        ConnectionEnd::Broken if stream.borrow().resets_on_close() => return,
        ConnectionEnd::Broken => {}
        ConnectionEnd::CallerLeft => return,
    }
    let is_pipelined = pipeline.borrow().is_pipelined();
    linger(&stream, limits, is_pipelined).await;
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// All responses were written, and the stream to the caller has ended.
    Complete,
    /// A message in either direction broke off.
    Broken,
    /// The caller disconnected while a request was served.
    CallerLeft,
}

/// Serves the requests of a connection.
async fn serve_requests(
    stream: &Rc<RefCell<CallerTcpStream>>,
    pipeline: &Rc<RefCell<Pipeline>>,
    limits: HttpLimits,
    stop: CancellationToken,
) -> ConnectionEnd {
    let has_request = Rc::new(Cell::new(false));
    let in_flight = InFlight::default();
    // The rest of a body may be read after its response, and is no next head.
    let bodies = InFlight::default();
    let io = CallerIo::new(
        Rc::clone(stream),
        limits.head_timeout.to_duration(),
        [in_flight.clone(), bodies.clone()],
    );
    let served = http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout).to_duration())
        .max_headers(limits.max_headers)
        .max_buf_size(head_bytes(limits))
        .half_close(false)
        .serve_connection(io, {
            let (pipeline, has_request, in_flight) = (
                Rc::clone(pipeline),
                Rc::clone(&has_request),
                in_flight.clone(),
            );
            service_fn(move |request: Request<Incoming>| {
                has_request.set(true);
                let guard = in_flight.start();
                let body_guard = bodies.start();
                let version = request.version();
                let request = request.map(|b| -> Body {
                    guard_body(Box::pin(b.map_err(io::Error::other)), body_guard)
                });
                let response = pipeline.borrow_mut().serve_current(request);
                let (pipeline, stream) = (Rc::clone(&pipeline), Rc::clone(stream));
                async move {
                    let mut response = response.await;
                    set_connection_close(&mut pipeline.borrow_mut(), &mut response);
                    if is_close_delimited(version, &response) {
                        stream.borrow_mut().set_reset_on_close(true);
                    }
                    Ok::<_, Infallible>(response.map(|body| guard_body(body, guard)))
                }
            })
        });
    let mut served = pin!(served);
    // Ready when the connection has ended.
    let drive = |served: Pin<&mut Http1<_, _>>, cx: &mut Context<'_>| -> Poll<ConnectionEnd> {
        if let Poll::Ready(result) = served.poll(cx) {
            return Poll::Ready(match result {
                Ok(()) => ConnectionEnd::Complete,
                Err(_) => ConnectionEnd::Broken,
            });
        }
        let disconnected =
            !in_flight.is_idle() && stream.borrow_mut().poll_disconnect(cx).is_ready();
        pipeline.borrow_mut().poll_queued(cx);
        if disconnected {
            Poll::Ready(ConnectionEnd::CallerLeft)
        } else {
            Poll::Pending
        }
    };
    let stopped = pin!(stop.cancelled());
    let ended = pin!(poll_fn(|cx| drive(served.as_mut(), cx)));
    if let Either::Left((end, _)) = select(ended, stopped).await {
        return end;
    }
    // hyper's graceful shutdown closes a connection without a request at once, although its first request may be
    // in transit.
    for _ in 0..FIRST_REQUEST_CHECKS {
        if has_request.get() {
            break;
        }
        let ended = poll_fn(|cx| drive(served.as_mut(), cx));
        if let Ok(end) = timeout(FIRST_REQUEST_WAIT.to_duration(), ended).await {
            return end;
        }
    }
    // Requests that were started early are answered before the connection ends, since servers are processing them.
    pipeline.borrow_mut().close();
    let early_end = poll_fn(|cx| match drive(served.as_mut(), cx) {
        Poll::Ready(end) => Poll::Ready(Some(end)),
        Poll::Pending if pipeline.borrow().has_started() => Poll::Pending,
        Poll::Pending => Poll::Ready(None),
    });
    if let Some(end) = early_end.await {
        return end;
    }
    served.as_mut().graceful_shutdown();
    poll_fn(|cx| drive(served.as_mut(), cx)).await
}

/// Returns the size of the buffer for a request's head. hyper panics on a smaller one.
fn head_bytes(limits: HttpLimits) -> usize {
    limits.max_head_bytes.max(8_192)
}

/// Sets `connection: close` on the last response of a closing connection and removes it from earlier ones.
///
/// Requests that were started early are still being processed by their servers and must be answered first.
fn set_connection_close(pipeline: &mut Pipeline, response: &mut Response<Body>) {
    if is_connection_close(response.headers()) {
        pipeline.close();
    }
    let headers = response.headers_mut();
    if pipeline.has_started() {
        headers.remove(CONNECTION);
    } else if pipeline.is_closing() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
