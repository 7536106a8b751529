//! The body of a caller's request, buffered in part for retries.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use chicoryrail_core::Millis;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use monoio::time::timeout;

use crate::Body;
use crate::empty_body;

/// Bytes at the start of a body that are buffered for a retry. They are also read before the request takes a slot of
/// a server, so that a caller that sends slowly does not occupy one meanwhile.
const REPLAY_BYTES: usize = 16 << 10;

/// Why a caller's body can't be read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than the limit.
    TooLarge,
    /// The start of the body was not received in time.
    Slow,
    /// The body ended early.
    Cut,
}

/// A request's body. Its start is buffered and can be sent again; the rest is streamed once.
pub struct RequestBody {
    inner: RefCell<Option<Body>>,
    buffered: RefCell<Vec<Bytes>>,
    buffered_bytes: Cell<usize>,
    received_bytes: Cell<u64>,
    max_bytes: u64,
    /// Whether bytes were sent that are not buffered.
    streamed: Cell<bool>,
    error: Cell<Option<BodyError>>,
}

impl RequestBody {
    /// Wraps a body of at most `max_bytes` bytes.
    #[must_use]
    pub fn new(body: Body, max_bytes: u64) -> Rc<Self> {
        let ended = body.is_end_stream();
        // A declared length above the limit is refused before any byte is read.
        let too_large = body.size_hint().lower() > max_bytes;
        Rc::new(Self {
            inner: RefCell::new((!ended).then_some(body)),
            buffered: RefCell::default(),
            buffered_bytes: Cell::default(),
            received_bytes: Cell::default(),
            max_bytes,
            streamed: Cell::default(),
            error: Cell::new(too_large.then_some(BodyError::TooLarge)),
        })
    }

    /// Reads the start of the body into the buffer, for at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`BodyError`] if the body is too long, too slow or cut; nothing was sent.
    pub async fn prefetch(&self, limit: Millis) -> Result<(), BodyError> {
        if let Some(error) = self.error.get() {
            return Err(error);
        }
        if self.inner.borrow().is_none() {
            return Ok(());
        }
        let read_start = async {
            while self.buffered_bytes.get() < REPLAY_BYTES {
                match poll_fn(|cx| self.poll_chunk(cx)).await {
                    Some(Ok(data)) => self.buffer(data),
                    Some(Err(_)) => return Err(self.error.get().unwrap_or(BodyError::Cut)),
                    None => break,
                }
            }
            Ok(())
        };
        timeout(limit.to_duration(), read_start)
            .await
            .unwrap_or(Err(BodyError::Slow))
    }

    /// Returns `true` if the body can still be sent from its start.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        !self.streamed.get()
    }

    /// Returns `true` if there is no body.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.inner.borrow().is_none() && self.buffered_bytes.get() == 0
    }

    /// Passes the bytes of the buffered start to `visit`, in order and 16 KiB at most.
    pub fn visit_start(&self, mut visit: impl FnMut(&[u8])) {
        let mut left = REPLAY_BYTES;
        for chunk in self.buffered.borrow().iter() {
            let part = &chunk[..chunk.len().min(left)];
            left -= part.len();
            visit(part);
        }
    }

    /// Returns the number of bytes at the start of the body that are buffered.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.buffered_bytes.get()
    }

    /// Returns why the body could not be read completely, if so.
    #[must_use]
    pub fn error(&self) -> Option<BodyError> {
        self.error.get()
    }

    /// Returns the body for one attempt to send the request.
    pub fn body(self: &Rc<Self>) -> Body {
        if self.is_empty() {
            return empty_body();
        }
        Box::pin(SendAttempt {
            source: Rc::clone(self),
            next_chunk: 0,
        })
    }

    fn buffer(&self, data: Bytes) {
        self.buffered_bytes
            .set(self.buffered_bytes.get() + data.len());
        self.buffered.borrow_mut().push(data);
    }

    fn poll_chunk(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let mut inner = self.inner.borrow_mut();
        loop {
            let Some(body) = inner.as_mut() else {
                return Poll::Ready(self.error.get().map(|_| Err(io::Error::other("cut"))));
            };
            let frame = match body.as_mut().poll_frame(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => frame,
            };
            match frame {
                None => *inner = None,
                Some(Err(e)) => {
                    self.error.set(Some(BodyError::Cut));
                    *inner = None;
                    return Poll::Ready(Some(Err(e)));
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.received_bytes
                        .set(self.received_bytes.get() + data.len() as u64);
                    if self.received_bytes.get() > self.max_bytes {
                        self.error.set(Some(BodyError::TooLarge));
                        *inner = None;
                        return Poll::Ready(Some(Err(io::Error::other("body exceeds the limit"))));
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}

/// The body of one send attempt: the buffered start, then the stream.
struct SendAttempt {
    source: Rc<RequestBody>,
    next_chunk: usize,
}

impl HttpBody for SendAttempt {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let chunk = self.source.buffered.borrow().get(self.next_chunk).cloned();
        if let Some(data) = chunk {
            self.next_chunk += 1;
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        match self.source.poll_chunk(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Ready(Some(Err(e))) => Poll::Ready(Some(Err(e))),
            Poll::Ready(Some(Ok(data))) => {
                self.source.streamed.set(true);
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.next_chunk >= self.source.buffered.borrow().len()
            && self.source.inner.borrow().is_none()
            && self.source.error.get().is_none()
    }
}
