//! A process-wide limit on the bytes that are held for others.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::HeldBytes;

/// A budget of bytes for request and response bodies in memory. Clones share it.
///
/// The budget itself refuses nothing: whoever can still refuse asks for [`Self::free`] first, and what can't be refused
/// any more, such as a response, may exceed the limit.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    limit: Arc<AtomicU64>,
    held: Arc<AtomicU64>,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            limit: Arc::new(AtomicU64::new(limit)),
            held: Arc::default(),
        }
    }

    /// Changes the limit, in bytes. What is held stays held.
    pub fn set_limit(&self, limit: u64) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns the number of bytes that are held.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that are left; 0 if the limit is reached or exceeded.
    #[must_use]
    pub fn free(&self) -> u64 {
        let limit = self.limit.load(Ordering::Relaxed);
        limit.saturating_sub(self.held())
    }

    /// Takes bytes, also above the limit.
    #[must_use]
    pub fn take(&self, bytes: u64) -> HeldBytes {
        HeldBytes::new(&self.held, bytes)
    }

    /// Takes bytes if that many are left.
    #[must_use]
    pub fn try_take(&self, bytes: u64) -> Option<HeldBytes> {
        (bytes <= self.free()).then(|| self.take(bytes))
    }
}
