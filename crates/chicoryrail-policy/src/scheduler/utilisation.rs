//! What a scheduler knows of the use of its servers.

use chicoryrail_core::Millis;

use crate::Scheduler;
use crate::ServerId;
use crate::scheduler::Placement;
use crate::scheduler::server_slots::ServerSlots;

impl Scheduler {
    /// Returns the number of servers that accept work and get none because they were full or their connections failed.
    #[must_use]
    pub fn paused_servers(&self, now: Millis) -> usize {
        let accepting = self.servers.values().filter(|s| s.state.accepting);
        accepting.filter(|s| s.is_paused(now)).count()
    }

    /// Returns the number of requests in flight at the servers that this host schedules, and the number of slots of
    /// those servers that accept work.
    #[must_use]
    pub fn occupancy(&self) -> (usize, u32) {
        let servers = self.servers.values().filter(|s| s.state.scheduled_here);
        let busy = servers.clone().map(ServerSlots::busy).sum();
        let slots = servers
            .filter(|s| s.state.accepting)
            .map(|s| s.state.slots)
            .sum();
        (busy, slots)
    }

    /// Returns the number of requests that a server is given at once: its slots, or fewer after it fell silent. Returns
    /// `None` for an unknown server.
    #[must_use]
    pub fn usable_slots(&self, server: ServerId) -> Option<u32> {
        Some(self.servers.get(&server)?.usable_slots())
    }

    /// Returns the number of slots that are free now; a server that warms up or has a rate limit has at most one.
    #[must_use]
    pub fn free_slots(&self, now: Millis) -> usize {
        let servers = self.servers.values();
        servers.map(|s| s.free_slots(now)).sum()
    }

    /// Returns the observed mean time for work at a server relative to a usual one: above 1 is slower than usual. An
    /// unknown server counts as usual.
    #[must_use]
    pub fn slowness(&self, server: ServerId) -> f64 {
        self.servers
            .get(&server)
            .map_or(1.0, ServerSlots::mean_slowness)
    }

    /// Returns the number of usual slots that do as much work as a server's rate limit admits; `None` if the server has
    /// no limit.
    #[must_use]
    pub fn limited_slots(&self, server: ServerId) -> Option<f64> {
        self.servers.get(&server)?.limited_slots()
    }

    /// Returns `true` if a placement is an owner that advertises a rate limit.
    pub(super) fn is_limited(&self, placement: Placement) -> bool {
        let Placement::Owner(owner) = placement else {
            return false;
        };
        let slots = self.servers.get(&owner);
        slots.is_some_and(|slots| slots.state.rate_limit.is_some())
    }
}
