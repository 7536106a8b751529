//! Bytes taken from a budget, given back on drop.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// Bytes that count against a [`ByteBudget`](crate::ByteBudget) until they are dropped.
///
/// The counter is atomic since [`Bytes`] may be dropped on any thread; the router has one.
#[derive(Debug)]
pub struct HeldBytes {
    total: Arc<AtomicU64>,
    bytes: u64,
}

impl HeldBytes {
    /// Counts `bytes` in `total`.
    pub(crate) fn new(total: &Arc<AtomicU64>, bytes: u64) -> Self {
        total.fetch_add(bytes, Ordering::Relaxed);
        Self {
            total: Arc::clone(total),
            bytes,
        }
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Takes bytes of the same budget that are given back by themselves.
    #[must_use]
    pub fn sibling(&self, bytes: u64) -> Self {
        Self::new(&self.total, bytes)
    }

    /// Counts more bytes, also above the budget.
    pub fn grow(&mut self, bytes: u64) {
        self.total.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
    }

    /// Returns `data`, whose last clone gives the bytes back when it is dropped.
    ///
    /// hyper keeps the chunks of a body until they are written, after the body itself has ended, so only the chunks
    /// know when a slow reader has taken them.
    #[must_use]
    pub fn attach(self, data: Bytes) -> Bytes {
        Bytes::from_owner(Tracked { data, _held: self })
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct Tracked {
    data: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for Tracked {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
