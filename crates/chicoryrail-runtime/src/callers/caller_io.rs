//! I/O of a caller's connection: reads ahead while a request is in flight, and limits the time for a request head.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::BytesMut;
use chicoryrail_core::Millis;
use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use monoio::net::tcp::stream_poll::TcpStreamPoll;
use monoio::time::Sleep;
use monoio::time::sleep;
use monoio_compat::hyper::MonoioIo;

use crate::Clock;
use crate::callers::HeadScanner;
use crate::callers::reset_on_close::set_reset_on_close;

/// Number of requests in flight on one connection. Clones share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight(Rc<Cell<u32>>);

impl InFlight {
    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn start(&self) -> InFlightGuard {
        self.0.set(self.0.get() + 1);
        InFlightGuard(self.clone())
    }

    /// Returns `true` if no request is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.0.get() == 0
    }
}

/// Guard that counts a request as in flight.
#[derive(Debug)]
pub(crate) struct InFlightGuard(InFlight);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}

/// Maximum number of bytes that are read ahead of the request in flight. Further bytes stay in the kernel's receive
/// buffer, so a caller that keeps sending meets back pressure. A head of the default limit of 16 KiB fits twice.
const MAX_READ_AHEAD_BYTES: usize = 32 << 10;

/// Maximum number of bytes of one read.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// A caller's stream. hyper reads from it; while a request is in flight, the stream is also read ahead, so that a
/// disconnect and later requests are noticed.
#[derive(Debug)]
pub(crate) struct CallerStream<T> {
    inner: T,
    scanner: Rc<RefCell<HeadScanner>>,
    /// Bytes that were read ahead of hyper.
    read_ahead: BytesMut,
    /// Whether more than one chunk was read ahead since the buffer was last empty.
    is_large: bool,
    clock: Clock,
    /// When something was last written; `None` before that.
    written_at: Option<Millis>,
    /// Whether closing the connection resets it.
    resets_on_close: bool,
}

/// A caller's TCP stream.
pub(crate) type CallerTcpStream = CallerStream<MonoioIo<TcpStreamPoll>>;

impl CallerTcpStream {
    /// Returns the caller's address.
    pub(crate) fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.inner.peer_addr()
    }

    /// Sets whether closing the connection resets it. It must until the end of a response that ends with its connection:
    /// in order, a part of the response would look complete.
    pub(crate) fn set_reset_on_close(&mut self, resets: bool) {
        if self.resets_on_close == resets {
            return;
        }
        match set_reset_on_close(&*self.inner, resets) {
            Ok(()) => self.resets_on_close = resets,
            Err(e) => log::error!(resets = resets, error:% = e; "connection_end_not_set"),
        }
    }

    /// Returns `true` if closing the connection resets it.
    pub(crate) const fn resets_on_close(&self) -> bool {
        self.resets_on_close
    }
}

impl<T: Write + Unpin> CallerStream<T> {
    /// Ends the stream to the caller behind what was written.
    pub(crate) fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl<T: Read + Unpin> CallerStream<T> {
    pub(crate) fn new(inner: T, scanner: Rc<RefCell<HeadScanner>>) -> Self {
        Self {
            inner,
            scanner,
            read_ahead: BytesMut::new(),
            is_large: false,
            clock: Clock::start(),
            written_at: None,
            resets_on_close: false,
        }
    }

    /// Returns the time since something was last written; `None` if nothing was.
    pub(crate) fn idle_time(&self) -> Option<Millis> {
        self.written_at.map(|at| self.clock.now().since(at))
    }

    /// Reads and drops bytes that the caller has sent, and returns their number: 0 if the caller has ended its stream.
    pub(crate) fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut storage = [MaybeUninit::uninit(); READ_CHUNK_BYTES];
        let mut chunk = ReadBuf::uninit(&mut storage);
        ready!(Pin::new(&mut self.inner).poll_read(cx, chunk.unfilled()))?;
        Poll::Ready(Ok(chunk.filled().len()))
    }

    /// Reads ahead. Ready when the caller has closed the connection or the read failed.
    pub(crate) fn poll_disconnect(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.read_ahead.len() < MAX_READ_AHEAD_BYTES {
            let mut storage = [MaybeUninit::uninit(); READ_CHUNK_BYTES];
            let mut chunk = ReadBuf::uninit(&mut storage);
            match Pin::new(&mut self.inner).poll_read(cx, chunk.unfilled()) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !chunk.filled().is_empty() => {
                    self.scanner.borrow_mut().feed(chunk.filled());
                    self.read_ahead.extend_from_slice(chunk.filled());
                    // hyper may be waiting for these bytes as the rest of a request body.
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
        if !self.read_ahead.is_empty() {
            let length = self.read_ahead.len().min(buf.remaining());
            // The buffer grows to 64 KiB while a large body is read ahead, and would stay that large for as long as the
            // connection lives. Heads of requests hardly ever need more than one chunk.
            self.is_large |= self.read_ahead.len() > READ_CHUNK_BYTES;
            buf.put_slice(&self.read_ahead.split_to(length));
            if self.is_large && self.read_ahead.is_empty() {
                self.read_ahead = BytesMut::new();
                self.is_large = false;
            }
            return Poll::Ready(Ok(()));
        }
        let mut storage = [MaybeUninit::uninit(); READ_CHUNK_BYTES];
        let length = buf.remaining().min(READ_CHUNK_BYTES);
        let mut chunk = ReadBuf::uninit(&mut storage[..length]);
        let read = Pin::new(&mut self.inner).poll_read(cx, chunk.unfilled());
        self.scanner.borrow_mut().feed(chunk.filled());
        buf.put_slice(chunk.filled());
        read
    }
}

/// The I/O object that hyper reads a caller's connection through. A read fails if a request head takes too long.
///
/// hyper has a single timeout for the idle time before a head and for the head itself. Idle connections stay open
/// for long, so without this timeout a caller that sends a byte now and then could occupy a connection as long.
pub(crate) struct CallerIo<T> {
    stream: Rc<RefCell<CallerStream<T>>>,
    head_timeout: Duration,
    /// Requests whose responses, and those whose bodies are not complete.
    in_flight: [InFlight; 2],
    /// Timer that starts with the first byte of a head.
    head_timer: Option<Pin<Box<Sleep>>>,
}

impl<T> CallerIo<T> {
    pub(crate) const fn new(
        stream: Rc<RefCell<CallerStream<T>>>,
        head_timeout: Duration,
        in_flight: [InFlight; 2],
    ) -> Self {
        Self {
            stream,
            head_timeout,
            in_flight,
            head_timer: None,
        }
    }
}

impl<T: Read + Unpin> Read for CallerIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let is_idle = self.in_flight.iter().all(InFlight::is_idle);
        if !is_idle {
            self.head_timer = None;
        }
        let read = self.stream.borrow_mut().poll_read(cx, buf);
        if is_idle && self.head_timer.is_none() && read.is_ready() {
            self.head_timer = Some(Box::pin(sleep(self.head_timeout)));
        }
        if read.is_pending()
            && let Some(timer) = &mut self.head_timer
            && timer.as_mut().poll(cx).is_ready()
        {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        read
    }
}

impl<T: Write + Unpin> Write for CallerIo<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut stream = self.stream.borrow_mut();
        stream.written_at = Some(stream.clock.now());
        Pin::new(&mut stream.inner).poll_write(cx, buf)
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
        let mut stream = self.stream.borrow_mut();
        stream.written_at = Some(stream.clock.now());
        Pin::new(&mut stream.inner).poll_write_vectored(cx, bufs)
    }
}
