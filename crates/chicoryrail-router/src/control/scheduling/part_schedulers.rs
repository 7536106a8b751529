//! The schedulers of parts on this host, and their replies.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_policy::Scheduler;
use chicoryrail_policy::SlotState;

use crate::state::Origin;
use crate::state::Router;
use crate::state::Service;
use crate::talk::Packet;
use crate::talk::PartName;
use crate::talk::SlotReply;

/// Takes in that a caller has left.
pub(super) fn left(router: &Router, part: &PartName, ticket: u64) {
    if let Some(scheduler) = router.schedulers.by_part.borrow_mut().get_mut(part) {
        scheduler.leave(ticket);
    }
    forget(router, ticket);
}

/// Forgets a request that does not run from here; the token that it had is free again.
pub(super) fn forget(router: &Router, ticket: u64) -> Option<Origin> {
    let origin = router.schedulers.origins.borrow_mut().remove(&ticket)?;
    if let Some(organisation) = &origin.token {
        router.quota.give_back(organisation);
    }
    Some(origin)
}

/// Brings the servers of a part for which requests wait up to date.
pub(super) fn refresh(router: &Router, part: &PartName) {
    let service = router.service(&part.service);
    let mut schedulers = router.schedulers.by_part.borrow_mut();
    if let Some(scheduler) = schedulers.get_mut(part).filter(|s| s.waiting() > 0) {
        set_servers(router, &service, part, scheduler, router.now());
    }
}

/// Brings the scheduler's servers in line with what is believed of them. That changes with entries, with answers
/// (a server says that it is cold) and with time (a leaving one's is over), so it is done for each decision.
pub(super) fn set_servers(
    router: &Router,
    service: &Service,
    part: &PartName,
    scheduler: &mut Scheduler,
    now: Millis,
) {
    let bound = router.cold_bound(&service.name);
    let targets = service.targets.borrow();
    let any_ready = targets.values().any(|t| t.is_ready());
    let mut count = 0;
    for target in targets.values().filter(|t| part.has(&t.dc)) {
        count += 1;
        let state = SlotState {
            slots: target.slots.get(),
            open: if any_ready && !service.is_keyed() {
                target.is_ready()
            } else {
                target.may_get(now)
            },
            cold_until: target.cold_until.get(),
            cold_bound: bound,
            limit: target.limit.get().rate(now),
            near: router.schedulers.dc_number(&target.dc),
            ours: target.ours.get().unwrap_or(false),
        };
        scheduler.set(now, target.id, state);
    }
    // All targets of the part are among the scheduler's servers, so one too many is gone.
    if scheduler.servers() > count {
        scheduler.retain(|id| targets.values().any(|t| t.id == id));
    }
}

/// Replies to the host that asked, or to this one.
pub(super) fn answer(router: &Rc<Router>, to: Option<SocketAddr>, ticket: u64, reply: SlotReply) {
    match to {
        Some(addr) => router.talk.post(Packet::SlotReply { ticket, reply }, addr),
        None => {
            router.asks.replied(ticket, reply);
        }
    }
}
