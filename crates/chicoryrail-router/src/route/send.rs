//! Sends a request to a server once.

use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_policy::Failure;
use chicoryrail_policy::PathChoice;
use chicoryrail_runtime::BodyError;
use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::RequestBody;
use chicoryrail_runtime::UploadFlow;
use futures_util::future::Either;
use futures_util::future::select;

use crate::route::caller_request::CallerRequest;
use crate::route::direct::NoConnection;
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
use crate::state::Stage;
use crate::state::Target;
use crate::state::check_path;

/// Sends a request to its assigned server, and waits for the response to the end of its time.
pub(crate) async fn send(
    router: &Rc<Router>,
    service: &Rc<Service>,
    target: &Rc<Target>,
    slot: &Rc<SlotGuard>,
    call: &CallerRequest,
    body: &Rc<RequestBody>,
) -> SendOutcome {
    let now = router.now();
    let idle = service.loads.borrow().has_free_slot(now, target.id);
    let started = Instant::now();
    let waited_before = body.flow().map(UploadFlow::caller_wait);
    call.stats.borrow_mut().via = None;
    call.progress.stage.set(Stage::Connection);
    let not_run = call.stats.borrow().possible_runs == 0;
    let invariants = &router.process.invariants;
    invariants.check(
        Invariant::OrderOnce,
        call.is_idempotent() || not_run,
        || format!("request={} server={}", call.id, target.life),
    );
    let in_flight = InFlight::new(service, target, Some(Rc::clone(slot)));
    let exchange = exchange_unless_cut(router, call, body, in_flight);
    let sent = match call.wait_to_respond(router, exchange).await {
        Some(sent) => sent,
        None if router.process_end.is_past(router.now()) => {
            SendOutcome::Indeterminate(Indeterminate::Stopping)
        }
        None if body.flow().is_some_and(UploadFlow::awaits_caller) => {
            SendOutcome::Indeterminate(Indeterminate::BodyFailed(BodyError::Slow))
        }
        None => {
            if !slot.is_forwarded() && !slot.is_overdue() {
                record_no_response(router, service, target, call);
            }
            SendOutcome::Indeterminate(Indeterminate::Silent)
        }
    };
    if matches!(
        sent,
        SendOutcome::ServerError(_) | SendOutcome::Unusual(_) | SendOutcome::Indeterminate(_)
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
    // A request that did not run, or was not sent completely, says nothing of the server unless it failed.
    let failure = slot_failure(router, call, &sent, elapsed_us);
    if failure.is_some() || matches!(sent, SendOutcome::Answered(_)) {
        slot.record_end(elapsed_us, failure);
    }
    let mut loads = service.loads.borrow_mut();
    match sent.failure() {
        None => {
            let work = router
                .route_stats
                .expected_work_us(&call.route.name, call.route.latency_target);
            if matches!(sent, SendOutcome::Answered(_)) {
                loads.record_response(now, target.id, elapsed_us, work, idle);
                router.route_stats.record_work(
                    &call.route.name,
                    call.route.latency_target,
                    elapsed_us,
                );
                if call.route.tolerates_waiting() {
                    router
                        .route_stats
                        .record_response_time(&call.route.name, elapsed_us);
                }
            }
        }
        // An overdue send has been counted against the server.
        Some(_) if slot.is_overdue() => {}
        Some(failure) => loads.record_failure(now, target.id, failure),
    }
    let labels = [service.name.as_str(), sent.name()];
    router.counters.sends.with_label_values(&labels).inc();
    sent
}

/// Counts a send without a response within the usual time against its server. With a key, the next send goes to the same
/// server: it may run in the slot of the overdue one, which may be the only slot that the server is given.
pub(super) fn record_overdue(
    router: &Rc<Router>,
    service: &Rc<Service>,
    target: &Rc<Target>,
    call: &CallerRequest,
    slot: &SlotGuard,
    elapsed: Millis,
) {
    if !slot.is_forwarded() {
        record_no_response(router, service, target, call);
    }
    let silent = SendOutcome::Indeterminate(Indeterminate::Silent);
    let elapsed_us = elapsed.0 as f64 * 1_000.0;
    slot.record_end(elapsed_us, slot_failure(router, call, &silent, elapsed_us));
    slot.record_overdue();
    if call.key.is_some() {
        slot.release();
    }
    let mut loads = service.loads.borrow_mut();
    loads.record_failure(router.now(), target.id, Failure::Silent);
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

/// Returns how a send counts against the server at its scheduler, which learns more of requests whose route tolerates
/// waiting.
fn slot_failure(
    router: &Router,
    call: &CallerRequest,
    sent: &SendOutcome,
    elapsed_us: f64,
) -> Option<Failure> {
    match sent {
        SendOutcome::Indeterminate(Indeterminate::Ended) if call.route.tolerates_waiting() => {
            Some(Failure::Ended)
        }
        SendOutcome::Indeterminate(Indeterminate::Silent)
            if is_unanswered(router, call, elapsed_us) =>
        {
            Some(Failure::Unanswered)
        }
        _ => sent.failure(),
    }
}

/// Returns `true` if a request of a route that tolerates waiting got no response for longer than almost all responses of
/// the route take. A caller with less time says nothing of the server.
pub(super) fn is_unanswered(router: &Router, call: &CallerRequest, elapsed_us: f64) -> bool {
    let limit = router.route_stats.unanswered_after(&call.route);
    limit.is_some_and(|limit| elapsed_us >= limit.0 as f64 * 1_000.0)
}

/// Records that a server did not respond in time to a request that this host sent directly.
fn record_no_response(
    router: &Rc<Router>,
    service: &Rc<Service>,
    target: &Rc<Target>,
    call: &CallerRequest,
) {
    if !call.route.tolerates_waiting() {
        record_silence(router, service, target);
        return;
    }
    // Some servers never respond on a connection on which they could not queue a request, and respond on others. So the
    // silence says nothing of the path: a new connection does.
    target.pool.close_idle();
    check_path(router, service, target);
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
        Err(unsent) if !has_forwarders => SendOutcome::NotRun(match unsent.why {
            NoConnection::Limit => NotRun::NoConnection,
            NoConnection::Failed => NotRun::Unreachable,
            NoConnection::Stopping => NotRun::Stopping,
        }),
        Err(unsent) => forward::send_through_others(router, call, body, unsent.in_flight).await,
    }
}
