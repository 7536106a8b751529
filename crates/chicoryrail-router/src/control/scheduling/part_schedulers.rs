//! The schedulers of parts on this host: their servers, their queued requests, and replies.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_policy::Scheduler;
use chicoryrail_policy::ServerStatus;

use crate::messages::Packet;
use crate::messages::PartName;
use crate::messages::SlotReply;
use crate::state::QueryOrigin;
use crate::state::Router;
use crate::state::Service;

/// Removes a request that is not assigned to a server from its scheduler, and gives back its quota token.
pub(super) fn remove_request(router: &Router, part: &PartName, ticket: u64) {
    if let Some(scheduler) = router.schedulers.by_part.borrow_mut().get_mut(part) {
        scheduler.cancel(ticket);
    }
    remove_origin(router, ticket);
}

/// Removes and returns the origin of a request that this host does not assign to a server, and gives back its quota
/// token.
pub(super) fn remove_origin(router: &Router, ticket: u64) -> Option<QueryOrigin> {
    let origin = router.schedulers.origins.borrow_mut().remove(&ticket)?;
    if let Some(organisation) = &origin.token {
        router.quota.refund_token(organisation);
    }
    Some(origin)
}

/// Updates the scheduler's servers for a part in which requests wait.
pub(super) fn refresh_servers(router: &Router, part: &PartName) {
    let service = router.service(&part.service);
    let mut schedulers = router.schedulers.by_part.borrow_mut();
    if let Some(scheduler) = schedulers.get_mut(part).filter(|s| s.queue_length() > 0) {
        sync_servers(router, &service, part, scheduler, router.now());
    }
}

/// Updates a scheduler's servers to their current state. The state changes with entries in the store, with responses (a
/// server reports that it is warming up) and with time (a draining server's time ends), so each decision calls this.
pub(super) fn sync_servers(
    router: &Router,
    service: &Service,
    part: &PartName,
    scheduler: &mut Scheduler,
    now: Millis,
) {
    let warmup_bound = router.warmup_rate_max(&service.name);
    let targets = service.targets.borrow();
    let any_ready = targets.values().any(|t| t.is_ready());
    let mut count = 0;
    for target in targets.values().filter(|t| part.contains(&t.dc)) {
        count += 1;
        let state = ServerStatus {
            slots: target.slots.get(),
            accepting: if any_ready && !service.is_keyed() {
                target.is_ready()
            } else {
                target.accepts_requests(now)
            },
            warmup_until: target.warmup_until.get(),
            warmup_rate_max: warmup_bound,
            rate_limit: target.limit.get().rate(now),
            dc_index: router.schedulers.dc_index(&target.dc),
            scheduled_here: target.scheduled_here.get().unwrap_or(false),
        };
        scheduler.update_server(now, target.id, state);
    }
    // The loop added every target of the part, so any further server of the scheduler no longer exists.
    if scheduler.server_count() > count {
        scheduler.retain_servers(|id| targets.values().any(|t| t.id == id));
    }
}

/// Sends a reply to the host that sent the query; `None` stands for this host.
pub(super) fn reply_to(router: &Rc<Router>, to: Option<SocketAddr>, ticket: u64, reply: SlotReply) {
    match to {
        Some(addr) => router
            .peer_socket
            .send_detached(Packet::SlotReply { ticket, reply }, addr),
        None => {
            router.pending_queries.deliver(ticket, reply);
        }
    }
}
