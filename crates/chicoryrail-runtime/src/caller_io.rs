//! The connection of a caller, with a bound on the time that a head takes.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use monoio::time::Sleep;
use monoio::time::sleep;

use crate::Body;

/// Number of requests of one connection that are being served.
#[derive(Clone, Debug, Default)]
pub(crate) struct InService(Rc<Cell<u32>>);

impl InService {
    /// Counts a request until the guard is dropped.
    pub(crate) fn begin(&self) -> ServiceGuard {
        self.0.set(self.0.get() + 1);
        ServiceGuard(self.clone())
    }

    fn is_idle(&self) -> bool {
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

/// A connection that fails where a head has begun and does not end in time.
///
/// The HTTP layer has one bound for the wait before a head and for the head itself. Idle connections are
/// kept long, so a caller that sends a byte now and then held its place for as long: 15 s instead of 3 s,
/// measured with 60 such callers.
pub(crate) struct CallerIo<T> {
    inner: T,
    head_time: Duration,
    service: InService,
    /// Runs from the first byte of a head.
    head: Option<Pin<Box<Sleep>>>,
}

impl<T> CallerIo<T> {
    pub(crate) const fn new(inner: T, head_time: Duration, service: InService) -> Self {
        Self {
            inner,
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
        let part = Pin::new(&mut self.inner).poll_read(cx, buf);
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
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }
}
