//! The project's one time value.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use bincode::Decode;
use bincode::Encode;
use serde::Deserialize;
use serde::Serialize;

/// A point in time or a length of time, in milliseconds.
///
/// As a point it counts from the start of one process's monotonic clock, so points of two
/// processes are never compared; only lengths travel between processes.
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
    /// The start of the clock, or a length of nothing.
    pub const ZERO: Self = Self(0);
    /// The latest point; a deadline that never comes.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the value as a standard duration.
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns `self - other`, or zero where `other` is later.
    #[must_use]
    pub const fn since(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the value times `n`, held at [`Millis::MAX`].
    #[must_use]
    pub const fn times(self, n: u64) -> Self {
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
