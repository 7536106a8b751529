//! A range of the hash space.

use std::fmt;

use bincode::Decode;
use bincode::Encode;
use serde::Deserialize;
use serde::Serialize;

use crate::KeyHash;

/// A closed range of positions, `first..=last`.
///
/// Both ends belong to the slice, so that the whole space and a single hot key have a value.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct Slice {
    /// First position of the slice.
    pub first: u64,
    /// Last position of the slice, at least `first`.
    pub last: u64,
}

impl Slice {
    /// The whole hash space.
    pub const FULL: Self = Self {
        first: 0,
        last: u64::MAX,
    };

    /// Returns the slice of one position.
    #[must_use]
    pub const fn of(key: KeyHash) -> Self {
        Self {
            first: key.0,
            last: key.0,
        }
    }

    /// Returns part `i` of `n` equal parts of the slice, whose lengths differ by one at most.
    ///
    /// Borders are rounded up, as [`KeyHash::part`] rounds its answer down: a border rounded down
    /// would give the position at it to a part that the key's own answer doesn't name, and the key
    /// would be asked for at a section whose slices don't hold it.
    #[must_use]
    pub fn part(self, i: u32, n: u32) -> Self {
        let n = u128::from(n.max(1));
        let i = u128::from(i);
        let size = u128::from(self.last - self.first) + 1;
        let at = |i: u128| self.first + (size * i).div_ceil(n) as u64;
        let last = if i + 1 == n { self.last } else { at(i + 1) - 1 };
        Self { first: at(i), last }
    }

    /// Tells whether the position lies in the slice.
    #[must_use]
    pub const fn contains(self, key: KeyHash) -> bool {
        self.first <= key.0 && key.0 <= self.last
    }

    /// Tells whether the two slices share a position.
    #[must_use]
    pub const fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Returns the share of the whole space, 0 to 1.
    #[must_use]
    pub fn share(self) -> f64 {
        ((self.last - self.first) as f64 + 1.0) / (u64::MAX as f64 + 1.0)
    }
}

impl fmt::Display for Slice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.first, self.last)
    }
}
