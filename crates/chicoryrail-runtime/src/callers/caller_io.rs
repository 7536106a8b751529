//! The connection of a caller: read ahead while a request is served, with a bound on the time of a head.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use monoio::time::Sleep;
use monoio::time::sleep;

use crate::Body;
use crate::callers::HeadScanner;

/// Number of requests of one connection that are being served.
#[derive(Clone, Debug, Default)]
pub(crate) struct InService(Rc<Cell<u32>>);

impl InService {
    /// Counts a request until the guard is dropped.
    pub(crate) fn begin(&self) -> ServiceGuard {
        self.0.set(self.0.get() + 1);
        ServiceGuard(self.clone())
    }

    /// Tells whether none is being served.
    pub(crate) fn is_idle(&self) -> bool {
        self.0.get() == 0
    }
}

/// Counts a request as being served.
#[derive(Debug)]
pub(crate) struct ServiceGuard(InService);

impl Drop for ServiceGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}

impl ServiceGuard {
    /// Counts the request until its answer's body has ended.
    pub(crate) fn until_sent(self, body: Body) -> Body {
        Box::pin(Guarded { body, _guard: self })
    }
}

struct Guarded {
    body: Body,
    _guard: ServiceGuard,
}

impl HttpBody for Guarded {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Bytes that are read of what a caller sent behind the request being served. More stay with the system, so
/// a caller that sends on and on is held up; the largest head fits twice.
const AHEAD: usize = 32 << 10;

/// Bytes that are read at a time.
const STEP: usize = 16 << 10;

/// A caller's stream, read by the HTTP layer and, while a request is being served, read ahead.
#[derive(Debug)]
pub(crate) struct CallerStream<T> {
    inner: T,
    scanner: Rc<RefCell<HeadScanner>>,
    /// Bytes that were read ahead.
    ahead: BytesMut,
}

impl<T: Read + Unpin> CallerStream<T> {
    pub(crate) fn new(inner: T, scanner: Rc<RefCell<HeadScanner>>) -> Self {
        Self {
            inner,
            scanner,
            ahead: BytesMut::new(),
        }
    }

    /// Reads ahead; ready when the caller has closed the connection, or it broke.
    pub(crate) fn poll_left(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.ahead.len() < AHEAD {
            let mut storage = [MaybeUninit::uninit(); STEP];
            let mut part = ReadBuf::uninit(&mut storage);
            match Pin::new(&mut self.inner).poll_read(cx, part.unfilled()) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !part.filled().is_empty() => {
                    self.scanner.borrow_mut().feed(part.filled());
                    self.ahead.extend_from_slice(part.filled());
                    // The HTTP layer may wait for just these bytes, as the rest of a body.
                    cx.waker().wake_by_ref();
                }
                Poll::Ready(_) => return Poll::Ready(()),
            }
        }
        Poll::Pending
    }

    fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.ahead.is_empty() {
            let length = self.ahead.len().min(buf.remaining());
            buf.put_slice(&self.ahead.split_to(length));
            return Poll::Ready(Ok(()));
        }
        let mut storage = [MaybeUninit::uninit(); STEP];
        let length = buf.remaining().min(STEP);
        let mut part = ReadBuf::uninit(&mut storage[..length]);
        let read = Pin::new(&mut self.inner).poll_read(cx, part.unfilled());
        self.scanner.borrow_mut().feed(part.filled());
        buf.put_slice(part.filled());
        read
    }
}

/// The HTTP layer's side of a caller's connection. It fails where a head has begun and does not end in time.
///
/// The HTTP layer has one bound for the wait before a head and for the head itself. Idle connections are
/// kept long, so a caller that sends a byte now and then would hold its place for as long.
pub(crate) struct CallerIo<T> {
    stream: Rc<RefCell<CallerStream<T>>>,
    head_time: Duration,
    service: InService,
    /// Runs from the first byte of a head.
    head: Option<Pin<Box<Sleep>>>,
}

impl<T> CallerIo<T> {
    pub(crate) const fn new(
        stream: Rc<RefCell<CallerStream<T>>>,
        head_time: Duration,
        service: InService,
    ) -> Self {
        Self {
            stream,
            head_time,
            service,
            head: None,
        }
    }
}

impl<T: Read + Unpin> Read for CallerIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.service.is_idle() {
            self.head = None;
        }
        let part = self.stream.borrow_mut().poll_read(cx, buf);
        if self.service.is_idle() && self.head.is_none() && part.is_ready() {
            self.head = Some(Box::pin(sleep(self.head_time)));
        }
        if part.is_pending()
            && let Some(head) = &mut self.head
            && head.as_mut().poll(cx).is_ready()
        {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        part
    }
}

impl<T: Write + Unpin> Write for CallerIo<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream.borrow_mut().inner).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream.borrow_mut().inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream.borrow_mut().inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().inner.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream.borrow_mut().inner).poll_write_vectored(cx, bufs)
    }
}
