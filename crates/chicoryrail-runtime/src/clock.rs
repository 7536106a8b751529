//! The monotonic clock.

use std::time::Instant;

use chicoryrail_core::Millis;

/// A process's monotonic clock; its points are never sent to another process.
///
/// `Instant` reads CLOCK_MONOTONIC, which goes on while a process is stopped, so a process that
/// slept sees at its next reading how long it was gone.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Reads the clock.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::from(self.origin.elapsed())
    }

    /// Waits for `length`.
    pub async fn sleep(&self, length: Millis) {
        monoio::time::sleep(length.duration()).await;
    }

    /// Waits until `point`; returns at once where it has passed.
    pub async fn sleep_until(&self, point: Millis) {
        self.sleep(point.since(self.now())).await;
    }
}
