//! Handles the ends of requests at servers that this host schedules.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_policy::Failure;
use chicoryrail_policy::LoadReport;
use chicoryrail_policy::SlotRelease;

use crate::control::scheduling::decisions::assign_waiting;
use crate::control::scheduling::server_bytes::record_end_under_load;
use crate::messages::SlotEnd;
use crate::messages::SlotEndKind;
use crate::state::Router;

/// Applies the end of a request at a server: its slot is free, and the server's estimates are updated.
///
/// `from` is the host that sent the request, `None` for this one.
pub(super) fn handle_end(router: &Rc<Router>, end: &SlotEnd, from: Option<SocketAddr>) {
    let service = router.service(&end.part.service);
    let Some(target) = service.target(&end.server) else {
        return;
    };
    let report = end
        .report
        .map(|(running, waiting, slots, slowdown_percent)| LoadReport {
            running,
            waiting,
            slots,
            slowdown_percent,
        });
    let release = SlotRelease {
        ticket: end.ticket,
        server: target.id,
        elapsed_us: end.us.map(|us| us as f64),
        failure: match end.kind {
            SlotEndKind::Plain => None,
            SlotEndKind::Full => Some(Failure::Full),
            SlotEndKind::Broken => Some(Failure::Broken),
            SlotEndKind::Error => Some(Failure::Error),
            SlotEndKind::Silent => Some(Failure::Silent),
            SlotEndKind::Unanswered => Some(Failure::Unanswered),
            SlotEndKind::Ended => Some(Failure::Ended),
        },
        report,
    };
    let now = router.now();
    if let Some(rate) = end.rate
        && target.record_rate_limit(now, rate.into())
    {
        service.record_change(&target);
    }
    let mut evidence = None;
    if let Some(scheduler) = router.schedulers.by_part.borrow_mut().get_mut(&end.part) {
        let slots = scheduler.usable_slots(target.id);
        let pause = scheduler.release(now, &release);
        log_pause(router, end, from, pause);
        log_slot_limit(router, end, slots, scheduler.usable_slots(target.id));
        if end.kind == SlotEndKind::Ended {
            evidence = scheduler.record_server_end(now, target.id);
        }
    }
    if let Some(evidence) = evidence {
        record_end_under_load(router, &end.part.service, &end.server, evidence);
    }
    assign_waiting(router, &end.part);
}

/// Logs that a server gets no requests for a time because its connections failed repeatedly.
fn log_pause(router: &Router, end: &SlotEnd, from: Option<SocketAddr>, pause: Option<Millis>) {
    let Some(pause) = pause else {
        return;
    };
    let reporter = from.unwrap_or_else(|| router.peer_addr());
    log::info!(server:% = end.server, service:% = end.part.service, failure:? = end.kind,
        reporter:% = reporter, pause_ms = pause.0; "server_paused");
}

/// Logs and counts that a server is given fewer requests at once since it fell silent, or more again.
fn log_slot_limit(router: &Router, end: &SlotEnd, before: Option<u32>, after: Option<u32>) {
    let (Some(before), Some(after)) = (before, after) else {
        return;
    };
    let change = match after.cmp(&before) {
        Ordering::Equal => return,
        Ordering::Less => "lowered",
        Ordering::Greater => "raised",
    };
    let labels = [end.part.service.as_str(), change];
    let changes = &router.counters.slot_limit_changes;
    changes.with_label_values(&labels).inc();
    log::info!(server:% = end.server, service:% = end.part.service, from = before, to = after;
        "slot_limit");
}
