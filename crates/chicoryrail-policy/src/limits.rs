//! Limits of a queue.

use chicoryrail_core::Millis;

/// Limits of a queue; its length follows from them, from the measured service time and from the
/// deadlines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Part of its remaining time that a request may be expected to wait.
    ///
    /// Half: the estimate of the wait may be wrong by a factor of two before an admitted request
    /// dies in the queue, and a burst of twice the capacity for half a deadline is still absorbed.
    pub patience: f64,
    /// Waiting time after which the oldest batch request is served by its guaranteed share.
    ///
    /// A second: far above the wait at which a queue of lookups is already refused, so the share is
    /// drawn upon only while lookups keep every slot busy.
    pub batch_age: Millis,
    /// The guaranteed share of slot time.
    ///
    /// A tenth: batch of 200 ms keeps moving, and lookups lose no more than a tenth of the slots.
    pub batch_share: f64,
    /// Service time that is assumed until one was measured, in microseconds.
    pub prior_us: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            patience: 0.5,
            batch_age: Millis(1_000),
            batch_share: 0.1,
            prior_us: 2_000,
        }
    }
}
