//! The monotonic clock.

use std::time::Duration;

use chicoryrail_core::Millis;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// The monotonic clock of one process. Its timestamps have no meaning in other processes, which at most return them.
///
/// It reads CLOCK_BOOTTIME, which advances while the process is stopped and while the machine is suspended.
/// CLOCK_MONOTONIC does not advance during a suspend: a lease owner that is suspended past the end of its lease
/// would continue as if the lease were still valid.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(now.expect("Linux has CLOCK_BOOTTIME since 2.6.39"))
}

impl Clock {
    /// Returns a clock that counts from zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// Returns the time since the clock was started, in milliseconds.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::from(since_boot().saturating_sub(self.origin))
    }

    /// Sleeps for `length`.
    pub async fn sleep(&self, length: Millis) {
        monoio::time::sleep(length.to_duration()).await;
    }
}
