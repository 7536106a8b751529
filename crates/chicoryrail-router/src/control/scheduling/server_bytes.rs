//! Limits on the bytes of request bodies at the servers of a service, and their spread to the other schedulers.

use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_core::ServiceName;
use chicoryrail_policy::EndEvidence;

use crate::messages::ByteLimitNews;
use crate::messages::Packet;
use crate::state::Router;

/// Logs and counts that a server ended under load, and tells the other hosts that schedule for its service.
pub(super) fn record_end_under_load(
    router: &Rc<Router>,
    service: &ServiceName,
    server: &Life,
    evidence: EndEvidence,
) {
    log::warn!(server:% = server, service:% = service, requests = evidence.requests,
        bytes = evidence.bytes, limit = evidence.limit; "server_ended_under_load");
    router
        .counters
        .byte_limits
        .with_label_values(&[service.as_str()])
        .inc();
    let news = ByteLimitNews {
        service: service.clone(),
        bytes: evidence.limit,
    };
    apply_byte_limit(router, &news);
    for addr in router.peers.borrow().addrs() {
        let packet = Packet::ByteLimit(news.clone());
        router.peer_socket.send_detached(packet, addr);
    }
}

/// Applies a limit to all parts of the service that this host schedules.
pub(super) fn apply_byte_limit(router: &Router, news: &ByteLimitNews) {
    let now = router.now();
    let mut schedulers = router.schedulers.by_part.borrow_mut();
    let parts = schedulers
        .iter_mut()
        .filter(|(part, _)| part.service == news.service);
    for (part, scheduler) in parts {
        if scheduler.learn_byte_limit(now, news.bytes) {
            log::info!(service:% = part.service, dc:? = part.dc, limit = news.bytes; "byte_limit");
        }
    }
}

/// Logs the bytes at the servers of each part that has a limit.
pub(super) fn log_bytes(router: &Router) {
    let now = router.now();
    for (part, scheduler) in router.schedulers.by_part.borrow().iter() {
        if let Some(limit) = scheduler.byte_limit(now) {
            log::info!(service:% = part.service, dc:? = part.dc, limit = limit,
                most = scheduler.most_bytes_in_flight(); "server_bytes");
        }
    }
}
