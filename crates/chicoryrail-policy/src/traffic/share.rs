//! A share of requests or of capacity.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Parts of a whole in which shares are counted. Whole numbers do not drift, however many requests are counted.
pub(super) const WHOLE: u64 = 1_000_000;

/// A share of requests or of capacity, from 0 (nothing) to 1 (everything).
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(f64);

impl Share {
    /// Everything.
    pub const ALL: Self = Self(1.0);

    /// Creates a share.
    ///
    /// # Errors
    ///
    /// Returns the value if it is not a number from 0 to 1.
    pub fn new(value: f64) -> Result<Self, ShareError> {
        if (0.0..=1.0).contains(&value) {
            return Ok(Self(value));
        }
        let text = value.to_string();
        Err(ShareError { text })
    }

    /// Returns the share as a fraction, from 0 to 1.
    #[must_use]
    pub const fn fraction(self) -> f64 {
        self.0
    }

    /// Returns `true` if the share is nothing.
    #[must_use]
    pub fn is_none(self) -> bool {
        self.0 <= 0.0
    }

    /// Returns this share of a number of slots, rounded, but at least one of them: who gives a server nothing closes it.
    #[must_use]
    pub fn of_slots(self, slots: u32) -> u32 {
        ((f64::from(slots) * self.0).round() as u32)
            .max(1)
            .min(slots)
    }

    /// Returns the share in parts of [`WHOLE`].
    pub(super) fn parts(self) -> u64 {
        (self.0 * WHOLE as f64).round() as u64
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> Self {
        share.0
    }
}

impl TryFrom<f64> for Share {
    type Error = ShareError;

    fn try_from(value: f64) -> Result<Self, ShareError> {
        Self::new(value)
    }
}

impl FromStr for Share {
    type Err = ShareError;

    fn from_str(text: &str) -> Result<Self, ShareError> {
        let value = text.parse().unwrap_or(f64::NAN);
        Self::new(value).map_err(|_| ShareError { text: text.into() })
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A value that is not a share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareError {
    /// The value as it was given.
    pub text: String,
}

impl fmt::Display for ShareError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "share {} is not a number from 0 to 1", self.text)
    }
}

impl std::error::Error for ShareError {}
