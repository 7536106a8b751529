//! The schedulers of parts on this host: their servers, their queued requests, and replies.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_policy::Scheduler;

use crate::control::crashes::inform_sender;
use crate::control::scheduling::server_sync::sync_servers;
use crate::messages::Packet;
use crate::messages::PartName;
use crate::messages::SlotReply;
use crate::state::QueryOrigin;
use crate::state::Router;

/// Returns a scheduler for a part that this host begins to schedule.
pub(super) fn new_scheduler(router: &Router) -> Scheduler {
    if router.boot().competing_callers {
        Scheduler::with_fair_shares()
    } else {
        Scheduler::default()
    }
}

/// Removes a request that is not assigned to a server from its scheduler, and gives back its quota token.
pub(super) fn remove_request(router: &Router, part: &PartName, ticket: u64) {
    if let Some(scheduler) = router.schedulers.by_part.borrow_mut().get_mut(part) {
        scheduler.cancel(ticket);
    }
    remove_origin(router, ticket);
}

/// Removes a request whose host has left without a decision, whether it waits or has been assigned to a server.
pub(super) fn withdraw_request(router: &Router, part: &PartName, ticket: u64) {
    if let Some(scheduler) = router.schedulers.by_part.borrow_mut().get_mut(part) {
        scheduler.withdraw(ticket);
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

/// Sends a reply to the host that sent the query; `None` stands for this host.
pub(super) fn reply_to(router: &Rc<Router>, to: Option<SocketAddr>, ticket: u64, reply: SlotReply) {
    match to {
        Some(addr) => {
            if matches!(reply, SlotReply::Send(_)) {
                inform_sender(router, addr);
            }
            router
                .peer_socket
                .send_detached(Packet::SlotReply { ticket, reply }, addr);
        }
        None => {
            router.pending_queries.deliver(ticket, reply);
        }
    }
}
