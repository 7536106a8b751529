//! Overflow: requests that go to another part of a service because their own part has no free slot.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_ownership::SchedulerHost;
use chicoryrail_policy::Scheduler;

use crate::control::scheduling::part_schedulers::new_scheduler;
use crate::control::scheduling::part_schedulers::remove_request;
use crate::control::scheduling::part_schedulers::reply_to;
use crate::control::scheduling::server_sync::sync_servers;
use crate::messages::PartName;
use crate::messages::PartRoom;
use crate::messages::SlotQuery;
use crate::messages::SlotReply;
use crate::state::Router;

/// Returns `true` if a part has a free slot beyond those for waiting requests. The scheduler's servers must be up to
/// date.
pub(super) fn has_free_slot(router: &Router, part: &PartName) -> bool {
    let schedulers = router.schedulers.by_part.borrow();
    // The new request is already among the waiting ones.
    let free = |s: &Scheduler| s.free_slots(router.now()) >= s.queue_length();
    schedulers.get(part).is_some_and(free)
}

/// Redirects a request to another part of the service that has a free slot; returns `false` if there is none.
///
/// Callers are not distributed over the data centres as the servers are. Without overflow, requests in one data centre
/// would wait or be refused while slots in another are free.
pub(super) fn redirect_overflow(
    router: &Rc<Router>,
    query: &SlotQuery,
    from: Option<SocketAddr>,
) -> bool {
    let Some(dc) = router.schedulers.take_free_slot(router.now(), &query.part) else {
        return false;
    };
    remove_request(router, &query.part, query.ticket);
    reply_to(router, from, query.ticket, SlotReply::Overflow(dc));
    true
}

/// Returns the free slots of the parts that this host schedules, minus the requests that wait there.
pub(crate) fn free_slots(router: &Router) -> Vec<PartRoom> {
    let now = router.now();
    let mut schedulers = router.schedulers.by_part.borrow_mut();
    let mut free_slots = Vec::new();
    for service in router.services() {
        let parts = service.parts().into_iter();
        let own_parts = parts.filter(|p| router.part_scheduler(p) == SchedulerHost::Here);
        for part in own_parts {
            let scheduler = schedulers
                .entry(part.clone())
                .or_insert_with(|| new_scheduler(router));
            sync_servers(router, &service, &part, scheduler, now);
            let free = scheduler
                .free_slots(now)
                .saturating_sub(scheduler.queue_length());
            let free = free as u32;
            free_slots.push(PartRoom { part, free });
        }
    }
    free_slots
}
