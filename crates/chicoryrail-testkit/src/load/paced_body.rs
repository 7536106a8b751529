//! The body of a request whose caller sends it in pieces.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use chicoryrail_core::Millis;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use monoio::time::Sleep;
use monoio::time::sleep;

/// Bytes of a piece.
const PIECE_BYTES: usize = 8 << 10;

/// A body of which a piece is sent after each pause.
pub(crate) struct PacedBody {
    rest: Bytes,
    pause: Millis,
    is_chunked: bool,
    timer: Option<Pin<Box<Sleep>>>,
}

impl PacedBody {
    /// Sends a body in chunks, or with its length stated.
    pub(crate) fn new(body: Bytes, pause: Millis, is_chunked: bool) -> Self {
        Self {
            rest: body,
            pause,
            is_chunked,
            timer: None,
        }
    }
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let pause = self.pause.to_duration();
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(pause)));
        ready!(timer.as_mut().poll(cx));
        self.timer = None;
        let length = self.rest.len().min(PIECE_BYTES);
        let piece = self.rest.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        if self.is_chunked {
            return SizeHint::default();
        }
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
