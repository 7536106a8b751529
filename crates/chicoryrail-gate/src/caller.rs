//! Serves callers.

use std::io;
use std::rc::Rc;
use std::time::Instant;

use chicoryrail_core::Class;
use chicoryrail_core::ResultCode;
use chicoryrail_platform::header;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::RequestBody;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::asserts;
use crate::call;
use crate::call::Call;
use crate::dispatch;
use crate::gate::Gate;
use crate::gate::Serving;
use crate::headers::inner;
use crate::order;
use crate::refusal::Refusal;
use crate::tracked::Tracked;

/// Path of what is known of an order, before its id.
const ORDERS: &str = "/v1/orders/";

/// Answers a caller's request.
pub(crate) async fn serve(gate: Rc<Gate>, request: Request<Incoming>) -> Response<Body> {
    let serving = Serving::new(&gate);
    let answer = respond(&gate, request).await;
    answer.map(|body| Tracked::wrap(body, serving))
}

async fn respond(gate: &Rc<Gate>, request: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    let (head, body) = request.into_parts();
    let id = call::request_id(gate, &head.headers);
    let lookup = head.uri.path().strip_prefix(ORDERS);
    if let (Some(order), &Method::GET) = (lookup, &head.method) {
        let result = order::lookup(gate, order).await;
        return finish(gate, None, result, id, started);
    }
    let call = match Call::read(gate, head, id.clone()) {
        Ok(call) => call,
        Err(refusal) => return finish(gate, None, Err(refusal), id, started),
    };
    let body = body.map_err(io::Error::other).boxed_unsync();
    let source = RequestBody::new(Box::pin(body), call.entry.service.max_body);
    let labels = (Rc::clone(&call.entry), call.class);
    let result = answer(gate, call.clone(), &source).await;
    if let Err(refusal) = &result {
        asserts::before_refusal(gate, &call, refusal);
    }
    finish(gate, Some(labels), result, id, started)
}

async fn answer(
    gate: &Rc<Gate>,
    call: Call,
    source: &Rc<RequestBody>,
) -> Result<Response<Body>, Refusal> {
    let time = gate.settings.limits.body_time.min(call.left(gate.now()));
    source.prefetch(time).await?;
    if call.is_idempotent() {
        dispatch::run(gate, &call, source).await
    } else {
        order::run(gate, call, source).await
    }
}

/// Completes an answer's headers and counts it.
fn finish(
    gate: &Gate,
    labels: Option<(Rc<crate::service::Entry>, Class)>,
    result: Result<Response<Body>, Refusal>,
    id: HeaderValue,
    started: Instant,
) -> Response<Body> {
    let (code, mut answer) = match result {
        Ok(answer) => (ResultCode::Ok, answer),
        Err(refusal) => (refusal.code, refusal.answer()),
    };
    answer.headers_mut().insert(header::REQUEST_ID, id);
    answer.headers_mut().remove(inner::LOAD);
    if gate.process.stop.is_cancelled() {
        // The caller goes elsewhere with its next request. Were its idle connection closed instead,
        // the next request could cross the close on its way and be lost.
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    let seconds = started.elapsed().as_secs_f64();
    match labels {
        Some((entry, class)) => {
            let name = entry.service.name.as_str();
            gate.counters.ended(name, class, code, seconds);
        }
        None => gate.counters.ended("-", Class::Interactive, code, seconds),
    }
    answer
}
