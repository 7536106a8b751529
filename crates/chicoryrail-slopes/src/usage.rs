//! What this process has used.

use std::fs;
use std::time::Duration;

use nix::sys::resource::UsageWho;
use nix::sys::resource::getrusage;
use nix::sys::time::TimeVal;

/// Processor time and memory of this process at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// User and system time since the start.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
}

impl Usage {
    /// Reads the figures of now; memory is 0 where the system does not tell it.
    #[must_use]
    pub fn now() -> Self {
        let cpu = getrusage(UsageWho::RUSAGE_SELF)
            .map(|u| length(u.user_time()) + length(u.system_time()))
            .unwrap_or_default();
        let pages = fs::read_to_string("/proc/self/statm")
            .ok()
            .and_then(|s| s.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()))
            .unwrap_or(0);
        Self {
            cpu,
            memory: pages * 4_096,
        }
    }

    /// Returns the processor time since `earlier`, in microseconds.
    #[must_use]
    pub fn cpu_since(self, earlier: Self) -> f64 {
        self.cpu.saturating_sub(earlier.cpu).as_secs_f64() * 1e6
    }

    /// Returns the memory grown since `earlier`, in bytes.
    #[must_use]
    pub fn memory_since(self, earlier: Self) -> f64 {
        self.memory as f64 - earlier.memory as f64
    }
}

fn length(t: TimeVal) -> Duration {
    Duration::from_secs(t.tv_sec() as u64) + Duration::from_micros(t.tv_usec() as u64)
}
