//! Limits what is read from a connection until the head of a response is complete.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

/// Bytes that are read until the head of a response is complete: a head of the largest size, interim heads before it, and
/// what arrives of the body with it.
const HEAD_BYTES_MAX: usize = 256 << 10;

/// Bytes that one read returns until the head is complete.
const HEAD_READ_BYTES: usize = 8 << 10;

/// The bytes that may still be read before the head of the response that is awaited; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadLimit {
    /// `None` while no head is awaited.
    left: Rc<Cell<Option<usize>>>,
}

impl HeadLimit {
    /// Begins to count the bytes that are read.
    pub(crate) fn begin(&self) {
        self.left.set(Some(HEAD_BYTES_MAX));
    }

    /// Ends the limit: the head is complete.
    pub(crate) fn end(&self) {
        self.left.set(None);
    }
}

/// A connection whose reads fail once a response's head is longer than allowed.
///
/// The HTTP layer reads interim heads (1xx) for as long as they arrive. A server that sends them without end would keep
/// the only thread of the process busy.
#[derive(Debug)]
pub(crate) struct HeadLimitedIo<T> {
    io: T,
    limit: HeadLimit,
}

impl<T> HeadLimitedIo<T> {
    /// Applies `limit` to the reads of a connection.
    pub(crate) const fn new(io: T, limit: HeadLimit) -> Self {
        Self { io, limit }
    }
}

impl<T: Read + Unpin> Read for HeadLimitedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(left) = self.limit.left.get() else {
            return Pin::new(&mut self.io).poll_read(cx, buf);
        };
        let mut bytes = [0; HEAD_READ_BYTES];
        let length = buf.remaining().min(HEAD_READ_BYTES);
        let mut part = ReadBuf::new(&mut bytes[..length]);
        ready!(Pin::new(&mut self.io).poll_read(cx, part.unfilled()))?;
        let read = part.filled();
        let Some(left) = left.checked_sub(read.len()) else {
            let text = format!("response head exceeds {HEAD_BYTES_MAX} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        };
        self.limit.left.set(Some(left));
        buf.put_slice(read);
        Poll::Ready(Ok(()))
    }
}

impl<T: Write + Unpin> Write for HeadLimitedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }
}
