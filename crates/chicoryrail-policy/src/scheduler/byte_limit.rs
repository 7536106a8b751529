//! Limit on the bytes of request bodies at a server, which grows with time.

use chicoryrail_core::Millis;

/// Growth of the limit in a minute: the servers may have got more memory, or the end may have had another cause. From
/// three quarters it takes three minutes to the bytes under which the server ended.
const GROWTH_PER_MINUTE: f64 = 1.1;

/// Limit on the bytes of request bodies at each server of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ByteLimit {
    bytes: f64,
    learned_at: Millis,
}

impl ByteLimit {
    /// Returns the limit of `bytes` that is learned at `now`.
    pub(super) const fn new(now: Millis, bytes: u64) -> Self {
        Self {
            bytes: bytes as f64,
            learned_at: now,
        }
    }

    /// Returns the limit in bytes at `now`.
    pub(crate) fn at(&self, now: Millis) -> u64 {
        let minutes = now.since(self.learned_at).0 as f64 / 60_000.0;
        (self.bytes * GROWTH_PER_MINUTE.powf(minutes)) as u64
    }
}
