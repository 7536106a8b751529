//! Decides on the waiting requests of a part, and replies with the scheduler's decisions.

use std::rc::Rc;

use chicoryrail_ownership::keys::KeyOwner;
use chicoryrail_policy::Decision;
use chicoryrail_policy::Placement;
use chicoryrail_policy::Scheduler;

use crate::control::scheduling::part_schedulers::refresh_servers;
use crate::control::scheduling::part_schedulers::remove_origin;
use crate::control::scheduling::part_schedulers::reply_to;
use crate::messages::PartName;
use crate::messages::SlotReply;
use crate::state::Router;
use crate::state::Target;

/// Updates a part's servers, and decides on its waiting requests where possible.
pub(super) fn assign_waiting(router: &Rc<Router>, part: &PartName) {
    refresh_servers(router, part);
    decide(router, part);
}

/// Decides on a part's waiting requests where possible, and replies to the hosts that sent the queries.
pub(super) fn decide(router: &Rc<Router>, part: &PartName) {
    let now = router.now();
    let service = router.service(&part.service);
    let decisions = {
        let mut schedulers = router.schedulers.by_part.borrow_mut();
        let Some(scheduler) = schedulers.get_mut(part).filter(|s| s.queue_length() > 0) else {
            return;
        };
        let keys = service.keys.borrow();
        scheduler.poll(now, |key| match keys.owner(now, key) {
            KeyOwner::Granted(life) => service
                .target(&life)
                .map_or(Placement::Unassigned, |t| Placement::Owner(t.id)),
            KeyOwner::Moving | KeyOwner::Unassigned => Placement::Unassigned,
        })
    };
    for (ticket, decision) in decisions {
        send_decision(router, part, ticket, decision);
    }
}

/// Replies with the decision on a request to the host that sent its query.
pub(super) fn send_decision(router: &Rc<Router>, part: &PartName, ticket: u64, decision: Decision) {
    let service = router.service(&part.service);
    let reply = match decision {
        Decision::Refuse(after) => SlotReply::Refuse(after.0),
        Decision::Return(after) => SlotReply::Return(after.0),
        Decision::Send(id) => {
            let targets = service.targets.borrow();
            // No reply is sent if the server is no longer known.
            let Some(target) = targets.values().find(|t| t.id == id) else {
                return;
            };
            log_warmup_assignment(router, target, ticket);
            SlotReply::Send(target.life.clone())
        }
    };
    // A request that is sent keeps its quota token; any other gives it back.
    let origin = match reply {
        SlotReply::Send(_) => router.schedulers.origins.borrow_mut().remove(&ticket),
        _ => remove_origin(router, ticket),
    };
    let Some(origin) = origin else {
        return;
    };
    if let SlotReply::Refuse(after) | SlotReply::Return(after) = reply {
        let schedulers = router.schedulers.by_part.borrow();
        let scheduler = schedulers.get(part);
        let (busy, slots) = scheduler.map_or((0, 0), Scheduler::occupancy);
        let paused = scheduler.map_or(0, |s| s.paused_servers(router.now()));
        log::info!(request = origin.id, service:% = service.name, room_in_ms = after,
            returns = matches!(reply, SlotReply::Return(_)), busy = busy,
            slots = slots, waiting = scheduler.map_or(0, Scheduler::queue_length), paused = paused;
            "scheduler_refused");
    }
    reply_to(router, origin.from, ticket, reply);
}

/// Logs that a request is assigned to a server that is warming up, and since when this host schedules for that server.
fn log_warmup_assignment(router: &Router, target: &Target, ticket: u64) {
    let now = router.now();
    if !target.is_warming_up(now) {
        return;
    }
    let origins = router.schedulers.origins.borrow();
    let origin = origins.get(&ticket);
    let scheduled_ms = match target.scheduled_here.get() {
        Some(true) => now.since(router.scheduled_since(target)).0 as i64,
        Some(false) | None => -1,
    };
    log::info!(request = origin.map_or("-", |o| o.id.as_str()), server:% = target.life,
        from:? = origin.and_then(|o| o.from), scheduled_ms = scheduled_ms,
        core_hosts = router.peers.borrow().core_host_count(),
        warmup_left_ms = target.warmup_until.get().since(now).0; "warmup_assigned");
}
