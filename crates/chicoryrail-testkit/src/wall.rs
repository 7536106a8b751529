//! The wall clock, for records that a checker compares between processes of one machine.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the microseconds since 1970.
#[must_use]
pub fn wall_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}
