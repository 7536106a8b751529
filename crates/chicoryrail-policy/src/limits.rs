//! Limits of a queue.

use chicoryrail_core::Millis;

/// Limits of a queue; its length follows from them, from the measured service time and from the
/// deadlines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Part of its spare time (what is left until its deadline, less its service) that a request may
    /// be expected to wait.
    ///
    /// Half: the estimate of the wait may be wrong by a factor of two before an admitted request
    /// dies in the queue, and a burst of twice the capacity for half a deadline is still absorbed.
    pub patience: f64,
    /// The same once the queue has not been empty for [`Limits::standing`].
    ///
    /// A twentieth: a queue that stands is no burst; its length adds nothing to what is done and
    /// only makes everybody wait. As many requests as there are slots may always wait, so that no
    /// slot goes idle between two requests.
    pub standing_patience: f64,
    /// Time after which a queue that was never empty counts as standing.
    ///
    /// A second: a burst of four times the load for half a second is absorbed and worked off by
    /// then.
    pub standing: Millis,
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
            standing_patience: 0.05,
            standing: Millis(1_000),
            batch_age: Millis(1_000),
            batch_share: 0.1,
            prior_us: 2_000,
        }
    }
}
