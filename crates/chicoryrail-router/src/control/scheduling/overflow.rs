//! Requests that go to another part of a service because their own has no room.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_ownership::SchedulerHost;
use chicoryrail_policy::Scheduler;

use crate::control::scheduling::part_schedulers::answer;
use crate::control::scheduling::part_schedulers::left;
use crate::control::scheduling::part_schedulers::set_servers;
use crate::state::Router;
use crate::talk::PartName;
use crate::talk::PartRoom;
use crate::talk::SlotQuery;
use crate::talk::SlotReply;

/// Tells whether a part has a free slot for which nobody waits; its servers must be up to date.
pub(super) fn has_free(router: &Router, part: &PartName) -> bool {
    let schedulers = router.schedulers.by_part.borrow();
    // The request itself waits already.
    let free = |s: &Scheduler| s.free(router.now()) >= s.waiting();
    schedulers.get(part).is_some_and(free)
}

/// Sends a request to another part of the service that has room, where one does.
///
/// Load: callers are not spread over the data centres as the servers are. Without this, requests of one wait or are
/// refused beside free slots of another.
pub(super) fn send_elsewhere(
    router: &Rc<Router>,
    ask: &SlotQuery,
    from: Option<SocketAddr>,
) -> bool {
    let Some(dc) = router.schedulers.take_room(router.now(), &ask.part) else {
        return false;
    };
    left(router, &ask.part, ask.ticket);
    answer(router, from, ask.ticket, SlotReply::Overflow(dc));
    true
}

/// Returns the free slots of the parts for which this host schedules.
pub(crate) fn free_slots(router: &Router) -> Vec<PartRoom> {
    let now = router.now();
    let mut schedulers = router.schedulers.by_part.borrow_mut();
    let mut rooms = Vec::new();
    for service in router.services() {
        let parts = service.parts().into_iter();
        let ours = parts.filter(|p| router.part_scheduler(p) == SchedulerHost::Here);
        for part in ours {
            let scheduler = schedulers.entry(part.clone()).or_default();
            set_servers(router, &service, &part, scheduler, now);
            let free = scheduler.free(now).saturating_sub(scheduler.waiting());
            let free = free as u32;
            rooms.push(PartRoom { part, free });
        }
    }
    rooms
}
