//! Sends a request on a connection of this host to the server.

use std::error::Error;
use std::io;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::BodySpent;
use chicoryrail_runtime::BusyConn;
use chicoryrail_runtime::RequestBody;
use chicoryrail_runtime::ServerConn;
use monoio::time::timeout;

use crate::control::ServerCheck;
use crate::control::check_server;
use crate::route::body_log::log_spent;
use crate::route::body_log::observe_send;
use crate::route::caller_request::CallerRequest;
use crate::route::candidates::permit;
use crate::route::in_flight::InFlight;
use crate::route::send_outcome::Indeterminate;
use crate::route::send_outcome::NotRun;
use crate::route::send_outcome::SendOutcome;
use crate::route::server_exchange::handle_response;
use crate::route::server_exchange::new_request;
use crate::route::suspicion::is_held_back;
use crate::route::warmup_log::log_warmup_send;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;

/// Longest wait for a new connection to a server while other hosts can be asked. Servers are a few milliseconds away,
/// but a host that has used up its CPU quota for the current period of 100 ms connects later.
const CONNECT_WAIT_MAX: Millis = Millis(120);

/// Number of characters of a request's path that are logged.
const LOGGED_PATH_MAX: usize = 200;

/// Reason for which there is no connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoConnection {
    /// All connections that this host may open to the server are in use.
    Limit,
    /// The server can't be reached, or the connection broke before the request was written.
    Failed,
    /// This host's process ends before the request could be sent.
    Stopping,
}

/// A request of which nothing was sent.
pub(super) struct Unsent {
    pub(super) in_flight: InFlight,
    pub(super) why: NoConnection,
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
) -> Result<SendOutcome, Box<Unsent>> {
    let (service, target) = (Rc::clone(&in_flight.service), Rc::clone(&in_flight.target));
    let connected = connect(router, &service, &target, call, has_alternative).await;
    let conn = match connected {
        Ok(conn) => conn,
        Err(why) => return Err(Box::new(Unsent { in_flight, why })),
    };
    if call.caller_left.is_cancelled() {
        target.pool.release(conn);
        return Ok(SendOutcome::NotRun(NotRun::CallerLeft));
    }
    if call.is_host_out_of_time(router) {
        target.pool.release(conn);
        return Ok(SendOutcome::NotRun(NotRun::Stopping));
    }
    if let Some(why) = permit(router, call, &target, router.now()).withheld() {
        target.pool.release(conn);
        return Ok(SendOutcome::NotRun(NotRun::Withheld(why)));
    }
    if is_held_back(router, call, body) {
        target.pool.release(conn);
        return Ok(SendOutcome::NotRun(NotRun::Suspected));
    }
    let observer = observe_send(router, call, body, &target.life);
    let (conn, bytes) = match BusyConn::begin(conn, body, observer) {
        Ok(begun) => begun,
        Err(spent) => {
            let (conn, BodySpent) = *spent;
            log_spent(call, body, &target.life);
            target.pool.release(conn);
            return Ok(SendOutcome::NotRun(NotRun::BodySpent));
        }
    };
    let conn = in_flight.attach(conn);
    let sent_at = router.now();
    call.progress.record_write(sent_at);
    log_warmup_send(router, call, &target);
    let request = new_request(call, &target, bytes, call.time_to_respond(router));
    let response = match conn.send(request).await {
        Ok(response) => response,
        Err(mut error) => {
            // The error returns the request only if it was never written.
            if error.take_message().is_none() {
                let why = match body.upload_error() {
                    Some(failed) => Indeterminate::BodyFailed(failed),
                    None => {
                        log_broken(
                            call,
                            body,
                            &target,
                            (error.error(), router.now().since(sent_at)),
                        );
                        explain_break(router, call, &in_flight, error.error()).await
                    }
                };
                return Ok(SendOutcome::Indeterminate(why));
            }
            in_flight.detach();
            let why = NoConnection::Failed;
            return Err(Box::new(Unsent { in_flight, why }));
        }
    };
    service.record_contact(router.now(), &target);
    router.server_reach.record_way();
    let sent = handle_response(router, &service, call, response, in_flight).await;
    if matches!(sent, SendOutcome::Indeterminate(Indeterminate::Truncated))
        && has_ended(router, call, &target).await
    {
        return Ok(SendOutcome::Indeterminate(Indeterminate::Ended));
    }
    Ok(sent)
}

/// Returns why a connection broke before the response: whether its server has ended.
///
/// A server that was draining ends as it said, and one that acknowledges nothing may be cut off, so neither is checked.
async fn explain_break(
    router: &Router,
    call: &CallerRequest,
    in_flight: &InFlight,
    error: &hyper::Error,
) -> Indeterminate {
    let (service, target) = (&in_flight.service, &in_flight.target);
    if is_timed_out(error) {
        record_silence(router, service, target);
        return Indeterminate::Broken;
    }
    if has_ended(router, call, target).await {
        Indeterminate::Ended
    } else {
        Indeterminate::Broken
    }
}

/// Returns `true` if a server whose connection broke refuses a new one. A host that has lost its own paths is corrected by
/// those that still reach the server.
async fn has_ended(router: &Router, call: &CallerRequest, target: &Target) -> bool {
    if !target.may_have_ended(router.now()) {
        return false;
    }
    let begun = router.now();
    let check = check_server(target).await;
    log::info!(request = call.id, server:% = target.life, check = check.name(),
        took_ms = router.now().since(begun).0; "server_checked");
    check == ServerCheck::Refused
}

/// Logs a request whose connection broke before the response, after the request had been sent for `took`.
fn log_broken(
    call: &CallerRequest,
    body: &RequestBody,
    target: &Target,
    (error, took): (&hyper::Error, Millis),
) {
    let path: String = call.uri.to_string().chars().take(LOGGED_PATH_MAX).collect();
    let fingerprint = (!call.is_forwarded).then(|| call.fingerprint(body));
    log::info!(request = call.id, server:% = target.life, method:% = call.method, path = path,
        head = call.head_hash(), fingerprint = fingerprint.map_or_else(|| "-".to_owned(), |f| f.to_string()),
        key = call.key.map_or_else(|| "-".to_owned(), |key| key.to_string()),
        body_bytes = body.buffered_len(), from:% = call.from, error:% = error,
        took_ms = took.0, connections = target.pool.open_connections(); "connection_broken");
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
pub(super) fn record_silence(router: &Router, service: &Service, target: &Target) {
    target.pool.close_idle();
    service.record_no_connection(router.now(), target);
}

/// Takes a connection from the pool of a server, or opens one.
///
/// # Errors
///
/// Returns why none is available.
async fn connect(
    router: &Router,
    service: &Service,
    target: &Target,
    call: &CallerRequest,
    has_alternative: bool,
) -> Result<ServerConn, NoConnection> {
    let begun = router.now();
    let acquiring = target.pool.acquire(target.addr, call.tag());
    let acquired = if has_alternative {
        let wait_max = CONNECT_WAIT_MAX.min(call.time_to_send(router));
        timeout(wait_max.to_duration(), acquiring).await.ok()
    } else {
        call.wait_to_send(router, acquiring).await
    };
    let error = match acquired {
        Some(Ok(conn)) => return Ok(conn),
        Some(Err(e)) => e,
        None if call.is_host_out_of_time(router) => return Err(NoConnection::Stopping),
        None => io::ErrorKind::TimedOut.into(),
    };
    let now = router.now();
    log::info!(request = call.id, server:% = target.life, error:% = error,
        took_ms = now.since(begun).0; "connect_failed");
    match error.kind() {
        // The pool's limit says nothing of the path.
        io::ErrorKind::QuotaExceeded => return Err(NoConnection::Limit),
        io::ErrorKind::TimedOut => record_silence(router, service, target),
        _ => service.record_no_connection(now, target),
    }
    Err(NoConnection::Failed)
}
