//! The body of a caller's request.

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
use crate::empty;

/// Bytes at a body's start that are kept for a second send. They are also waited for before a slot
/// is taken, so that a caller that sends slowly does not hold a slot of a server for it.
const KEPT: usize = 16 << 10;

/// What is wrong with a caller's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// It is longer than the limit.
    TooLarge,
    /// It came too slowly.
    Slow,
    /// It was cut.
    Cut,
}

/// A request's body: its start is kept, the rest is streamed once.
pub struct RequestBody {
    inner: RefCell<Option<Body>>,
    kept: RefCell<Vec<Bytes>>,
    size: Cell<usize>,
    read: Cell<u64>,
    limit: u64,
    /// Whether bytes have passed that are no longer kept.
    streamed: Cell<bool>,
    fault: Cell<Option<BodyFault>>,
}

impl RequestBody {
    /// Wraps a body of at most `limit` bytes.
    #[must_use]
    pub fn new(body: Body, limit: u64) -> Rc<Self> {
        let none = body.is_end_stream();
        // A length that the caller told is refused before a byte is read.
        let too_large = body.size_hint().lower() > limit;
        Rc::new(Self {
            inner: RefCell::new((!none).then_some(body)),
            kept: RefCell::default(),
            size: Cell::default(),
            read: Cell::default(),
            limit,
            streamed: Cell::default(),
            fault: Cell::new(too_large.then_some(BodyFault::TooLarge)),
        })
    }

    /// Reads the start of the body.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the body; nothing was sent.
    pub async fn prefetch(&self, limit: Millis) -> Result<(), BodyFault> {
        if let Some(fault) = self.fault.get() {
            return Err(fault);
        }
        if self.inner.borrow().is_none() {
            return Ok(());
        }
        let start = async {
            while self.size.get() < KEPT {
                match poll_fn(|cx| self.poll_more(cx)).await {
                    Some(Ok(data)) => self.keep(data),
                    Some(Err(_)) => return Err(self.fault.get().unwrap_or(BodyFault::Cut)),
                    None => break,
                }
            }
            Ok(())
        };
        timeout(limit.duration(), start)
            .await
            .unwrap_or(Err(BodyFault::Slow))
    }

    /// Tells whether the body can be sent from its start.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        !self.streamed.get()
    }

    /// Tells whether there is no body.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.inner.borrow().is_none() && self.size.get() == 0
    }

    /// Returns what was wrong with the body, where it ended early.
    #[must_use]
    pub fn fault(&self) -> Option<BodyFault> {
        self.fault.get()
    }

    /// Returns the body for one send.
    pub fn body(self: &Rc<Self>) -> Body {
        if self.is_empty() {
            return empty();
        }
        Box::pin(Sending {
            source: Rc::clone(self),
            next: 0,
        })
    }

    fn keep(&self, data: Bytes) {
        self.size.set(self.size.get() + data.len());
        self.kept.borrow_mut().push(data);
    }

    fn poll_more(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let mut inner = self.inner.borrow_mut();
        loop {
            let Some(body) = inner.as_mut() else {
                return Poll::Ready(self.fault.get().map(|_| Err(io::Error::other("cut"))));
            };
            let frame = match body.as_mut().poll_frame(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => frame,
            };
            match frame {
                None => *inner = None,
                Some(Err(e)) => {
                    self.fault.set(Some(BodyFault::Cut));
                    *inner = None;
                    return Poll::Ready(Some(Err(e)));
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.read.set(self.read.get() + data.len() as u64);
                    if self.read.get() > self.limit {
                        self.fault.set(Some(BodyFault::TooLarge));
                        *inner = None;
                        return Poll::Ready(Some(Err(io::Error::other("body is too long"))));
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}

/// One send of a body.
struct Sending {
    source: Rc<RequestBody>,
    next: usize,
}

impl HttpBody for Sending {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let kept = self.source.kept.borrow().get(self.next).cloned();
        if let Some(data) = kept {
            self.next += 1;
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        match self.source.poll_more(cx) {
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
        self.next >= self.source.kept.borrow().len()
            && self.source.inner.borrow().is_none()
            && self.source.fault.get().is_none()
    }
}
