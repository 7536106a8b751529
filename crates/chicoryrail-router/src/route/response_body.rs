//! Forwards the body of a server's response to the caller.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use chicoryrail_core::Millis;
use chicoryrail_core::RouteKind;
use chicoryrail_policy::ResponseSizes;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::HeldBytes;
use chicoryrail_runtime::full_body;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use monoio::time::Sleep;
use monoio::time::sleep_until;

use crate::route::in_flight::InFlight;

/// Bytes of a response body that are buffered before any byte is forwarded. A response that fits is known to be
/// complete before the caller receives its first byte, and a truncated one can be retried. Longer ones are streamed.
const BUFFER_BYTES_MAX: usize = 64 << 10;

/// The same for downloads, most of whose responses are longer. Buffered bytes are forwarded only after all of them
/// have arrived, so over slow links the times of both transfers add up for a large buffer.
const DOWNLOAD_BUFFER_BYTES_MAX: usize = 16 << 10;

/// Bytes that a streamed response holds beyond its buffered start: what is read ahead from its server.
const STREAM_BYTES: u64 = 64 << 10;

/// Returns how many bytes of a response body are buffered for a kind of route.
pub(crate) const fn buffer_limit(kind: RouteKind) -> usize {
    match kind {
        RouteKind::Read | RouteKind::Order | RouteKind::Upload => BUFFER_BYTES_MAX,
        RouteKind::Download => DOWNLOAD_BUFFER_BYTES_MAX,
    }
}

/// Time without data from a server after which a streamed response ends, once the request's time is over. One that still
/// arrives goes on.
const SILENCE_MAX: Millis = Millis(250);

/// Marks a response whose body is streamed: it may still break off.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Streamed;

/// Proof that a response was read to its end. Only this module creates it.
#[derive(Debug)]
pub(crate) struct ResponseEnd(());

/// The buffered start of a response body.
pub(crate) enum BodyStart {
    /// The complete body.
    Whole(Bytes, ResponseEnd),
    /// The first bytes of a longer body, the rest, and what the rest holds of the budget.
    Partial(Bytes, Incoming, Option<HeldBytes>),
}

/// Reads a response body, or the start of one that is longer than `limit` bytes. If `held` is given, the bytes count
/// against its budget until they are written to the caller.
///
/// # Errors
///
/// Returns an error if the body is truncated within its start.
pub(crate) async fn read_start(
    mut body: Incoming,
    limit: usize,
    mut held: Option<HeldBytes>,
) -> io::Result<BodyStart> {
    let mut buffered = BytesMut::new();
    while buffered.len() <= limit {
        let frame = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await;
        match frame {
            None => {
                let whole = attach(held, buffered.freeze());
                return Ok(BodyStart::Whole(whole, ResponseEnd(())));
            }
            Some(Err(e)) => return Err(io::Error::other(e)),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    if let Some(held) = &mut held {
                        held.grow(data.len() as u64);
                    }
                    buffered.extend_from_slice(&data);
                }
            }
        }
    }
    let rest_held = held.as_ref().map(|held| held.sibling(STREAM_BYTES));
    Ok(BodyStart::Partial(
        attach(held, buffered.freeze()),
        body,
        rest_held,
    ))
}

fn attach(held: Option<HeldBytes>, data: Bytes) -> Bytes {
    match held {
        Some(held) => held.attach(data),
        None => data,
    }
}

/// Converts the start of a body into the caller's body, which ends the request in flight when it is complete.
pub(crate) fn into_body(start: BodyStart, exchange: Exchange) -> Body {
    match start {
        BodyStart::Whole(bytes, end) => {
            exchange.complete(end, bytes.len() as u64);
            full_body(bytes)
        }
        BodyStart::Partial(first, rest, held) => Box::pin(StreamedBody {
            bytes: first.len() as u64,
            first: Some(first),
            rest,
            _held: held,
            silence: None,
            exchange: Some(exchange),
        }),
    }
}

/// A streamed body: its buffered start, then the rest as it arrives. A truncated body ends in an error, so that the
/// caller does not take it for a complete one.
struct StreamedBody {
    first: Option<Bytes>,
    rest: Incoming,
    _held: Option<HeldBytes>,
    /// Bytes of the body so far.
    bytes: u64,
    /// Ends the response if the server sends nothing until then; `None` while data is there.
    silence: Option<Pin<Box<Sleep>>>,
    /// `None` once the body has ended.
    exchange: Option<Exchange>,
}

impl BodyStart {
    /// Returns the number of bytes of the body, or the smallest that it can have.
    pub(crate) fn size_min(&self) -> u64 {
        match self {
            Self::Whole(bytes, _) => bytes.len() as u64,
            Self::Partial(first, rest, _) => first.len() as u64 + rest.size_hint().lower(),
        }
    }
}

/// A request at a server until the end of its response.
pub(crate) struct Exchange {
    pub(crate) in_flight: InFlight,
    /// Whether the connection may be used again.
    pub(crate) reuse: bool,
    /// How long the rest of the request's body is sent after the response; `None` if it is not.
    pub(crate) rest_limit: Option<Millis>,
    /// When the request's time is over.
    pub(crate) ends: Instant,
    /// Sizes of the route's complete responses; `None` if this one does not count.
    pub(crate) sizes: Option<Rc<Cell<ResponseSizes>>>,
}

impl Exchange {
    /// Ends the request after its complete response, whose body has `bytes`.
    fn complete(self, end: ResponseEnd, bytes: u64) {
        if let Some(cell) = self.sizes {
            let mut sizes = cell.get();
            sizes.record(bytes);
            cell.set(sizes);
        }
        self.in_flight.complete(end, self.reuse, self.rest_limit);
    }
}

impl StreamedBody {
    /// Records that the server has sent nothing, and returns `true` if that has lasted too long.
    fn is_silent(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(exchange) = &self.exchange else {
            return false;
        };
        let timer = self.silence.get_or_insert_with(|| {
            let until = exchange
                .ends
                .max(Instant::now() + SILENCE_MAX.to_duration());
            Box::pin(sleep_until(until.into()))
        });
        timer.as_mut().poll(cx).is_ready()
    }
}

impl HttpBody for StreamedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let frame = Pin::new(&mut self.rest).poll_frame(cx);
        if frame.is_ready() {
            self.silence = None;
        }
        match frame {
            Poll::Pending => {
                if !self.is_silent(cx) {
                    return Poll::Pending;
                }
                self.exchange = None;
                Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())))
            }
            Poll::Ready(None) => {
                if let Some(exchange) = self.exchange.take() {
                    exchange.complete(ResponseEnd(()), self.bytes);
                }
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(e))) => {
                self.exchange = None;
                Poll::Ready(Some(Err(io::Error::other(e))))
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
                // The caller's connection does not ask for more of a body that has reached its declared length.
                if self.rest.is_end_stream()
                    && let Some(exchange) = self.exchange.take()
                {
                    exchange.complete(ResponseEnd(()), self.bytes);
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.first.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        let mut total = SizeHint::new();
        if let Some(exact) = rest.exact() {
            total.set_exact(exact + buffered);
        }
        total
    }
}
