//! Admits uploads to the memory of this host, and logs how they went.

use std::rc::Rc;
use std::time::Duration;

use chicoryrail_core::Millis;
use chicoryrail_core::RouteKind;
use chicoryrail_policy::UPLOAD_WINDOW_BYTES;
use chicoryrail_policy::UploadPlan;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::BodyError;
use chicoryrail_runtime::RequestBody;
use chicoryrail_runtime::UploadFlow;
use chicoryrail_runtime::UploadLimits;
use http::Response;

use crate::route::caller_request::CallerRequest;
use crate::route::refusal::Cause;
use crate::route::refusal::Refusal;
use crate::state::Router;

/// Wraps the body of a request; that of an upload gets flow control. `expects_continue` is `true` if the caller sends its
/// body only after a `100 Continue`.
pub(super) fn wrap_body(
    router: &Router,
    call: &CallerRequest,
    body: Body,
    expects_continue: bool,
) -> Rc<RequestBody> {
    let limits = router.site().map(|site| site.limits);
    let max_bytes = limits.map_or(u64::MAX, |l| l.max_body);
    if call.route.kind != RouteKind::Upload {
        return RequestBody::new(body, max_bytes);
    }
    let limits = UploadLimits {
        silence_max: limits.unwrap_or_default().head_timeout,
        window_bytes: UPLOAD_WINDOW_BYTES,
        caller_left: call.caller_left.clone(),
        expects_continue,
    };
    RequestBody::upload(body, max_bytes, limits)
}

/// Admits an upload, and reads as much of its body as is read before it takes a slot.
///
/// # Errors
///
/// Returns the refusal if this host has no memory for the upload, or its body can't be read; nothing was sent.
pub(super) async fn admit(
    router: &Router,
    call: &CallerRequest,
    body: &RequestBody,
    flow: &UploadFlow,
) -> Result<(), Refusal> {
    if let Some(error) = body.error() {
        return Err(Cause::from(error).into());
    }
    let (declared, free) = (body.declared_rest(), router.budget.free());
    let Some(plan) = UploadPlan::new(router.options.upload_reading, declared, free) else {
        let stats = &router.route_stats;
        let memory_in = stats.expected_work(&call.route.name, call.route.latency_target);
        return Err(call.refuse(router.now(), Cause::HostMemory, memory_in));
    };
    flow.hold(router.budget.take(plan.held));
    let left = call.time_to_send(router);
    let reading = body.read_ahead(plan.read_first as usize, left);
    read_in_time(router, call, reading).await
}

/// Reads the start of a body for as long as the request may be sent.
///
/// # Errors
///
/// Returns the refusal if the body can't be read, or not in time; nothing was sent.
pub(super) async fn read_in_time(
    router: &Router,
    call: &CallerRequest,
    reading: impl Future<Output = Result<(), BodyError>>,
) -> Result<(), Refusal> {
    match call.wait_to_send(router, reading).await {
        Some(Ok(())) => Ok(()),
        Some(Err(BodyError::Slow)) if call.is_host_out_of_time(router) => {
            Err(call.refuse(router.now(), Cause::Stopping, Millis::ZERO))
        }
        Some(Err(error)) => Err(Cause::from(error).into()),
        None => {
            let cause = call.out_of_time_cause(router);
            Err(call.refuse(router.now(), cause, Millis::ZERO))
        }
    }
}

/// Counts and logs the end of an upload, and stops reading it.
pub(super) fn finish(
    router: &Router,
    call: &CallerRequest,
    body: &RequestBody,
    result: &Result<Response<Body>, Refusal>,
) {
    let Some(flow) = body.flow() else {
        return;
    };
    if let Err(refusal) = result {
        let labels = [call.service_name().as_str(), refusal.cause.name()];
        let refused = &router.counters.uploads_refused;
        refused.with_label_values(&labels).inc();
    }
    let is_ordinary = result.as_ref().is_ok_and(|r| r.status().is_success());
    if !is_ordinary || call.is_sampled(router) {
        log(router, call, body, flow);
    }
    body.discard();
}

fn log(router: &Router, call: &CallerRequest, body: &RequestBody, flow: &UploadFlow) {
    let millis = |time: Duration| time.as_millis() as u64;
    let error = body.error().map_or("-", BodyError::name);
    log::info!(request = call.id, declared = call.body_bytes(), received = body.received_bytes(),
        whole = body.is_received(), error = error, from:% = call.from,
        caller_wait_ms = millis(flow.caller_wait()), silence_ms = millis(flow.longest_silence()),
        server_wait_ms = millis(flow.server_wait()), window = flow.window_peak(), held = flow.held_bytes(), free = router.budget.free(),
        server = call.stats.borrow().server.as_ref().map_or_else(|| "-".to_owned(), ToString::to_string);
        "upload_ended");
}
