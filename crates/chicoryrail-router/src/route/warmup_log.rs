//! Logs what is sent to servers that are warming up.

use crate::route::caller_request::CallerRequest;
use crate::state::Router;
use crate::state::Target;

/// Logs a request that is about to be written to a server that is warming up by this host's view: who assigned it, when,
/// and since when this host knows of the warm-up.
pub(super) fn log_warmup_send(router: &Router, call: &CallerRequest, target: &Target) {
    let now = router.now();
    if !target.is_warming_up(now) {
        return;
    }
    let stats = call.stats.borrow();
    let chosen_by = match (call.is_forwarded, stats.decided_by_scheduler) {
        (true, _) => "forwarded",
        (false, true) => "scheduler",
        (false, false) => "host",
    };
    let scheduler = call.progress.scheduler.get();
    let scheduler = scheduler.map_or_else(|| "-".to_owned(), |addr| addr.to_string());
    // A host that passes a request on sends it at once.
    let assigned_at = match call.is_forwarded {
        true => call.arrived,
        false => stats.assigned_at,
    };
    let labels = [call.service_name().as_str(), chosen_by];
    let counter = router.counters.warmup_sends.with_label_values(&labels);
    counter.inc();
    log::info!(request = call.id, server:% = target.life, service:% = call.service_name(),
        chosen_by = chosen_by, scheduler = scheduler,
        assigned_ms = now.since(assigned_at).0,
        warmup_left_ms = target.warmup_until.get().since(now).0,
        warmup_known_ms = now.since(target.warmup_since.get()).0,
        hosts = router.peers.borrow().sharing_hosts(),
        leader_ms = router.leader_age().map_or(-1, |age| age.0 as i64); "warmup_send");
}
