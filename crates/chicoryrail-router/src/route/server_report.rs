//! Records what servers report about themselves in their response headers.

use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_policy::AdvertisedRate;
use chicoryrail_policy::LoadReport;
use chicoryrail_policy::parse_backoff_time;
use http::HeaderMap;
use http::header::RETRY_AFTER;

use crate::route::caller_request::CallerRequest;
use crate::route::in_flight::InFlight;
use crate::state::Router;
use crate::state::Service;

/// Records the load and the remaining warm-up that a server reports in its response headers.
pub(super) fn record_load(
    router: &Router,
    service: &Service,
    in_flight: &InFlight,
    headers: &HeaderMap,
) {
    let target = &in_flight.target;
    let now = router.now();
    if let Some(report) = call_header::text(headers, &call_header::LOAD).and_then(LoadReport::parse)
    {
        // The request that this response ends is still counted as one of this host's requests in flight.
        let mut loads = service.loads.borrow_mut();
        loads.apply_report(now, target.id, report);
        if let Some(slot) = &in_flight.slot {
            slot.record_load(report);
        }
    }
    let warmup_left =
        call_header::text(headers, &call_header::WARMUP_LEFT).and_then(|t| t.parse().ok());
    if let Some(left) = warmup_left {
        let known = target.is_warming_up(now);
        if target.extend_warmup(now, Millis(left)) {
            service.record_change(target);
            if !known {
                log::info!(server:% = target.life, service:% = service.name, left_ms = left;
                    "server_warms_up");
            }
        }
    }
}

/// Records the rate limit that a server advertises. A response without the header means that there is no limit only if
/// the server ran the request, which its stamp shows.
pub(super) fn record_rate_limit(router: &Router, in_flight: &InFlight, headers: &HeaderMap) {
    let target = &in_flight.target;
    let value = call_header::text(headers, &call_header::RATE_LIMIT);
    if value.is_none() && !headers.contains_key(call_header::UPSTREAM_STAMP) {
        return;
    }
    match AdvertisedRate::parse(value) {
        Ok(advertised) => {
            if target.record_rate_limit(router.now(), advertised) {
                in_flight.service.record_change(target);
            }
            if let Some(slot) = &in_flight.slot {
                slot.record_rate(advertised);
            }
        }
        Err(value) => {
            log::warn!(server:% = target.life, value = value; "server_limit_unreadable");
        }
    }
}

/// Records that a server says that it is draining. The response must come from that server: one with status 421 may
/// come from another server that uses the address now.
pub(super) fn record_drain(
    router: &Router,
    call: &CallerRequest,
    in_flight: &InFlight,
    headers: &HeaderMap,
) {
    let Some(value) = headers.get(call_header::DRAINING) else {
        return;
    };
    let target = &in_flight.target;
    if value != "1" {
        log::warn!(server:% = target.life, value:? = value; "server_draining_unreadable");
        return;
    }
    let service = &in_flight.service;
    service.record_drain(router.now(), target, &call.id);
}

/// Records that a server refused a request of this host and asked it to send nothing for a time. The requests that wait
/// for that server are decided anew.
pub(super) fn record_backoff(
    router: &Router,
    call: &CallerRequest,
    in_flight: &InFlight,
    headers: &HeaderMap,
) {
    let Some(value) = headers.get(RETRY_AFTER) else {
        return;
    };
    let target = &in_flight.target;
    match value.to_str().map(parse_backoff_time) {
        Ok(Ok(time)) => {
            log::info!(request = call.id, server:% = target.life, backoff_ms = time.0;
                "server_backoff");
            let service = &in_flight.service;
            service.record_backoff(router.now(), target, time);
            router.pending_queries.notify_all();
        }
        _ => log::warn!(server:% = target.life, value:? = value; "server_backoff_unreadable"),
    }
}
