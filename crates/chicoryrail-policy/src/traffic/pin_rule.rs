//! A range of keys that stays with a server.

use std::fmt;

use chicoryrail_core::ServerName;
use chicoryrail_core::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// Keeps a range of a service's keys with a server while that server may own keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "StoredPin")]
pub struct PinRule {
    /// The keyed service.
    pub service: ServiceName,
    /// First key of the range.
    pub first: u16,
    /// Last key of the range, included; not below `first`.
    pub last: u16,
    /// The server.
    pub server: ServerName,
}

impl PinRule {
    /// Checks the range.
    ///
    /// # Errors
    ///
    /// Returns the range if its first key is above its last.
    pub const fn check_range(first: u16, last: u16) -> Result<(), RangeError> {
        if first > last {
            return Err(RangeError { first, last });
        }
        Ok(())
    }

    /// Returns `true` if both rules pin a key of the same service.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        self.service == other.service && self.first <= other.last && other.first <= self.last
    }
}

/// A pin as it is stored, whose range is not checked yet.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredPin {
    service: ServiceName,
    first: u16,
    last: u16,
    server: ServerName,
}

impl TryFrom<StoredPin> for PinRule {
    type Error = RangeError;

    fn try_from(stored: StoredPin) -> Result<Self, RangeError> {
        let StoredPin {
            service,
            first,
            last,
            server,
        } = stored;
        Self::check_range(first, last)?;
        Ok(Self {
            service,
            first,
            last,
            server,
        })
    }
}

/// A range whose first key is above its last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RangeError {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
}

impl fmt::Display for RangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { first, last } = self;
        write!(
            f,
            "range {first}-{last}: the first key is above the last one"
        )
    }
}

impl std::error::Error for RangeError {}
