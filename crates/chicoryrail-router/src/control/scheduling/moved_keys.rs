//! Redirects waiting requests whose keys moved to servers that other hosts schedule.

use std::rc::Rc;

use chicoryrail_ownership::SchedulerHost;

use crate::control::scheduling::part_schedulers::remove_origin;
use crate::control::scheduling::part_schedulers::reply_to;
use crate::messages::PartName;
use crate::messages::SlotReply;
use crate::state::Router;
use crate::state::Service;

/// Redirects waiting requests after their keys moved to a server that another host schedules.
///
/// The other host does not know of requests that this host assigns to that server, so together they could use more than
/// its slots.
pub(crate) fn redirect_moved_keys(router: &Rc<Router>, service: &Service) {
    let part = PartName::unpartitioned(&service.name);
    let elsewhere: Vec<u64> = {
        let schedulers = router.schedulers.by_part.borrow();
        let Some(scheduler) = schedulers.get(&part) else {
            return;
        };
        let keys = service.keys.borrow();
        let moved = scheduler.queued_keys().filter(|(_, key)| {
            let owner = keys.assigned_owner(*key);
            router.server_scheduler(service, owner) != SchedulerHost::Here
        });
        moved.map(|(ticket, _)| ticket).collect()
    };
    for ticket in elsewhere {
        if let Some(scheduler) = router.schedulers.by_part.borrow_mut().get_mut(&part) {
            scheduler.cancel(ticket);
        }
        if let Some(origin) = remove_origin(router, ticket) {
            reply_to(router, origin.from, ticket, SlotReply::Elsewhere);
        }
    }
}
