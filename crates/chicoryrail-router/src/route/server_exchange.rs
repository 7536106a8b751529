//! Builds the request to a server, and handles the response.

use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_core::RouteKind;
use chicoryrail_platform::call_header;
use chicoryrail_policy::ResponseSizes;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::frame_request;
use chicoryrail_runtime::frame_response;
use chicoryrail_runtime::has_known_coding;
use chicoryrail_runtime::has_two_framings;
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
use crate::route::in_flight::InFlight;
use crate::route::response_body;
use crate::route::response_body::BodyStart;
use crate::route::response_body::Exchange;
use crate::route::send_outcome::Indeterminate;
use crate::route::send_outcome::NotRun;
use crate::route::send_outcome::SendOutcome;
use crate::route::server_report;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;

/// Longest time for reading the rest of a refusal, so that its connection can be used again.
const REFUSAL_READ_TIMEOUT: Millis = Millis(100);

/// Checks a response, records what its headers report of the server and starts its body.
pub(super) async fn handle_response(
    router: &Router,
    service: &Service,
    call: &CallerRequest,
    response: Response<Incoming>,
    mut in_flight: InFlight,
) -> SendOutcome {
    let (mut head, body) = response.into_parts();
    if in_flight.is_direct() {
        in_flight.record_response(&head.headers);
    }
    // A late response to an earlier request, or one that names no request, arrived in place of this one's. It must not
    // reach this caller, and the connection is not reused, since later responses on it may be out of step as well.
    let echoed = head.headers.get(call_header::REQUEST_ID);
    if echoed != call.headers.get(call_header::REQUEST_ID) {
        return SendOutcome::Indeterminate(match echoed {
            Some(_) => Indeterminate::Crossed,
            None => Indeterminate::Spoiled,
        });
    }
    if in_flight.is_direct() {
        let mut reach = router.reach.borrow_mut();
        reach.record_response(router.now(), &in_flight.target.dc);
    }
    server_report::record_load(router, service, &in_flight, &head.headers);
    let reuse = !is_connection_close(&head.headers) && !has_two_framings(&head.headers);
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        discard(body, in_flight, reuse);
        return SendOutcome::NotRun(NotRun::Misdirected);
    }
    server_report::record_rate_limit(router, &in_flight, &head.headers);
    server_report::record_drain(router, call, &in_flight, &head.headers);
    if head.status == StatusCode::SERVICE_UNAVAILABLE {
        server_report::record_backoff(router, call, &in_flight, &head.headers);
    }
    if head.headers.contains_key(call_header::NOT_RUN) {
        discard(body, in_flight, reuse);
        return SendOutcome::NotRun(NotRun::Refused);
    }
    let stamped = head.headers.contains_key(call_header::UPSTREAM_STAMP);
    // The rest of a connection that changes its protocol is no body.
    let is_framed = !head.status.is_informational() && has_known_coding(&head.headers);
    let is_coded = head.headers.contains_key(CONTENT_ENCODING);
    if !stamped || echoed.is_none() || !is_framed || is_coded {
        return SendOutcome::Indeterminate(Indeterminate::Spoiled);
    }
    let held = router.response_budget().map(|budget| budget.take(0));
    let start =
        match response_body::read_start(body, response_body::buffer_limit(call.route.kind), held)
            .await
        {
            Ok(start) => start,
            Err(_) => return SendOutcome::Indeterminate(Indeterminate::Truncated),
        };
    head.headers = strip_hop_by_hop(head.headers);
    head.version = http::Version::HTTP_11;
    head.extensions.clear();
    let is_server_error = head.status.is_server_error();
    let is_streamed = matches!(start, BodyStart::Partial(..));
    if is_streamed {
        head.extensions.insert(response_body::Streamed);
    }
    let sizes = router.route_stats.response_sizes(&call.route.name);
    let is_unusual = is_streamed && is_unusual(call, sizes.get(), start.size_min());
    // A request that failed may be sent again, which needs the body.
    let is_final = !is_server_error && !is_unusual;
    if is_final {
        in_flight.settle();
    }
    let exchange = Exchange {
        in_flight,
        reuse,
        rest_limit: is_final.then(|| call.time_to_respond(router)),
        ends: Instant::now() + call.time_left(router.now()).to_duration(),
        sizes: head.status.is_success().then_some(sizes),
    };
    let body = response_body::into_body(start, exchange);
    let mut response = Response::from_parts(head, body);
    frame_response(&mut response, &call.method);
    if is_server_error {
        SendOutcome::ServerError(response)
    } else if is_unusual {
        SendOutcome::Unusual(response)
    } else {
        SendOutcome::Answered(response)
    }
}

/// Returns `true` if a response of `bytes` or more is far longer than all others of its route, so that the request should
/// be sent to another server. If that one's response is as long, it is the right one.
fn is_unusual(call: &CallerRequest, sizes: ResponseSizes, bytes: u64) -> bool {
    if call.route.kind != RouteKind::Read || call.is_forwarded || !sizes.is_unusual(bytes) {
        return false;
    }
    let had_unusual = &mut call.stats.borrow_mut().had_unusual_response;
    !std::mem::replace(had_unusual, true)
}

/// Ends a request whose response head says that it did not run. Its body is read aside: it may never end, and the request
/// can be sent to another server at once.
fn discard(body: Incoming, in_flight: InFlight, reuse: bool) {
    let Some((conn, pool)) = in_flight.end_not_run(reuse) else {
        return;
    };
    monoio::spawn(async move {
        let limit = response_body::buffer_limit(RouteKind::Read);
        let read = response_body::read_start(body, limit, None);
        let read = timeout(REFUSAL_READ_TIMEOUT.to_duration(), read).await;
        if let Ok(Ok(BodyStart::Whole(..))) = read
            && let Some(conn) = conn.into_idle()
        {
            pool.release(conn);
        }
    });
}

/// Builds the request to the server, which carries `bytes`, with the time that is left for the response and the server that is expected at the address.
pub(super) fn new_request(
    call: &CallerRequest,
    target: &Target,
    bytes: Body,
    time_left: Millis,
) -> Request<Body> {
    let mut request = Request::new(bytes);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let mut headers = call.headers.clone();
    headers.insert(call_header::EXPECTED_SERVER, target.expect_header.clone());
    let time_left = HeaderValue::from(time_left.0.max(1));
    headers.insert(call_header::TIME_LEFT, time_left);
    *request.headers_mut() = headers;
    frame_request(&mut request);
    request
}
