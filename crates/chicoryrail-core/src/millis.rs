//! Time in milliseconds.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use bincode::Decode;
use bincode::Encode;
use serde::Deserialize;
use serde::Serialize;

/// Longest duration that a timer gets: 100 years.
const DURATION_MAX: Millis = Millis(100 * 365 * 24 * 3_600_000);

/// A point in time or a duration, in milliseconds.
///
/// A point in time counts from the start of one process's monotonic clock. Points of different processes must not be
/// compared, so only durations are sent between processes, and points that the receiver merely returns.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Encode,
    Decode,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The start of the clock, or an empty duration.
    pub const ZERO: Self = Self(0);
    /// The latest point in time; as a deadline, it never passes.
    pub const MAX: Self = Self(u64::MAX);

    /// Converts the value to a standard duration of at most 100 years. Timers do not accept one that ends beyond the range
    /// of the clock.
    #[must_use]
    pub const fn to_duration(self) -> Duration {
        if self.0 > DURATION_MAX.0 {
            return Duration::from_millis(DURATION_MAX.0);
        }
        Duration::from_millis(self.0)
    }

    /// Returns `self - other`, or zero if `other` is later.
    #[must_use]
    pub const fn since(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the value multiplied by `n`, saturating at [`Millis::MAX`].
    #[must_use]
    pub const fn saturating_mul(self, n: u64) -> Self {
        Self(self.0.saturating_mul(n))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.since(other)
    }
}

impl From<Duration> for Millis {
    fn from(d: Duration) -> Self {
        Self(u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
