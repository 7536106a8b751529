//! The position of a key in the hash space.

use std::fmt;

use bincode::Decode;
use bincode::Encode;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::percent_decode;

/// The 64-bit position of a key (XXH3), the same in every process and release.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(transparent)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes the text of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(xxh3_64(key.as_bytes()))
    }

    /// Hashes the key that a path segment stands for; `None` where its percent-encoding is broken.
    ///
    /// `kit%2D1` and `kit-1` are the same key to a server, so they must have the same owner: without
    /// decoding, two servers would each take themselves for the one owner of what callers mean.
    #[must_use]
    pub fn of_segment(segment: &str) -> Option<Self> {
        if !segment.contains('%') {
            return Some(Self::of(segment));
        }
        percent_decode(segment).map(|key| Self(xxh3_64(&key)))
    }

    /// Returns which of `n` equal parts of the space holds the position; `n` of 0 counts as 1.
    #[must_use]
    pub fn part(self, n: u32) -> u32 {
        let n = u128::from(n.max(1));
        // Shifted down by 64 bits, the product is below n, so it fits.
        ((u128::from(self.0) * n) >> 64) as u32
    }

    /// Returns the rendezvous weight of `node` for this position; the highest of a set wins.
    #[must_use]
    pub fn weight(self, node: &str) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(node.as_bytes(), self.0)
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
