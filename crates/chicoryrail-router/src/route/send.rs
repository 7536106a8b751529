//! One send to one server.

use std::rc::Rc;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_core::RouteKind;
use chicoryrail_platform::call_header;
use chicoryrail_policy::Failure;
use chicoryrail_policy::LoadReport;
use chicoryrail_policy::RateNotice;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::RequestBody;
use chicoryrail_runtime::end_to_end;
use chicoryrail_runtime::says_close;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_ENCODING;
use hyper::body::Incoming;
use monoio::time::timeout;

use crate::route::answer;
use crate::route::call::Call;
use crate::route::flight::Flight;
use crate::route::held_slot::Slot;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;

/// How a send ended.
pub(crate) enum Sent {
    /// The server's answer, whole or on its way.
    Answered(Response<Body>),
    /// The server answered that it failed; it has run the request.
    ServerError(Response<Body>),
    /// The request certainly has not run and will not.
    NotRun(NotRun),
    /// The request may have run, or may still run.
    Unknown(Unknown),
}

/// Why a request certainly has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// The server refused it.
    Refused,
    /// The server does not hold the key, or another server has the address.
    Misdirected,
}

/// Why it is not known whether a request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unknown {
    /// The connection broke.
    Broken,
    /// What came belongs to another request.
    Crossed,
    /// What came is not the server's whole answer.
    Spoiled,
    /// Nothing came in time.
    Silent,
}

impl Sent {
    /// Returns the name in logs and metrics.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::ServerError(_) => "server_error",
            Self::NotRun(NotRun::Unreachable) => "unreachable",
            Self::NotRun(NotRun::Refused) => "refused",
            Self::NotRun(NotRun::Misdirected) => "misdirected",
            Self::Unknown(Unknown::Broken) => "broken",
            Self::Unknown(Unknown::Crossed) => "crossed",
            Self::Unknown(Unknown::Spoiled) => "spoiled",
            Self::Unknown(Unknown::Silent) => "silent",
        }
    }

    const fn failure(&self) -> Option<Failure> {
        match self {
            Self::Answered(_) | Self::NotRun(NotRun::Misdirected) => None,
            Self::ServerError(_) => Some(Failure::Error),
            Self::NotRun(NotRun::Refused) => Some(Failure::Full),
            Self::NotRun(NotRun::Unreachable)
            | Self::Unknown(Unknown::Broken | Unknown::Crossed | Unknown::Spoiled) => {
                Some(Failure::Broken)
            }
            Self::Unknown(Unknown::Silent) => Some(Failure::Silent),
        }
    }
}

/// Sends a request to a server and waits for its answer, at most `limit`.
pub(crate) async fn send(
    router: &Router,
    service: &Rc<Service>,
    place: (Rc<Target>, Slot),
    call: &Call,
    body: &Rc<RequestBody>,
    limit: Millis,
) -> Sent {
    let (target, slot) = place;
    let (target, slot) = (&target, Rc::new(slot));
    let now = router.now();
    let alone = service.loads.borrow().is_free(now, target.id);
    let started = Instant::now();
    let unrun = call.trail.borrow().may_have_run == 0;
    let invariants = &router.process.invariants;
    invariants.check(Invariant::OrderOnce, call.repeats() || unrun, || {
        format!("request={} server={}", call.id, target.life)
    });
    let flight = Flight::new(service, target, &slot);
    let exchange = exchange(router, service, target, call, body, flight);
    let sent = match timeout(limit.duration(), exchange).await {
        Ok(sent) => sent,
        Err(_) => Sent::Unknown(Unknown::Silent),
    };
    if matches!(sent, Sent::ServerError(_) | Sent::Unknown(_)) {
        call.trail.borrow_mut().may_have_run += 1;
    }
    let now = router.now();
    let us = started.elapsed().as_micros() as f64;
    slot.note(us, sent.failure());
    let mut loads = service.loads.borrow_mut();
    match sent.failure() {
        None => {
            let work = router.work(&call.route.name, call.route.aim);
            if matches!(sent, Sent::Answered(_)) {
                loads.answered(now, target.id, us, work, alone);
                router.worked(&call.route.name, call.route.aim, us);
            }
        }
        Some(failure) => loads.failed(now, target.id, failure),
    }
    let labels = [service.name.as_str(), sent.name()];
    router.counters.sends.with_label_values(&labels).inc();
    sent
}

async fn exchange(
    router: &Router,
    service: &Service,
    target: &Rc<Target>,
    call: &Call,
    body: &Rc<RequestBody>,
    mut flight: Flight,
) -> Sent {
    let conn = match target.pool.take(target.addr).await {
        Ok(conn) => conn,
        Err(e) => {
            log::debug!(request = call.id, server:% = target.life, error:% = e; "connect");
            return Sent::NotRun(NotRun::Unreachable);
        }
    };
    let conn = flight.bind(conn);
    let request = request(call, target, body, router.now());
    let answer = match conn.send.try_send_request(request).await {
        Ok(answer) => answer,
        Err(mut error) => {
            // Given back, the request was never written.
            let unsent = error.take_message().is_some();
            return if unsent {
                Sent::NotRun(NotRun::Unreachable)
            } else {
                Sent::Unknown(Unknown::Broken)
            };
        }
    };
    take_answer(router, service, call, answer, flight).await
}

async fn take_answer(
    router: &Router,
    service: &Service,
    call: &Call,
    answer: Response<Incoming>,
    flight: Flight,
) -> Sent {
    let (mut head, body) = answer.into_parts();
    // A late answer to an earlier request stands where this one's is due. Whoever it belongs to, it is
    // not this caller's, and nothing that follows on the connection can be trusted.
    let echoed = head.headers.get(call_header::REQUEST_ID);
    if echoed.is_some_and(|id| Some(id) != call.headers.get(call_header::REQUEST_ID)) {
        return Sent::Unknown(Unknown::Crossed);
    }
    router
        .reach
        .borrow_mut()
        .answered(router.now(), &flight.target.dc);
    hear(router, service, &flight, &head.headers);
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        drain(body, flight).await;
        return Sent::NotRun(NotRun::Misdirected);
    }
    hear_limit(router, &flight, &head.headers);
    if head.headers.contains_key(call_header::NOT_RUN) {
        drain(body, flight).await;
        return Sent::NotRun(NotRun::Refused);
    }
    let stamped = head.headers.contains_key(call_header::STAMP);
    if !stamped || echoed.is_none() || head.headers.contains_key(CONTENT_ENCODING) {
        return Sent::Unknown(Unknown::Spoiled);
    }
    let keep = !says_close(&head.headers);
    let start = match answer::read(body, answer::held(call.route.kind)).await {
        Ok(start) => start,
        Err(_) => return Sent::Unknown(Unknown::Spoiled),
    };
    head.headers = end_to_end(head.headers);
    head.version = http::Version::HTTP_11;
    head.extensions.clear();
    let error = head.status.is_server_error();
    let answer = Response::from_parts(head, answer::body(start, flight, keep));
    if error {
        Sent::ServerError(answer)
    } else {
        Sent::Answered(answer)
    }
}

/// Reads a short unwanted body, so that the connection can be used again.
async fn drain(body: Incoming, flight: Flight) {
    let read = answer::read(body, answer::held(RouteKind::Read)).await;
    if matches!(read, Ok(answer::Start::Whole(_))) {
        flight.complete(true);
    }
}

/// Takes in what a server says of itself beside its answer.
fn hear(router: &Router, service: &Service, flight: &Flight, headers: &HeaderMap) {
    let (target, slot) = (&flight.target, &flight.slot);
    let now = router.now();
    if let Some(report) = call_header::text(headers, &call_header::LOAD).and_then(LoadReport::parse)
    {
        // The request that was just answered is still counted as this host's own.
        let mut loads = service.loads.borrow_mut();
        loads.heard(now, target.id, report);
        slot.heard(report);
    }
    let cold = call_header::text(headers, &call_header::COLD_LEFT).and_then(|t| t.parse().ok());
    if let Some(left) = cold {
        target.cold_for(now, Millis(left));
    }
}

/// Takes in what a server says of the rate that it takes. Only an answer of a run tells that there is no limit.
fn hear_limit(router: &Router, flight: &Flight, headers: &HeaderMap) {
    let target = &flight.target;
    let value = call_header::text(headers, &call_header::RATE_LIMIT);
    if value.is_none() && !headers.contains_key(call_header::STAMP) {
        return;
    }
    match RateNotice::parse(value) {
        Ok(notice) => {
            target.hear_limit(router.now(), notice);
            flight.slot.heard_rate(notice);
        }
        Err(value) => {
            log::warn!(server:% = target.life, value = value; "server_limit_unreadable");
        }
    }
}

fn request(call: &Call, target: &Target, body: &Rc<RequestBody>, now: Millis) -> Request<Body> {
    let mut request = Request::new(body.body());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let mut headers = call.headers.clone();
    headers.insert(call_header::EXPECTED_SERVER, target.header.clone());
    let left = HeaderValue::from(call.left(now).0.max(1));
    headers.insert(call_header::TIME_LEFT, left);
    *request.headers_mut() = headers;
    request
}
