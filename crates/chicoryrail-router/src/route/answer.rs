//! A server's answer on its way to the caller.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use chicoryrail_core::RouteKind;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::full;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::route::flight::Flight;

/// Bytes of an answer that are held until its end is in: a whole answer can be told from a cut one before
/// the caller sees its first byte, and a cut one be asked for again. Longer answers are streamed.
const BUFFERED_BYTES_MAX: usize = 64 << 10;

/// The same for downloads, whose answers are mostly longer: what is held goes out only after it came in, and a slow
/// link would carry a long one twice in a row.
const BUFFERED_DOWNLOAD_BYTES_MAX: usize = 16 << 10;

/// Returns how much of an answer is held, by the kind of its route.
pub(crate) const fn held(kind: RouteKind) -> usize {
    match kind {
        RouteKind::Read | RouteKind::Order => BUFFERED_BYTES_MAX,
        RouteKind::Download => BUFFERED_DOWNLOAD_BYTES_MAX,
    }
}

/// The start of an answer's body.
pub(crate) enum Start {
    /// The whole body.
    Whole(Bytes),
    /// The first bytes of a long one.
    Long(Bytes, Incoming),
}

/// Reads an answer's body, or the start of one that is longer than `most`.
pub(crate) async fn read(mut body: Incoming, most: usize) -> io::Result<Start> {
    let mut held = BytesMut::new();
    while held.len() <= most {
        let frame = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await;
        match frame {
            None => return Ok(Start::Whole(held.freeze())),
            Some(Err(e)) => return Err(io::Error::other(e)),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    held.extend_from_slice(&data);
                }
            }
        }
    }
    Ok(Start::Long(held.freeze(), body))
}

/// Turns the start of a body into the caller's body.
pub(crate) fn body(start: Start, flight: Flight, keep: bool) -> Body {
    match start {
        Start::Whole(bytes) => {
            flight.complete(keep);
            full(bytes)
        }
        Start::Long(first, rest) => Box::pin(Rest {
            first: Some(first),
            rest,
            flight: Some((flight, keep)),
        }),
    }
}

/// A long body: what was held first, then the rest as it comes. One that is cut ends in an error, so that
/// it does not look whole to the caller.
struct Rest {
    first: Option<Bytes>,
    rest: Incoming,
    flight: Option<(Flight, bool)>,
}

impl HttpBody for Rest {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        match Pin::new(&mut self.rest).poll_frame(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                if let Some((flight, keep)) = self.flight.take() {
                    flight.complete(keep);
                }
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(e))) => {
                self.flight = None;
                Poll::Ready(Some(Err(io::Error::other(e))))
            }
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.first.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        let mut all = SizeHint::new();
        if let Some(exact) = rest.exact() {
            all.set_exact(exact + held);
        }
        all
    }
}
