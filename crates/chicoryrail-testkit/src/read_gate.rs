//! A gate that stalls what a listener accepts and reads.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use chicoryrail_core::Millis;
use hyper::rt::ReadBufCursor;

/// Stalls a listener for a time: it accepts no connections and reads nothing, but writes.
///
/// What has arrived meanwhile waits in the kernel. Clones share the gate.
#[derive(Clone, Debug, Default)]
pub struct ReadGate {
    opens_at: Rc<Cell<Option<Instant>>>,
}

impl ReadGate {
    /// Closes the gate for `time` from now; it never opens earlier than it would have.
    pub fn close_for(&self, time: Millis) {
        let opens_at = Instant::now() + time.to_duration();
        self.opens_at.set(self.opens_at.get().max(Some(opens_at)));
    }

    /// Waits until the gate is open.
    pub(crate) async fn wait_open(&self) {
        while let Some(opens_at) = self.closed_until() {
            monoio::time::sleep_until(opens_at.into()).await;
        }
    }

    /// Returns when the gate opens; `None` if it is open.
    fn closed_until(&self) -> Option<Instant> {
        self.opens_at.get().filter(|at| *at > Instant::now())
    }
}

/// A stream that reads nothing while its gate is closed.
///
/// What it has read is handled before the next read: a server that finds a whole call and the reset behind it, as after
/// a stall or a pause of its process, carries out the call. Without this, hyper would see the reset first and drop it.
pub(crate) struct GatedIo<T> {
    inner: T,
    gate: ReadGate,
    /// Timer of a read that waits for the gate.
    wait: Option<Pin<Box<monoio::time::Sleep>>>,
    /// Whether the last read returned data that has not been handled yet.
    has_read: bool,
}

impl<T> GatedIo<T> {
    pub(crate) const fn new(inner: T, gate: ReadGate) -> Self {
        Self {
            inner,
            gate,
            wait: None,
            has_read: false,
        }
    }
}

impl<T: hyper::rt::Read + Unpin> hyper::rt::Read for GatedIo<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if std::mem::take(&mut this.has_read) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        while let Some(opens_at) = this.gate.closed_until() {
            let new_wait = || Box::pin(monoio::time::sleep_until(opens_at.into()));
            let mut wait = this.wait.take().unwrap_or_else(new_wait);
            if wait.as_mut().poll(cx).is_pending() {
                this.wait = Some(wait);
                return Poll::Pending;
            }
        }
        this.wait = None;
        let read = Pin::new(&mut this.inner).poll_read(cx, buf);
        this.has_read = matches!(read, Poll::Ready(Ok(())));
        read
    }
}

impl<T: hyper::rt::Write + Unpin> hyper::rt::Write for GatedIo<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write_vectored(cx, bufs)
    }
}
