//! Sends a request to a server once.

use std::error::Error;
use std::io;
use std::rc::Rc;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_core::RouteKind;
use chicoryrail_platform::call_header;
use chicoryrail_policy::PathChoice;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::RequestBody;
use chicoryrail_runtime::ServerConn;
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
use crate::route::forward;
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
use crate::state::check_path;

/// Longest wait for a new connection to a server while other hosts can be asked. Servers are a few milliseconds away,
/// but a host that has used up its CPU quota for the current period of 100 ms connects later.
const CONNECT_WAIT_MAX: Millis = Millis(120);

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
    call.stats.borrow_mut().via = None;
    let not_run = call.stats.borrow().possible_runs == 0;
    let invariants = &router.process.invariants;
    invariants.check(
        Invariant::OrderOnce,
        call.is_idempotent() || not_run,
        || format!("request={} server={}", call.id, target.life),
    );
    let in_flight = InFlight::new(service, target, Some(Rc::clone(&slot)));
    let exchange = exchange(router, call, body, in_flight);
    let sent = match timeout(response_timeout.to_duration(), exchange).await {
        Ok(sent) => sent,
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
    let elapsed_us = started.elapsed().as_micros() as f64;
    // A request for which this host found no way says nothing of the server.
    if !matches!(sent, SendOutcome::NotRun(NotRun::NoPath)) {
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

/// Sends a request to its server on a pooled or new connection, and handles the response. `has_alternative` is `true` if
/// the request can be sent in another way while there is no connection.
///
/// # Errors
///
/// Returns the request if nothing was sent for lack of a connection.
pub(super) async fn send_directly(
    router: &Router,
    call: &CallerRequest,
    body: &Rc<RequestBody>,
    mut in_flight: InFlight,
    has_alternative: bool,
) -> Result<SendOutcome, Box<InFlight>> {
    let (service, target) = (Rc::clone(&in_flight.service), Rc::clone(&in_flight.target));
    let Some(conn) = connect(router, &service, &target, call, has_alternative).await else {
        return Err(Box::new(in_flight));
    };
    if call.caller_left.is_cancelled() {
        target.pool.release(conn);
        return Ok(SendOutcome::NotRun(NotRun::CallerLeft));
    }
    if let Some(why) = permit(router, call, &target, router.now()).withheld() {
        target.pool.release(conn);
        return Ok(SendOutcome::NotRun(NotRun::Withheld(why)));
    }
    let conn = in_flight.attach(conn);
    let request = new_request(call, &target, body, router.now());
    let response = match conn.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            // The error returns the request only if it was never written.
            if error.take_message().is_none() {
                if is_timed_out(error.error()) {
                    record_silence(router, &service, &target);
                }
                return Ok(SendOutcome::Indeterminate(Indeterminate::Broken));
            }
            in_flight.detach();
            return Err(Box::new(in_flight));
        }
    };
    service.record_contact(router.now(), &target);
    router.server_reach.record_way();
    Ok(handle_response(router, &service, call, response, in_flight).await)
}

/// Returns `true` if the system closed the connection because the other side acknowledged nothing for too long.
fn is_timed_out(error: &hyper::Error) -> bool {
    let mut source = error.source();
    while let Some(cause) = source {
        let io = cause.downcast_ref::<io::Error>();
        if io.is_some_and(|e| e.kind() == io::ErrorKind::TimedOut) {
            return true;
        }
        source = cause.source();
    }
    false
}

/// Records that a connection to a server was silent. The idle ones may be dead too, which does not show while they are
/// idle, and each would cost another request its time.
fn record_silence(router: &Router, service: &Service, target: &Target) {
    target.pool.close_idle();
    service.record_no_connection(router.now(), target);
}

/// Takes a connection from the pool of a server, or opens one. Returns `None` if none is available.
async fn connect(
    router: &Router,
    service: &Service,
    target: &Target,
    call: &CallerRequest,
    has_alternative: bool,
) -> Option<ServerConn> {
    let begun = router.now();
    let time_limit = if has_alternative {
        CONNECT_WAIT_MAX
    } else {
        call.time_left(begun)
    };
    let acquired = timeout(time_limit.to_duration(), target.pool.acquire(target.addr)).await;
    let error = match acquired {
        Ok(Ok(conn)) => return Some(conn),
        Ok(Err(e)) => e,
        Err(_) => io::ErrorKind::TimedOut.into(),
    };
    let now = router.now();
    log::info!(request = call.id, server:% = target.life, error:% = error,
        took_ms = now.since(begun).0; "connect_failed");
    match error.kind() {
        // The pool's limit says nothing of the path.
        io::ErrorKind::QuotaExceeded => {}
        io::ErrorKind::TimedOut => record_silence(router, service, target),
        _ => service.record_no_connection(now, target),
    }
    None
}

/// Checks a response, records what its headers report of the server and starts its body.
pub(super) async fn handle_response(
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
    if in_flight.is_direct() {
        let mut reach = router.reach.borrow_mut();
        reach.record_response(router.now(), &in_flight.target.dc);
    }
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
pub(super) fn new_request(
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
