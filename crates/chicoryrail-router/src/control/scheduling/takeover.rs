//! Takes account of requests that another scheduler assigned to servers of this host's parts.

use std::net::SocketAddr;

use chicoryrail_core::Millis;
use chicoryrail_ownership::SchedulerHost;
use chicoryrail_policy::HeldRequest;

use crate::control::scheduling::server_sync::sync_servers;
use crate::messages::HeldReport;
use crate::messages::SlotQuery;
use crate::state::Router;
use crate::state::Target;

/// Counts requests that another scheduler assigned, or that a host sent without one.
pub(super) fn apply_report(router: &Router, report: &HeldReport, from: Option<SocketAddr>) {
    let now = router.now();
    let service = router.service(&report.part.service);
    let Some(target) = service.target(&report.server) else {
        return;
    };
    let mut schedulers = router.schedulers.by_part.borrow_mut();
    let scheduler = schedulers.entry(report.part.clone()).or_default();
    sync_servers(router, &service, &report.part, scheduler, now);
    let requests = report.requests.iter().map(|r| HeldRequest {
        ticket: r.ticket,
        deadline: now + Millis(r.left),
        work_us: r.work_us as f64,
        body_bytes: r.body_bytes,
    });
    let adopted = requests
        .filter(|r| scheduler.adopt(now, target.id, r))
        .count();
    let labels = [report.part.service.as_str()];
    let counter = router.counters.adopted.with_label_values(&labels);
    counter.inc_by(adopted as u64);
    log::info!(server:% = report.server, service:% = report.part.service,
        requests = report.requests.len(), new = adopted, from:? = from; "requests_adopted");
}

/// Records a query of a request that tolerates waiting for servers that another host schedules by this host's view. That
/// host may be lost, and its requests at the servers are not known here.
pub(super) fn record_query(router: &Router, query: &SlotQuery) {
    if !query.tolerates_waiting {
        return;
    }
    let service = router.service(&query.part.service);
    let mut schedulers = router.schedulers.by_part.borrow_mut();
    let Some(scheduler) = schedulers.get_mut(&query.part) else {
        return;
    };
    let is_elsewhere = |target: &Target| target.scheduled_here.get() == Some(false);
    let now = router.now();
    if let Some(key) = query.key {
        let keys = service.keys.borrow();
        let owner = keys
            .assigned_owner(key)
            .and_then(|life| service.target(life));
        let owner = owner.filter(|target| is_elsewhere(target));
        scheduler.record_query(now, owner.map(|target| target.id).into_iter());
    } else if router.part_scheduler(&query.part) != SchedulerHost::Here {
        let targets = service.targets.borrow();
        let targets = targets.values().filter(|target| is_elsewhere(target));
        scheduler.record_query(now, targets.map(|target| target.id));
    }
}
