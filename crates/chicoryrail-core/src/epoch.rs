//! Numbers that order the holders of a right.

use std::fmt;

use bincode::Decode;
use bincode::Encode;
use serde::Deserialize;
use serde::Serialize;

/// The number of a holder's term; the store raises it by compare-and-swap, never lowers it.
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
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the next epoch.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The order of a grant: first the controller's epoch, then its assignment version.
///
/// A server that checks fences refuses everything below the highest fence it has seen.
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
pub struct Fence {
    /// Epoch of the shard's controller.
    pub epoch: Epoch,
    /// Version of the shard's assignment within the epoch and across epochs; only grows.
    pub version: u64,
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.version)
    }
}
