//! The wall clock. Records carry its time so that the checker can compare those of several processes of one machine.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the wall-clock time in microseconds since 1970.
#[must_use]
pub fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}
