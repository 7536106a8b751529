//! Sends a request to a server once.

use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_policy::PathChoice;
use chicoryrail_runtime::BodyError;
use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::RequestBody;
use chicoryrail_runtime::UploadFlow;
use futures_util::future::Either;
use futures_util::future::select;
use monoio::time::timeout;

use crate::route::caller_request::CallerRequest;
use crate::route::direct::record_silence;
use crate::route::direct::send_directly;
use crate::route::forward;
use crate::route::in_flight::InFlight;
use crate::route::send_outcome::Indeterminate;
use crate::route::send_outcome::NotRun;
use crate::route::send_outcome::SendOutcome;
use crate::route::slot_guard::SlotGuard;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;
use crate::state::check_path;

/// Sends a request to its assigned server and waits for the response, at most for `response_timeout`.
pub(crate) async fn send(
    router: &Rc<Router>,
    service: &Rc<Service>,
    assignment: (Rc<Target>, SlotGuard),
    call: &CallerRequest,
    body: &Rc<RequestBody>,
    response_timeout: Millis,
) -> SendOutcome {
    let (target, slot) = assignment;
    let (target, slot) = (&target, Rc::new(slot));
    let now = router.now();
    let idle = service.loads.borrow().has_free_slot(now, target.id);
    let started = Instant::now();
    let waited_before = body.flow().map(UploadFlow::caller_wait);
    call.stats.borrow_mut().via = None;
    let not_run = call.stats.borrow().possible_runs == 0;
    let invariants = &router.process.invariants;
    invariants.check(
        Invariant::OrderOnce,
        call.is_idempotent() || not_run,
        || format!("request={} server={}", call.id, target.life),
    );
    let in_flight = InFlight::new(service, target, Some(Rc::clone(&slot)));
    let exchange = exchange_unless_cut(router, call, body, in_flight);
    let sent = match timeout(response_timeout.to_duration(), exchange).await {
        Ok(sent) => sent,
        Err(_) if body.flow().is_some_and(UploadFlow::awaits_caller) => {
            SendOutcome::Indeterminate(Indeterminate::BodyFailed(BodyError::Slow))
        }
        Err(_) => {
            if call.stats.borrow().via.is_none() {
                record_silence(router, service, target);
            }
            SendOutcome::Indeterminate(Indeterminate::Silent)
        }
    };
    if matches!(
        sent,
        SendOutcome::ServerError(_) | SendOutcome::Indeterminate(_)
    ) {
        call.stats.borrow_mut().possible_runs += 1;
    }
    let now = router.now();
    let mut elapsed = started.elapsed();
    // The time for which the server waited for the rest of an upload is not its own.
    if let (Some(flow), Some(before)) = (body.flow(), waited_before) {
        elapsed = elapsed.saturating_sub(flow.caller_wait().saturating_sub(before));
    }
    let elapsed_us = elapsed.as_micros() as f64;
    // A request that was not sent, or not completely, says nothing of the server.
    if !matches!(
        sent,
        SendOutcome::NotRun(NotRun::NoPath | NotRun::Suspected)
            | SendOutcome::Indeterminate(Indeterminate::BodyFailed(_))
    ) {
        slot.record_end(elapsed_us, sent.failure());
    }
    let mut loads = service.loads.borrow_mut();
    match sent.failure() {
        None => {
            let work = router.expected_work_us(&call.route.name, call.route.latency_target);
            if matches!(sent, SendOutcome::Answered(_)) {
                loads.record_response(now, target.id, elapsed_us, work, idle);
                router.record_work(&call.route.name, call.route.latency_target, elapsed_us);
            }
        }
        Some(failure) => loads.record_failure(now, target.id, failure),
    }
    let labels = [service.name.as_str(), sent.name()];
    router.counters.sends.with_label_values(&labels).inc();
    sent
}

/// Sends a request like [`exchange`], and ends an upload whose caller disconnects before it has sent the whole body. The
/// server can't run it any more, and its slot must not wait until the server takes the next bytes.
async fn exchange_unless_cut(
    router: &Rc<Router>,
    call: &CallerRequest,
    body: &Rc<RequestBody>,
    in_flight: InFlight,
) -> SendOutcome {
    if body.flow().is_none() {
        return exchange(router, call, body, in_flight).await;
    }
    let sent = pin!(exchange(router, call, body, in_flight));
    match select(sent, pin!(body.cut_off())).await {
        Either::Left((sent, _)) => sent,
        Either::Right(_) => SendOutcome::Indeterminate(Indeterminate::BodyFailed(BodyError::Cut)),
    }
}

/// Sends a request directly, or through another host if this one can't reach the server.
async fn exchange(
    router: &Rc<Router>,
    call: &CallerRequest,
    body: &Rc<RequestBody>,
    in_flight: InFlight,
) -> SendOutcome {
    let (service, target) = (&in_flight.service, &in_flight.target);
    let has_forwarders = forward::has_forwarders(router);
    let path = service.choose_path(router.now(), target);
    if path != PathChoice::Direct && has_forwarders {
        check_path(router, service, target);
        return forward::send_through_others(router, call, body, in_flight).await;
    }
    match send_directly(router, call, body, in_flight, has_forwarders).await {
        Ok(sent) => sent,
        Err(_) if !has_forwarders => SendOutcome::NotRun(NotRun::Unreachable),
        Err(in_flight) => forward::send_through_others(router, call, body, *in_flight).await,
    }
}
