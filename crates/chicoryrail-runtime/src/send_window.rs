//! Limits the bytes of a stream that are in flight to a slow reader.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_util::task::AtomicWaker;

/// The window of one stream: the bytes that were read from the sender and are not yet written to the receiver's
/// connection. Clones share it.
#[derive(Clone, Debug)]
pub struct SendWindow {
    limit: u64,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    in_flight: AtomicU64,
    /// Most bytes that were in flight.
    peak: AtomicU64,
    /// Task that waits for the window to open.
    waiter: AtomicWaker,
}

impl SendWindow {
    /// Creates a window that closes at `limit` bytes in flight. The last chunk may exceed it.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            state: Arc::default(),
        }
    }

    /// Returns the bytes in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.state.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the most bytes that were in flight at a time.
    #[must_use]
    pub fn peak(&self) -> u64 {
        self.state.peak.load(Ordering::Relaxed)
    }

    /// Ready while the window is open; otherwise wakes the task when bytes have been written.
    pub fn poll_open(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.in_flight() < self.limit {
            return Poll::Ready(());
        }
        self.state.waiter.register(cx.waker());
        if self.in_flight() < self.limit {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }

    /// Returns `data` in flight until its last clone is dropped, which hyper does once it is written.
    #[must_use]
    pub fn send(&self, data: Bytes) -> Bytes {
        let length = data.len() as u64;
        let before = self.state.in_flight.fetch_add(length, Ordering::Relaxed);
        let peak = before + length;
        self.state.peak.fetch_max(peak, Ordering::Relaxed);
        Bytes::from_owner(Chunk {
            data,
            state: Arc::clone(&self.state),
        })
    }
}

struct Chunk {
    data: Bytes,
    state: Arc<State>,
}

impl AsRef<[u8]> for Chunk {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for Chunk {
    fn drop(&mut self) {
        let length = self.data.len() as u64;
        self.state.in_flight.fetch_sub(length, Ordering::Relaxed);
        self.state.waiter.wake();
    }
}
