//! Logs the end of a request.

use chicoryrail_core::Millis;
use http::StatusCode;

use crate::route::caller_request::CallerRequest;
use crate::route::refusal::Refusal;

/// Logs the end of a request, with the values that determined its outcome.
pub(super) fn log_end(
    call: &CallerRequest,
    outcome: &str,
    took: Millis,
    status: Option<StatusCode>,
    refusal: Option<Refusal>,
) {
    let stats = call.stats.borrow();
    let server = stats
        .server
        .as_ref()
        .map_or_else(|| "-".to_owned(), ToString::to_string);
    let via = stats
        .via
        .map_or_else(|| "-".to_owned(), |addr| addr.to_string());
    let chosen_by = if stats.decided_by_scheduler {
        "scheduler"
    } else {
        "host"
    };
    let cause = refusal.map_or("-", |r| r.cause.name());
    let retry_after = refusal.and_then(|r| r.retry_after).map_or(0, |m| m.0);
    let key = call.key.map_or_else(|| "-".to_owned(), |k| k.to_string());
    log::info!(request = call.id, route = call.route.name, service:% = call.service_name(),
        status = status.map_or(0, |s| s.as_u16()), cause = cause, retry_after_ms = retry_after,
        took_ms = took.0, waited_ms = stats.waited.0, aim_ms = call.route.latency_target.0,
        time_ms = call.time_limit().0, server = server, sends = stats.sends, via = via,
        stage = call.progress.stage.get().name(), writes = call.progress.writes.get(),
        chosen_by = chosen_by, warmup_ms = stats.warmup_left.0, key = key,
        config = call.config_version; "request_{outcome}");
}
