//! Whether a request is known to end the servers that run it.

use std::rc::Rc;

use chicoryrail_core::Fingerprint;
use chicoryrail_policy::Standing;
use chicoryrail_runtime::RequestBody;
use http::StatusCode;

use crate::control;
use crate::control::Probe;
use crate::control::begin_probe;
use crate::route::caller_request::CallerRequest;
use crate::route::response_body::Streamed;
use crate::route::run::Run;
use crate::route::send_outcome::Indeterminate;
use crate::route::send_outcome::SendOutcome;
use crate::route::watched_body::WatchedBody;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;

/// Whether a request may be sent to a server now.
pub(super) enum Permission {
    /// It may be sent; a suspected request runs under a probe.
    Granted(Option<Probe>),
    /// It is suspected, and may be sent when other runs have ended.
    Wait,
    /// It ends each server that runs it.
    Blocked,
}

/// Returns whether a request may run, as far as this host knows. A request that another host has admitted is judged there.
pub(super) fn standing(router: &Router, call: &CallerRequest, body: &RequestBody) -> Standing {
    request_in_evidence(router, call, body).map_or(Standing::Clear, |request| {
        router.crashes.table.borrow().standing(request)
    })
}

/// Returns the fingerprint of a request if there may be evidence against it. The body is hashed only then.
fn request_in_evidence(
    router: &Router,
    call: &CallerRequest,
    body: &RequestBody,
) -> Option<Fingerprint> {
    let table = router.crashes.table.borrow();
    if !table.has_evidence() || call.is_forwarded || !table.has_head(call.head_hash()) {
        return None;
    }
    Some(call.fingerprint(body))
}

/// Returns `true` if a request must not be sent: there is evidence against it, and its run was not granted.
pub(super) fn is_held_back(router: &Router, call: &CallerRequest, body: &RequestBody) -> bool {
    match standing(router, call, body) {
        Standing::Clear => false,
        Standing::Suspect(_) => !call.has_probe.get(),
        Standing::Blocked => true,
    }
}

/// Asks whether a request may be sent now.
pub(super) async fn request_permission(
    router: &Rc<Router>,
    service: &Service,
    call: &CallerRequest,
    body: &RequestBody,
) -> Permission {
    call.has_probe.set(false);
    match standing(router, call, body) {
        Standing::Clear => return Permission::Granted(None),
        Standing::Blocked => return Permission::Blocked,
        Standing::Suspect(_) => {}
    }
    let left = call.time_to_respond(router);
    let probe = begin_probe(router, service, call.fingerprint(body), left).await;
    match probe {
        Some(probe) => {
            call.has_probe.set(true);
            Permission::Granted(Some(probe))
        }
        None => Permission::Wait,
    }
}

/// Records what the end of a send says of the request: that its server ended under it, or that it ran completely. A streamed
/// response tells it at its own end.
pub(super) fn record_send(
    router: &Rc<Router>,
    service: &Rc<Service>,
    call: &CallerRequest,
    body: &RequestBody,
    (target, is_forwarded): (&Rc<Target>, bool),
    sent: SendOutcome,
) -> SendOutcome {
    let may_have_ended = || !is_forwarded && target.may_have_ended(router.now());
    let run = || Run {
        router: Rc::clone(router),
        service: Rc::clone(service),
        target: Rc::clone(target),
        request: call.fingerprint(body),
        head: call.head_hash(),
    };
    match sent {
        SendOutcome::Indeterminate(Indeterminate::Ended) => run().record_end(),
        SendOutcome::Indeterminate(Indeterminate::Broken | Indeterminate::Truncated)
            if may_have_ended() =>
        {
            monoio::spawn(run().record_late_end());
        }
        // A server that gave up at the deadline has not run the request to its end.
        SendOutcome::Answered(ref response) | SendOutcome::ServerError(ref response)
            if response.status() == StatusCode::GATEWAY_TIMEOUT => {}
        SendOutcome::Answered(response) if response.extensions().get::<Streamed>().is_some() => {
            if !may_have_ended() {
                return SendOutcome::Answered(response);
            }
            return SendOutcome::Answered(response.map(|body| WatchedBody::wrap(body, run())));
        }
        SendOutcome::Unusual(response) if may_have_ended() => {
            return SendOutcome::Unusual(response.map(|body| WatchedBody::wrap(body, run())));
        }
        SendOutcome::Answered(_) | SendOutcome::ServerError(_) => {
            if let Some(request) = request_in_evidence(router, call, body) {
                control::record_complete(router, request);
            }
        }
        _ => {}
    }
    sent
}

/// Logs that a request is refused because of the servers that ended under it.
pub(super) fn log_held_back(router: &Router, call: &CallerRequest, body: &RequestBody) {
    let request = call.fingerprint(body);
    let table = router.crashes.table.borrow();
    let ends = table.record(request).map_or(0, |record| record.ends.len());
    log::info!(request = call.id, fingerprint:% = request, ended = ends,
        standing:? = table.standing(request); "request_held_back");
}
