//! Sends a request to a server once.

use std::rc::Rc;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_core::RouteKind;
use chicoryrail_platform::call_header;
use chicoryrail_policy::SendPermit;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::RequestBody;
use chicoryrail_runtime::is_connection_close;
use chicoryrail_runtime::strip_hop_by_hop;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_ENCODING;
use hyper::body::Incoming;
use monoio::time::timeout;

use crate::route::caller_request::CallerRequest;
use crate::route::candidates::permit;
use crate::route::in_flight::InFlight;
use crate::route::response_body;
use crate::route::send_outcome::Indeterminate;
use crate::route::send_outcome::NotRun;
use crate::route::send_outcome::SendOutcome;
use crate::route::server_report;
use crate::route::slot_guard::SlotGuard;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;

/// Sends a request to its assigned server and waits for the response, at most for `response_timeout`.
pub(crate) async fn send(
    router: &Router,
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
    let not_run = call.stats.borrow().possible_runs == 0;
    let invariants = &router.process.invariants;
    invariants.check(
        Invariant::OrderOnce,
        call.is_idempotent() || not_run,
        || format!("request={} server={}", call.id, target.life),
    );
    let in_flight = InFlight::new(service, target, &slot);
    let exchange = exchange(router, service, target, call, body, in_flight);
    let sent = match timeout(response_timeout.to_duration(), exchange).await {
        Ok(sent) => sent,
        Err(_) => SendOutcome::Indeterminate(Indeterminate::Silent),
    };
    if matches!(
        sent,
        SendOutcome::ServerError(_) | SendOutcome::Indeterminate(_)
    ) {
        call.stats.borrow_mut().possible_runs += 1;
    }
    let now = router.now();
    let elapsed_us = started.elapsed().as_micros() as f64;
    slot.record_end(elapsed_us, sent.failure());
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

/// Sends a request on a pooled or new connection and handles its response.
async fn exchange(
    router: &Router,
    service: &Service,
    target: &Rc<Target>,
    call: &CallerRequest,
    body: &Rc<RequestBody>,
    mut in_flight: InFlight,
) -> SendOutcome {
    let begun = router.now();
    let conn = match target.pool.acquire(target.addr).await {
        Ok(conn) => conn,
        Err(e) => {
            log::info!(request = call.id, server:% = target.life, error:% = e,
                took_ms = router.now().since(begun).0; "connect_failed");
            return SendOutcome::NotRun(NotRun::Unreachable);
        }
    };
    if call.caller_left.is_cancelled() {
        target.pool.release(conn);
        return SendOutcome::NotRun(NotRun::CallerLeft);
    }
    if let SendPermit::Withheld(why) = permit(router, call, target, router.now()) {
        target.pool.release(conn);
        return SendOutcome::NotRun(NotRun::Withheld(why));
    }
    let conn = in_flight.attach(conn);
    let request = new_request(call, target, body, router.now());
    let response = match conn.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            // The error returns the request only if it was never written.
            let never_written = error.take_message().is_some();
            return if never_written {
                SendOutcome::NotRun(NotRun::Unreachable)
            } else {
                SendOutcome::Indeterminate(Indeterminate::Broken)
            };
        }
    };
    handle_response(router, service, call, response, in_flight).await
}

/// Checks a response, records what its headers report of the server and starts its body.
async fn handle_response(
    router: &Router,
    service: &Service,
    call: &CallerRequest,
    response: Response<Incoming>,
    in_flight: InFlight,
) -> SendOutcome {
    let (mut head, body) = response.into_parts();
    // A late response to an earlier request arrived in place of this one's. It must not reach this caller, and the
    // connection is not reused, since later responses on it may be out of step as well.
    let echoed = head.headers.get(call_header::REQUEST_ID);
    if echoed.is_some_and(|id| Some(id) != call.headers.get(call_header::REQUEST_ID)) {
        return SendOutcome::Indeterminate(Indeterminate::Crossed);
    }
    router
        .reach
        .borrow_mut()
        .record_response(router.now(), &in_flight.target.dc);
    server_report::record_load(router, service, &in_flight, &head.headers);
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        drain(body, in_flight).await;
        return SendOutcome::NotRun(NotRun::Misdirected);
    }
    server_report::record_rate_limit(router, &in_flight, &head.headers);
    server_report::record_drain(router, call, &in_flight, &head.headers);
    if head.status == StatusCode::SERVICE_UNAVAILABLE {
        server_report::record_backoff(router, call, &in_flight, &head.headers);
    }
    if head.headers.contains_key(call_header::NOT_RUN) {
        drain(body, in_flight).await;
        return SendOutcome::NotRun(NotRun::Refused);
    }
    let stamped = head.headers.contains_key(call_header::UPSTREAM_STAMP);
    if !stamped || echoed.is_none() || head.headers.contains_key(CONTENT_ENCODING) {
        return SendOutcome::Indeterminate(Indeterminate::Spoiled);
    }
    let reuse = !is_connection_close(&head.headers);
    let start =
        match response_body::read_start(body, response_body::buffer_limit(call.route.kind)).await {
            Ok(start) => start,
            Err(_) => return SendOutcome::Indeterminate(Indeterminate::Spoiled),
        };
    head.headers = strip_hop_by_hop(head.headers);
    head.version = http::Version::HTTP_11;
    head.extensions.clear();
    let is_server_error = head.status.is_server_error();
    let response = Response::from_parts(head, response_body::into_body(start, in_flight, reuse));
    if is_server_error {
        SendOutcome::ServerError(response)
    } else {
        SendOutcome::Answered(response)
    }
}

/// Discards a short response body, so that the connection can be reused.
async fn drain(body: Incoming, in_flight: InFlight) {
    let read = response_body::read_start(body, response_body::buffer_limit(RouteKind::Read)).await;
    if matches!(read, Ok(response_body::BodyStart::Whole(_))) {
        in_flight.complete(true);
    }
}

/// Builds the request to the server, with the time that is left and the server that is expected at the address.
fn new_request(
    call: &CallerRequest,
    target: &Target,
    body: &Rc<RequestBody>,
    now: Millis,
) -> Request<Body> {
    let mut request = Request::new(body.body());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let mut headers = call.headers.clone();
    headers.insert(call_header::EXPECTED_SERVER, target.expect_header.clone());
    let time_left = HeaderValue::from(call.time_left(now).0.max(1));
    headers.insert(call_header::TIME_LEFT, time_left);
    *request.headers_mut() = headers;
    request
}
