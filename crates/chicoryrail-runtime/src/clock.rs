//! The monotonic clock.

use std::time::Duration;

use chicoryrail_core::Millis;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// A process's monotonic clock; its points are never sent to another process.
///
/// It reads CLOCK_BOOTTIME, which goes on while a process is stopped and while its whole machine is
/// suspended; CLOCK_MONOTONIC would stand still in the second case, and a holder of a lease that slept
/// through its end would go on as if nothing had happened.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(now.expect("Linux has CLOCK_BOOTTIME since 2.6.39"))
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// Reads the clock.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::from(since_boot().saturating_sub(self.origin))
    }

    /// Waits for `length`.
    pub async fn sleep(&self, length: Millis) {
        monoio::time::sleep(length.duration()).await;
    }
}
