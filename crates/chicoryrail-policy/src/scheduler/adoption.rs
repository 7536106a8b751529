//! Tells the slots of servers of requests that another scheduler assigned.

use chicoryrail_core::Millis;

use crate::Scheduler;
use crate::ServerId;
use crate::scheduler::held_request::HeldRequest;

impl Scheduler {
    /// Records a query of a request that tolerates waiting, for one of `servers` that another host schedules by this
    /// host's view.
    pub fn record_query(&mut self, now: Millis, servers: impl Iterator<Item = ServerId>) {
        for id in servers {
            if let Some(slots) = self.servers.get_mut(&id) {
                slots.takeover.record_query(now);
            }
        }
    }

    /// Counts a request that another scheduler assigned to a server. Returns `false` if it is known here or the server
    /// is not.
    pub fn adopt(&mut self, now: Millis, server: ServerId, request: &HeldRequest) -> bool {
        let slots = self.servers.get_mut(&server);
        slots.is_some_and(|slots| slots.adopt(now, request))
    }
}
