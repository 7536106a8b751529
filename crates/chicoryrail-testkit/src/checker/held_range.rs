//! Keys that a server held for a time.

/// Keys that a server held for a time, renewals included. Times are in microseconds since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HeldRange<'a> {
    /// Name of the server.
    pub(super) server: &'a str,
    /// First key.
    pub(super) first: u16,
    /// Last key, inclusive.
    pub(super) last: u16,
    /// Time of the first grant.
    pub(super) from: u64,
    /// End of the last lease, or of the server's process if that is earlier.
    pub(super) until: u64,
}

impl HeldRange<'_> {
    /// Splits off the keys from `first` to `last`; returns them, if any, and the other keys below and above.
    pub(super) fn split(self, first: u16, last: u16) -> (Option<Self>, [Option<Self>; 2]) {
        if self.last < first || last < self.first {
            return (None, [Some(self), None]);
        }
        let inside = Self {
            first: self.first.max(first),
            last: self.last.min(last),
            ..self
        };
        let below = (self.first < inside.first).then(|| Self {
            last: inside.first - 1,
            ..self
        });
        let above = (inside.last < self.last).then(|| Self {
            first: inside.last + 1,
            ..self
        });
        (Some(inside), [below, above])
    }

    /// Returns the keys and the time that both have in common, as part of `self`.
    pub(super) fn overlap(self, other: Self) -> Option<Self> {
        let common = Self {
            first: self.first.max(other.first),
            last: self.last.min(other.last),
            from: self.from.max(other.from),
            until: self.until.min(other.until),
            ..self
        };
        (common.first <= common.last && common.from < common.until).then_some(common)
    }

    /// Returns the length of the time in microseconds.
    pub(super) const fn length(self) -> u64 {
        self.until - self.from
    }
}
