//! Redirects waiting requests of a host that stops to the hosts that schedule in its place.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::SchedulerHost;

use crate::control::scheduling::part_schedulers::remove_request;
use crate::control::scheduling::part_schedulers::reply_to;
use crate::messages::SlotQuery;
use crate::messages::SlotReply;
use crate::state::Router;
use crate::state::Service;

/// Time from the stop until the other hosts' schedulers know the requests at the servers that they take over: a heartbeat
/// tells of the stop within 400 ms, hosts look each 100 ms whether the scheduler of a server has changed, and the new one
/// waits 150 ms for their reports.
const TAKEOVER_TIME: Millis = Millis(700);

/// Redirects a request that waits here, at its repeated query, if this host is stopping and another one schedules in its
/// place. Returns `false` if the request stays.
///
/// Both hosts would assign the same slots for as long as requests wait here, and the process may exit before they are
/// served. The other host takes a request into the same order, by its latency target or its deadline. A host that does not
/// know yet that this one stops sends the query here again; it is then a new one, which is redirected at its next
/// repetition at the earliest.
pub(super) fn redirect_at_stop(
    router: &Rc<Router>,
    service: &Service,
    query: &SlotQuery,
    from: Option<SocketAddr>,
) -> bool {
    let stop = router.process_end.times();
    if stop.is_none_or(|stop| router.now().since(stop.begun) < TAKEOVER_TIME) {
        return false;
    }
    let has_token = {
        let origins = router.schedulers.origins.borrow();
        origins
            .get(&query.ticket)
            .is_some_and(|o| o.token.is_some())
    };
    // The other host may have no token for the request.
    if has_token || scheduler_of(router, service, query) == SchedulerHost::Here {
        return false;
    }
    remove_request(router, &query.part, query.ticket);
    reply_to(router, from, query.ticket, SlotReply::Elsewhere);
    true
}

fn scheduler_of(router: &Router, service: &Service, query: &SlotQuery) -> SchedulerHost {
    let Some(key) = query.key.filter(|_| query.part.dc.is_none()) else {
        return router.part_scheduler(&query.part);
    };
    let keys = service.keys.borrow();
    router.server_scheduler(service, keys.assigned_owner(key))
}
