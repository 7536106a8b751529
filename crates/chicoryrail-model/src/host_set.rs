//! Sets of hosts.

use std::fmt;

/// Set of hosts by their numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostSet(pub u8);

impl HostSet {
    /// Returns the set of the first `n` hosts.
    #[must_use]
    pub const fn first(n: usize) -> Self {
        Self(((1_u16 << n) - 1) as u8)
    }

    /// Returns `true` if a host is in the set.
    #[must_use]
    pub const fn contains(self, host: usize) -> bool {
        self.0 >> host & 1 == 1
    }

    /// Returns the set with a host.
    #[must_use]
    pub const fn with(self, host: usize) -> Self {
        Self(self.0 | 1 << host)
    }

    /// Returns the set without a host.
    #[must_use]
    pub const fn without(self, host: usize) -> Self {
        Self(self.0 & !(1 << host))
    }

    /// Returns the number of hosts.
    #[must_use]
    pub const fn len(self) -> usize {
        self.0.count_ones() as usize
    }

    /// Returns `true` if there are no hosts.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Iterates over the numbers of the hosts.
    pub fn iter(self) -> impl Iterator<Item = usize> {
        (0..8).filter(move |h| self.contains(*h))
    }
}

impl fmt::Display for HostSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = self.iter().map(|h| format!("h{h}")).collect();
        write!(f, "{}", names.join(", "))
    }
}
