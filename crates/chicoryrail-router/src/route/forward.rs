//! Sends a request through another host, where this one can't reach the server.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_policy::ForwarderLoad;
use chicoryrail_policy::Withheld;
use chicoryrail_runtime::BodySpent;
use chicoryrail_runtime::BusyConn;
use chicoryrail_runtime::RequestBody;
use http::HeaderMap;
use http::Response;
use http::Uri;
use hyper::body::Incoming;
use monoio::time::timeout;

use crate::messages::FORWARD_PREFIX;
use crate::messages::ForwardEnd;
use crate::messages::ForwardHead;
use crate::route::body_log::log_spent;
use crate::route::body_log::observe_send;
use crate::route::caller_request::CallerRequest;
use crate::route::candidates::permit;
use crate::route::in_flight::InFlight;
use crate::route::response_body;
use crate::route::send_outcome::Indeterminate;
use crate::route::send_outcome::NotRun;
use crate::route::send_outcome::SendOutcome;
use crate::route::server_exchange::handle_response;
use crate::route::server_exchange::new_request;
use crate::route::suspicion::is_held_back;
use crate::state::Forwarder;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;

/// Maximum number of hosts that are asked to pass on one request.
const FORWARDERS_MAX: usize = 10;

/// Number of hosts that could not connect to a server from which on the server itself counts as unreachable. Some of
/// the hosts may have lost the same paths and not know it yet.
const UNREACHABLE_HOSTS_MIN: usize = 2;

/// Timeout for opening a connection to another host.
const CONNECT_TIMEOUT: Millis = Millis(100);

/// Largest body of a message that reports why a request was not passed on.
const END_BODY_BYTES_MAX: usize = 1 << 10;

/// Returns `true` if there are other hosts that could pass on a request.
pub(super) fn has_forwarders(router: &Router) -> bool {
    let peers = router.peers.borrow();
    let mut hosts = peers.recent_peers(router.now());
    hosts.any(|(_, _, state)| state.schedules)
}

/// Sends a request through one of the other hosts, and waits for the response.
pub(super) async fn send_through_others(
    router: &Router,
    call: &CallerRequest,
    body: &Rc<RequestBody>,
    mut in_flight: InFlight,
) -> SendOutcome {
    let (service, target) = (Rc::clone(&in_flight.service), Rc::clone(&in_flight.target));
    let forwarders = forwarders(router, &service, &target);
    let (mut unreachable, mut without_path) = (0, 0);
    for forwarder in &forwarders {
        if let Some(why) = withheld(router, call, body, &target) {
            return SendOutcome::NotRun(why);
        }
        if call.time_to_send(router) == Millis::ZERO {
            break;
        }
        let asked = ask(router, call, body, in_flight, forwarder).await;
        let end = match asked {
            Asked::Sent(sent) => {
                service.record_forwarded(&target);
                router.server_reach.record_way();
                return sent;
            }
            Asked::MayHaveRun(why) => return SendOutcome::Indeterminate(why),
            Asked::Spent => return SendOutcome::NotRun(NotRun::BodySpent),
            Asked::NotSent(back, end) => {
                in_flight = *back;
                end
            }
        };
        log::info!(request = call.id, server:% = target.life, host:% = forwarder.addr,
            end = end.map_or("no_answer", ForwardEnd::name); "forward_failed");
        match end {
            Some(ForwardEnd::Busy) => {}
            Some(ForwardEnd::Unreachable) => {
                unreachable += 1;
                forwarder.avoid(router.now(), &service.name, &target.dc);
            }
            Some(ForwardEnd::NoPath) => {
                without_path += 1;
                forwarder.avoid(router.now(), &service.name, &target.dc);
            }
            _ => forwarder.avoid(router.now(), &service.name, &target.dc),
        }
        if unreachable >= UNREACHABLE_HOSTS_MIN && !service.doubts_paths(router.now()) {
            break;
        }
    }
    let now = router.now();
    // With one other host, that host's word is all there is.
    let others = router.peers.borrow().core_host_count() - 1;
    let is_confirmed = unreachable > 0
        && unreachable >= UNREACHABLE_HOSTS_MIN.min(others)
        && !service.doubts_paths(now);
    // While most servers of a service are down every host doubts its paths, but no host reaches the server.
    let asked_all = !forwarders.is_empty() && forwarders.len() < FORWARDERS_MAX;
    let none_reaches = asked_all && unreachable + without_path == forwarders.len();
    if is_confirmed || none_reaches {
        service.record_server_failure(now, &target);
        return SendOutcome::NotRun(NotRun::Unreachable);
    }
    router.server_reach.record_no_way(now);
    SendOutcome::NotRun(NotRun::NoPath)
}

/// Returns why nothing may be sent any more: the caller left, the request may end servers, or the server's notices
/// forbid it.
fn withheld(
    router: &Router,
    call: &CallerRequest,
    body: &RequestBody,
    target: &Target,
) -> Option<NotRun> {
    if call.caller_left.is_cancelled() {
        return Some(NotRun::CallerLeft);
    }
    if call.is_host_out_of_time(router) {
        return Some(NotRun::Stopping);
    }
    if is_held_back(router, call, body) {
        return Some(NotRun::Suspected);
    }
    let withheld = permit(router, call, target, router.now()).withheld();
    withheld.map(NotRun::Withheld)
}

/// Returns the hosts to ask, in this order: first those that are not known to have lost the path, near and strong ones
/// with few requests before others.
fn forwarders(router: &Router, service: &Service, target: &Target) -> Vec<Rc<Forwarder>> {
    let now = router.now();
    let dc = router.boot().dc.clone();
    let peers = router.peers.borrow();
    let hosts = peers.recent_peers(now).filter(|(_, _, s)| s.schedules);
    let scored = hosts.map(|(_, addr, state)| {
        let forwarder = router.forwarders.at(addr);
        let load = ForwarderLoad {
            power: state.power,
            is_local: state.dc.as_ref() == Some(&dc),
            in_flight: forwarder.in_flight.get(),
        };
        let avoided = forwarder.is_avoided(now, &service.name, &target.dc);
        (avoided, load.score(&mut rand::rng()), forwarder)
    });
    let mut scored: Vec<_> = scored.collect();
    scored.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| b.1.total_cmp(&a.1)));
    let ordered = scored.into_iter().map(|(_, _, forwarder)| forwarder);
    ordered.take(FORWARDERS_MAX).collect()
}

/// How asking one host ended.
enum Asked {
    /// The host sent the request to the server.
    Sent(SendOutcome),
    /// The host, or the server behind it, may have run the request.
    MayHaveRun(Indeterminate),
    /// The host did not send the request; the reason, if it answered.
    NotSent(Box<InFlight>, Option<ForwardEnd>),
    /// Nothing was sent to the host, since a host that was asked before has taken a part of the body.
    Spent,
}

async fn ask(
    router: &Router,
    call: &CallerRequest,
    body: &Rc<RequestBody>,
    mut in_flight: InFlight,
    forwarder: &Rc<Forwarder>,
) -> Asked {
    forwarder.begin_use(router.now());
    let connected = forwarder.pool.acquire(forwarder.addr);
    let wait_max = CONNECT_TIMEOUT.min(call.time_to_send(router));
    let Ok(Ok(conn)) = timeout(wait_max.to_duration(), connected).await else {
        return Asked::NotSent(Box::new(in_flight), None);
    };
    let target = &in_flight.target;
    let head = ForwardHead {
        service: in_flight.service.name.clone(),
        life: target.life.clone(),
    };
    let mut headers = HeaderMap::new();
    let Some(uri) = forward_uri(&call.uri).filter(|_| head.write(&mut headers)) else {
        forwarder.pool.release(conn);
        return Asked::NotSent(Box::new(in_flight), None);
    };
    let observer = observe_send(router, call, body, &forwarder.addr);
    let (conn, bytes) = match BusyConn::begin(conn, body, observer) {
        Ok(begun) => begun,
        Err(spent) => {
            let (conn, BodySpent) = *spent;
            log_spent(call, body, &forwarder.addr);
            forwarder.pool.release(conn);
            return Asked::Spent;
        }
    };
    let mut request = new_request(call, target, bytes, call.time_to_respond(router));
    request.headers_mut().extend(headers);
    *request.uri_mut() = uri;
    call.stats.borrow_mut().via = Some(forwarder.addr);
    call.progress.record_write(router.now());
    let conn = in_flight.attach_forwarder(conn, forwarder);
    let mut error = match conn.send(request).await {
        Ok(response) => return handle_end(router, call, response, in_flight).await,
        Err(error) => error,
    };
    // The error returns the request only if it was never written.
    if error.take_message().is_none() {
        let failed = body.upload_error().map(Indeterminate::BodyFailed);
        return Asked::MayHaveRun(failed.unwrap_or(Indeterminate::Broken));
    }
    in_flight.detach();
    Asked::NotSent(Box::new(in_flight), None)
}

/// Returns the URI under which another host is asked to pass a request on.
fn forward_uri(uri: &Uri) -> Option<Uri> {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    format!("{FORWARD_PREFIX}{path}").parse().ok()
}

/// Handles the answer of the host that was asked. One without a known end comes from a host that does not know the
/// message and has not read it.
async fn handle_end(
    router: &Router,
    call: &CallerRequest,
    mut response: Response<Incoming>,
    in_flight: InFlight,
) -> Asked {
    let end = ForwardEnd::take(response.headers_mut());
    let labels = [
        in_flight.service.name.as_str(),
        end.map_or("no_answer", ForwardEnd::name),
    ];
    router.counters.forwards.with_label_values(&labels).inc();
    let not_run = |why| Asked::Sent(SendOutcome::NotRun(why));
    match end {
        Some(ForwardEnd::Answered) => {
            let service = Rc::clone(&in_flight.service);
            Asked::Sent(handle_response(router, &service, call, response, in_flight).await)
        }
        Some(ForwardEnd::Refused) => not_run(NotRun::Refused),
        Some(ForwardEnd::Misdirected) => not_run(NotRun::Misdirected),
        Some(ForwardEnd::Draining) => not_run(NotRun::Withheld(Withheld::Draining)),
        Some(ForwardEnd::Backoff(time)) => not_run(NotRun::Withheld(Withheld::Backoff(time))),
        Some(ForwardEnd::Broken) => Asked::MayHaveRun(Indeterminate::Broken),
        Some(ForwardEnd::Ended) => Asked::MayHaveRun(Indeterminate::Ended),
        Some(ForwardEnd::Crossed) => Asked::MayHaveRun(Indeterminate::Crossed),
        Some(ForwardEnd::Spoiled) => Asked::MayHaveRun(Indeterminate::Spoiled),
        Some(ForwardEnd::Silent) => Asked::MayHaveRun(Indeterminate::Silent),
        Some(
            ForwardEnd::Unreachable | ForwardEnd::NoPath | ForwardEnd::Unknown | ForwardEnd::Busy,
        )
        | None => not_sent(response, in_flight, end).await,
    }
}

/// Reads the rest of a message that reports why a request was not sent, so that its connection can be reused.
async fn not_sent(
    response: Response<Incoming>,
    mut in_flight: InFlight,
    end: Option<ForwardEnd>,
) -> Asked {
    let reuse = !chicoryrail_runtime::is_connection_close(response.headers());
    let read = response_body::read_start(response.into_body(), END_BODY_BYTES_MAX, None).await;
    let is_whole = matches!(read, Ok(response_body::BodyStart::Whole(..)));
    if let Some((conn, pool)) = in_flight.detach().filter(|_| reuse && is_whole)
        && let Some(conn) = conn.into_idle()
    {
        pool.release(conn);
    }
    Asked::NotSent(Box::new(in_flight), end)
}
