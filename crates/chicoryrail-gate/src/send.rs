//! Sends a request to a server whose slots this gate holds.

use std::future::pending;
use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use chicoryrail_core::Fence;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_platform::Targets;
use chicoryrail_platform::header;
use chicoryrail_policy::Ask;
use chicoryrail_policy::Outcome;
use chicoryrail_policy::Ticket;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::RequestBody;
use chicoryrail_runtime::ServerConn;
use chicoryrail_runtime::says_close;
use futures_util::future::Either;
use futures_util::future::select;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Uri;
use hyper::body::Incoming;
use monoio::time::timeout;

use crate::answer_body::AnswerBody;
use crate::answer_body::Exchange;
use crate::asserts;
use crate::call::Call;
use crate::free::write_load;
use crate::gate::Gate;
use crate::headers;
use crate::headers::inner;
use crate::lane::Lane;
use crate::lane::Permit;
use crate::refusal::Refusal;
use crate::server::Server;

/// Sends the request once, after it has got a slot and a connection.
///
/// # Errors
///
/// Returns the refusal; its code tells what is known of the run.
pub(crate) async fn to_server(
    gate: &Rc<Gate>,
    call: &Call,
    source: &Rc<RequestBody>,
    lane: &Rc<Lane>,
) -> Result<Response<Body>, Refusal> {
    let ask = Ask::new(Ticket(gate.serial()), call.class, call.deadline);
    let ask = call.key.map_or(ask, |key| ask.key(key.0));
    let permit = lane.enter(ask, call.key).await?;
    with_permit(gate, call, source, permit).await
}

/// Sends the request once, in a slot that it already has.
///
/// # Errors
///
/// Returns the refusal; its code tells what is known of the run.
pub(crate) async fn with_permit(
    gate: &Rc<Gate>,
    call: &Call,
    source: &Rc<RequestBody>,
    mut permit: Permit,
) -> Result<Response<Body>, Refusal> {
    let server = Rc::clone(&permit.server);
    let flight = permit
        .shard
        .fly(call.key, &server.name, call.entry.service.fenced);
    let conn = match server.pool.take(server.addr.get()).await {
        Ok(conn) => conn,
        Err(_) => {
            server.failed();
            permit.note(Outcome::Shed);
            return Err(ResultCode::NoServer.into());
        }
    };
    // The last moment before the write: the waits for a slot and a connection may have outlasted
    // the routes, or the process may have been stopped for a while. A server that does not check
    // fences would run the request although another owns the key by now.
    let now = gate.now();
    let table = permit.shard.routes(now);
    let table = table.filter(|t| t.sends(call.key, &server.name));
    let late = now >= call.deadline;
    let Some(table) = table.filter(|_| !late) else {
        server.pool.put(conn);
        let code = if late {
            ResultCode::DeadlinePassed
        } else {
            ResultCode::OwnerMoving
        };
        return Err(code.into());
    };
    let attempt = attempt_id(gate, call);
    let request = request(call, source, &server, table.fence, &attempt, now);
    asserts::before_write(gate, call, &permit.shard, &table, &server.name, now);
    call.trace.wrote();
    server.sent();
    let mut exchange = Exchange::new(conn, permit, flight, &server);
    if call.is_idempotent() {
        exchange = exchange.with_cancel(gate, &attempt);
    }
    if call.key.is_some() && !call.entry.service.fenced {
        exchange = exchange.with_linger(gate.process.clock, call.deadline);
    }
    exchange_once(gate, call, source, &server, exchange, request, &attempt).await
}

async fn exchange_once(
    gate: &Rc<Gate>,
    call: &Call,
    source: &RequestBody,
    server: &Rc<Server>,
    mut exchange: Exchange,
    request: Request<Body>,
    attempt: &HeaderValue,
) -> Result<Response<Body>, Refusal> {
    let started = Instant::now();
    let left = call.left(gate.now()).duration();
    let shard = Rc::clone(exchange.shard());
    let conn: &mut ServerConn = exchange.conn();
    let sent = timeout(left, conn.send.try_send_request(request));
    let lost = async {
        match call.is_idempotent() {
            true => shard.loses(&server.name).await,
            false => pending().await,
        }
    };
    let sent = match select(pin!(sent), pin!(lost)).await {
        Either::Left((sent, _)) => sent,
        // The lookup goes to the new owner in place of waiting for its deadline here.
        Either::Right(_) => {
            exchange.abandon(Outcome::Failed, false);
            let message = format!("{} is lost", server.name);
            return Err(Refusal::with(ResultCode::OutcomeUnknown, message));
        }
    };
    let answer = match sent {
        Ok(Ok(answer)) => answer,
        Ok(Err(mut error)) => {
            server.failed();
            if error.take_message().is_some() {
                exchange.abandon_unsent();
                call.trace.unran();
                return Err(ResultCode::NoServer.into());
            }
            // The connection is at its end, and so is the server's work for it.
            exchange.abandon(Outcome::Failed, false);
            let fault = source.fault().filter(|_| call.is_idempotent());
            return Err(fault.unwrap_or(ResultCode::OutcomeUnknown).into());
        }
        Err(_) => {
            server.failed();
            exchange.abandon(Outcome::Cancelled, true);
            return Err(ResultCode::AnswerLate.into());
        }
    };
    let us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    if answer.headers().get(header::REQUEST_ID) != Some(attempt) {
        // A late answer to an earlier request, or an answer to somebody else's: whoever it belongs
        // to, it is not this caller's, and nothing that follows on the connection can be trusted.
        gate.counters.mismatches.inc();
        server.failed();
        exchange.abandon(Outcome::Failed, true);
        return Err(Refusal::with(
            ResultCode::OutcomeUnknown,
            format!("the answer of {} belongs to another request", server.name),
        ));
    }
    server.answered(us, instance(answer.headers()));
    exchange.answered(us);
    if says_close(answer.headers()) {
        exchange.closes_after();
    }
    if answer.headers().contains_key(header::NOT_RUN) {
        call.trace.unran();
        return Err(refused(answer, exchange, server));
    }
    let own = answer.headers().get(header::REQUEST_ID) == Some(attempt);
    gate.process
        .invariants
        .check(Invariant::OwnAnswer, own, || {
            format!("server={} request={:?}", server.name, call.id)
        });
    Ok(pass(gate, call, server, answer, exchange))
}

/// Reads the refusal of a server that says it did not run the request.
fn refused(answer: Response<Incoming>, mut exchange: Exchange, server: &Server) -> Refusal {
    server.failed();
    // A server that has seen a higher fence is well; this gate's routes are old.
    let old = answer.status() == http::StatusCode::CONFLICT;
    let (code, outcome) = if old {
        (ResultCode::FenceOld, Outcome::Cancelled)
    } else {
        (ResultCode::Shed, Outcome::Shed)
    };
    exchange.note(outcome);
    let (head, body) = answer.into_parts();
    AnswerBody::new(body, exchange, Millis::ZERO).drain();
    let mut refusal = Refusal::new(code);
    let after = head.headers.get(http::header::RETRY_AFTER);
    let after = after.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    if let Some(seconds) = after {
        refusal.after = Some(Millis(seconds.min(3_600) * 1_000));
    }
    refusal
}

fn pass(
    gate: &Rc<Gate>,
    call: &Call,
    server: &Rc<Server>,
    answer: Response<Incoming>,
    exchange: Exchange,
) -> Response<Body> {
    let (mut head, body) = answer.into_parts();
    head.headers = headers::end_to_end(head.headers);
    head.headers.insert(header::REQUEST_ID, call.id.clone());
    if let Some(load) = server.lane.load() {
        head.headers.insert(inner::LOAD, write_load(load));
    }
    if let Ok(name) = HeaderValue::from_str(server.name.as_str()) {
        head.headers.insert(header::SERVER, name);
    }
    head.version = http::Version::HTTP_11;
    head.extensions.clear();
    let left = call.left(gate.now());
    let body = AnswerBody::new(body, exchange, left);
    Response::from_parts(head, Box::pin(body))
}

/// Returns an id that no other send has, so that an answer to another send of the same caller's id
/// is told apart.
fn attempt_id(gate: &Gate, call: &Call) -> HeaderValue {
    let id = call.id.to_str().unwrap_or("");
    let text = format!(
        "{id}.{:x}{:08x}",
        gate.serial(),
        gate.process.instance as u32
    );
    HeaderValue::try_from(text).expect("a header and hexadecimal digits are a valid header")
}

fn request(
    call: &Call,
    source: &Rc<RequestBody>,
    server: &Server,
    fence: Fence,
    attempt: &HeaderValue,
    now: Millis,
) -> Request<Body> {
    let mut request = Request::new(source.body());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = Uri::from(call.path.clone());
    let mut headers = call.headers.clone();
    let host = server.host.clone();
    headers.insert(http::header::HOST, host);
    headers.insert(header::REQUEST_ID, attempt.clone());
    headers.insert(header::DEADLINE, HeaderValue::from(call.left(now).0));
    if call.key.is_some()
        && let Ok(fence) = HeaderValue::try_from(fence.to_string())
    {
        headers.insert(header::FENCE, fence);
    }
    *request.headers_mut() = headers;
    request
}

fn instance(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::INSTANCE)?.to_str().ok()?.parse().ok()
}

/// Tells a server to give up a request.
pub(crate) fn cancel(gate: &Rc<Gate>, server: &Rc<Server>, attempt: &HeaderValue) {
    gate.counters.cancels.inc();
    let (gate, addr) = (Rc::clone(gate), server.addr.get());
    let attempt = attempt.to_str().unwrap_or("").to_owned();
    monoio::spawn(async move { gate.targets.cancel(addr, &attempt).await });
}
