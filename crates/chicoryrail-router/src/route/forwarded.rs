//! Passes on requests of other hosts to servers that those hosts can't reach.
//!
//! The other host has admitted the request, holds its slot and decides about retries. This host sends the request to
//! that server once at most, and to no other host.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use chicoryrail_core::Millis;
use chicoryrail_policy::PathChoice;
use chicoryrail_policy::UploadPlan;
use chicoryrail_policy::Withheld;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::RequestBody;
use chicoryrail_runtime::full_body;
use http::Request;
use http::Response;
use http::StatusCode;

use crate::messages::FORWARD_PREFIX;
use crate::messages::ForwardEnd;
use crate::messages::ForwardHead;
use crate::route::caller_request::CallerRequest;
use crate::route::candidates::permit;
use crate::route::direct::NoConnection;
use crate::route::direct::send_directly;
use crate::route::in_flight::InFlight;
use crate::route::send_outcome::Indeterminate;
use crate::route::send_outcome::NotRun;
use crate::route::send_outcome::SendOutcome;
use crate::route::serving_guard::ServingGuard;
use crate::route::upload;
use crate::state::Router;
use crate::state::Service;
use crate::state::check_path;

/// CPU capacity, in thousandths of a core, for each request that a host passes on at a time. A request takes some tenths
/// of a second and a fraction of a millisecond of CPU time, so its own callers' requests keep most of the capacity.
const POWER_PER_REQUEST: u32 = 2;

/// Number of requests that the weakest host passes on at a time.
const FORWARDING_MIN: u32 = 16;

/// Maximum number of requests that a host passes on at a time. Those of its own callers need the rest of its
/// connections.
const FORWARDING_MAX: u32 = 256;

/// Returns `true` if another host asks this one to pass a request on.
pub(crate) fn is_forwarded(request: &Request<Body>) -> bool {
    let rest = request.uri().path().strip_prefix(FORWARD_PREFIX);
    rest.is_some_and(|rest| rest.starts_with('/'))
}

/// Passes a request on to the server that the message names, and returns the server's response or why there is none.
pub(crate) async fn serve_forwarded(
    router: Rc<Router>,
    request: Request<Body>,
    from: SocketAddr,
) -> Response<Body> {
    let mut serving = ServingGuard::new(&router);
    let (mut parts, body) = request.into_parts();
    let head = ForwardHead::take(&mut parts.headers);
    let call = strip_prefix(&parts.uri).and_then(|uri| {
        parts.uri = uri;
        CallerRequest::forwarded(&router, parts, from, &head.as_ref()?.service)
    });
    let (Some(head), Some(call)) = (head, call) else {
        return report(ForwardEnd::Unknown);
    };
    serving.track(&call.progress);
    let started = router.now();
    let body = upload::wrap_body(&router, &call, body, false);
    let (end, response) = match pass_on(&router, &head, &call, &body).await {
        Ok(response) => (ForwardEnd::Answered, response),
        Err(end) => (end, report(end)),
    };
    let labels = [head.service.as_str(), end.name()];
    router.counters.forwarded.with_label_values(&labels).inc();
    if end != ForwardEnd::Answered || call.is_sampled(&router) {
        log::info!(request = call.id, server:% = head.life, service:% = head.service,
            from:% = from.ip(), took_ms = router.now().since(started).0; "forwarded_{}", end.name());
    }
    serving.hold_until_end(response)
}

fn strip_prefix(uri: &http::Uri) -> Option<http::Uri> {
    let path = uri.path_and_query()?.as_str();
    path.strip_prefix(FORWARD_PREFIX)?.parse().ok()
}

/// Sends the request once, directly.
async fn pass_on(
    router: &Rc<Router>,
    head: &ForwardHead,
    call: &CallerRequest,
    body: &Rc<RequestBody>,
) -> Result<Response<Body>, ForwardEnd> {
    let _forwarding = ForwardingGuard::begin(router).ok_or(ForwardEnd::Busy)?;
    if call.is_host_out_of_time(router) {
        return Err(ForwardEnd::Busy);
    }
    if let Some(flow) = body.flow() {
        let (declared, free) = (body.declared_rest(), router.budget.free());
        let plan = UploadPlan::passed_on(declared, free).ok_or(ForwardEnd::Busy)?;
        flow.hold(router.budget.take(plan.held));
    }
    let service = router.service(&head.service);
    let target = service.target(&head.life).ok_or(ForwardEnd::Unknown)?;
    let now = router.now();
    if let Some(why) = permit(router, call, &target, now).withheld() {
        return Err(withheld_end(why));
    }
    match service.choose_path(now, &target) {
        PathChoice::Direct => {}
        PathChoice::ForwardUnconfirmed => return Err(no_connection(&service, now)),
        PathChoice::Forward => {
            check_path(router, &service, &target);
            return Err(ForwardEnd::NoPath);
        }
    }
    let in_flight = InFlight::new(&service, &target, None);
    let sending = send_directly(router, call, body, in_flight, true);
    match call.wait_to_respond(router, sending).await {
        Some(Ok(sent)) => end_of(sent),
        Some(Err(unsent)) => Err(match unsent.why {
            NoConnection::Limit | NoConnection::Stopping => ForwardEnd::Busy,
            NoConnection::Failed => no_connection(&service, router.now()),
        }),
        None => Err(ForwardEnd::Silent),
    }
}

/// Returns how a request ended for which this host could not connect to the server.
fn no_connection(service: &Service, now: Millis) -> ForwardEnd {
    if service.doubts_paths(now) {
        ForwardEnd::NoPath
    } else {
        ForwardEnd::Unreachable
    }
}

fn end_of(sent: SendOutcome) -> Result<Response<Body>, ForwardEnd> {
    Err(match sent {
        SendOutcome::Answered(response)
        | SendOutcome::ServerError(response)
        | SendOutcome::Unusual(response) => {
            let mut response = response;
            ForwardEnd::Answered.write(response.headers_mut());
            return Ok(response);
        }
        SendOutcome::NotRun(why) => match why {
            NotRun::Refused => ForwardEnd::Refused,
            NotRun::Misdirected => ForwardEnd::Misdirected,
            NotRun::Withheld(why) => withheld_end(why),
            NotRun::NoConnection | NotRun::Stopping | NotRun::BodySpent => ForwardEnd::Busy,
            NotRun::Unreachable | NotRun::NoPath | NotRun::Suspected | NotRun::CallerLeft => {
                ForwardEnd::Unreachable
            }
        },
        SendOutcome::Indeterminate(why) => match why {
            // A body that fails here has failed at the host that sent it, which knows why.
            Indeterminate::Broken | Indeterminate::BodyFailed(_) => ForwardEnd::Broken,
            Indeterminate::Ended => ForwardEnd::Ended,
            Indeterminate::Crossed => ForwardEnd::Crossed,
            Indeterminate::Spoiled | Indeterminate::Truncated => ForwardEnd::Spoiled,
            Indeterminate::Silent | Indeterminate::Stopping => ForwardEnd::Silent,
        },
    })
}

const fn withheld_end(why: Withheld) -> ForwardEnd {
    match why {
        Withheld::Draining => ForwardEnd::Draining,
        Withheld::Backoff(time) => ForwardEnd::Backoff(time),
    }
}

/// Builds the message that reports why there is no response of the server.
fn report(end: ForwardEnd) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    end.write(response.headers_mut());
    response
}

/// Counts a request that is being passed on until the guard is dropped.
struct ForwardingGuard(Rc<Router>);

impl ForwardingGuard {
    /// Returns `None` if as many requests as allowed are being passed on.
    fn begin(router: &Rc<Router>) -> Option<Self> {
        let count = router.forwarding.get();
        let max = (router.power() / POWER_PER_REQUEST).clamp(FORWARDING_MIN, FORWARDING_MAX);
        if count >= max {
            return None;
        }
        router.forwarding.set(count + 1);
        Some(Self(Rc::clone(router)))
    }
}

impl Drop for ForwardingGuard {
    fn drop(&mut self) {
        self.0.forwarding.set(self.0.forwarding.get() - 1);
    }
}
