//! Stand-in for a server.

use chicoryrail_core::Millis;

/// Server that owns the key while its lease runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Server {
    /// Highest fencing token that it has seen.
    pub fence: u64,
    /// End of its lease.
    pub held_until: Millis,
}

impl Server {
    /// Returns `true` if the server owns the key.
    #[must_use]
    pub fn holds(self, now: Millis) -> bool {
        now < self.held_until
    }

    /// Applies a grant that arrives; returns `false` if it is refused.
    pub fn grant(&mut self, now: Millis, fence: u64, lease: Millis) -> bool {
        let accepted = fence >= self.fence;
        if accepted {
            self.fence = fence;
            self.held_until = self.held_until.max(now + lease);
        }
        accepted
    }

    /// Applies a release that arrives; returns `false` if it is refused.
    pub fn release(&mut self, fence: u64) -> bool {
        let accepted = fence >= self.fence;
        if accepted {
            self.fence = fence;
            self.held_until = Millis::ZERO;
        }
        accepted
    }
}
