//! Serves callers' requests.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Idempotency;
use chicoryrail_core::Millis;
use chicoryrail_core::RouteKind;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::RequestBody;
use chicoryrail_runtime::discard_body;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http::header::EXPECT;
use http::request::Parts;
use monoio::time::timeout;

use crate::route::abandon_guard::AbandonGuard;
use crate::route::attempts;
use crate::route::caller_request::CallerRequest;
use crate::route::destination::find_route;
use crate::route::refusal::Cause;
use crate::route::refusal::Refusal;
use crate::route::request_log::log_end;
use crate::route::serving_guard::ServingGuard;
use crate::route::traffic::refuse_limited;
use crate::route::upload;
use crate::state::Router;

/// Process age up to which requests wait for the first configuration instead of being refused.
const FIRST_CONFIG_WAIT_MAX: Millis = Millis(400);

/// Time after which a caller should retry if this host has no configuration.
const NO_CONFIG_RETRY_AFTER: Millis = Millis(300);
/// Time after which a caller should retry if this host's configuration may be outdated.
const STALE_CONFIG_RETRY_AFTER: Millis = Millis(500);

/// Serves a request of the caller at `from`.
pub(crate) async fn serve(
    router: Rc<Router>,
    request: Request<Body>,
    from: SocketAddr,
) -> Response<Body> {
    let mut serving = ServingGuard::new(&router);
    let (head, body) = request.into_parts();
    let id = head.headers.get(call_header::REQUEST_ID).cloned();
    let expects_continue = head.headers.contains_key(EXPECT);
    await_config(&router).await;
    let mut response = match CallerRequest::parse(&router, head, from) {
        Ok(call) => {
            serving.track(&call.progress);
            let body = upload::wrap_body(&router, &call, body, expects_continue);
            let response = run(&router, call, Rc::clone(&body)).await;
            if !expects_continue {
                body.discard();
            }
            response
        }
        Err(cause) => {
            if !expects_continue {
                discard_body(body, router.limits.get().max_body_bytes);
            }
            refuse_unparsed(&router, id.as_ref(), cause)
        }
    };
    if let Some(id) = id {
        response.headers_mut().insert(call_header::REQUEST_ID, id);
    }
    if router.process.stop.is_cancelled() {
        // `connection: close` sends the caller's next request to another host. Closing its idle connection instead
        // would race with a request that is already on its way.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    serving.hold_until_end(response)
}

/// Waits a short time for the first configuration and the list of blocked requests. If the store is available, a host that starts receives it before a
/// refused caller would retry.
async fn await_config(router: &Router) {
    while !router.has_first_content() {
        let seen = router.feed_changed.version();
        let time_left = FIRST_CONFIG_WAIT_MAX.since(router.now());
        if time_left == Millis::ZERO {
            return;
        }
        let _ = timeout(time_left.to_duration(), router.feed_changed.wait_past(seen)).await;
    }
}

/// Returns `true` if a pipelined request may start before the earlier requests on its connection have their responses.
///
/// Only reads may: their short responses are kept in memory until their turn. An order could run although its caller
/// disconnects before the order's turn and sends it again. A download would occupy its server's slot until its turn.
pub(crate) fn may_begin_early(router: &Router, head: &Parts) -> bool {
    let route = router.site().and_then(|site| find_route(&site, head));
    route.is_some_and(|r| r.kind == RouteKind::Read)
}

async fn run(router: &Rc<Router>, call: CallerRequest, body: Rc<RequestBody>) -> Response<Body> {
    let call = Rc::new(call);
    if let Some(refusal) = refuse_limited(router, &call) {
        return finish(router, &call, Err(refusal));
    }
    let mut guard = AbandonGuard::new(router, &call);
    let result = match call.route.kind.idempotency() {
        Idempotency::Idempotent => forward(router, &call, &body).await,
        // The task outlives this future, so that a server completes what it has begun when the caller disconnects.
        Idempotency::AtMostOnce => {
            let (router, call) = (Rc::clone(router), Rc::clone(&call));
            let task = monoio::spawn(async move {
                let result = forward(&router, &call, &body).await;
                upload::finish(&router, &call, &body, &result);
                result
            });
            task.await
        }
    };
    guard.end();
    finish(router, &call, result)
}

async fn forward(
    router: &Rc<Router>,
    call: &CallerRequest,
    body: &Rc<RequestBody>,
) -> Result<Response<Body>, Refusal> {
    if let Some(flow) = body.flow() {
        upload::admit(router, call, body, flow).await?;
    } else {
        let reading = body.prefetch(call.time_to_send(router));
        upload::read_in_time(router, call, reading).await?;
    }
    attempts::run(router, call, body).await
}

/// Counts and logs the end of a request and returns its response.
fn finish(
    router: &Router,
    call: &CallerRequest,
    result: Result<Response<Body>, Refusal>,
) -> Response<Body> {
    let took = router.now().since(call.arrived);
    check_result(router, call, &result);
    let service = call.service_name().as_str();
    let (outcome, response) = match result {
        Ok(response) => {
            let outcome = outcome(&response, took, call.route.latency_target);
            let is_stopping = router.process.stop.is_cancelled();
            if call.is_sampled(router) || outcome != "in_time" || is_stopping {
                log_end(call, outcome, took, Some(response.status()), None);
            }
            (outcome, response)
        }
        Err(refusal) => {
            let labels = [service, refusal.cause.name()];
            router.counters.refusals.with_label_values(&labels).inc();
            let status = Some(refusal.cause.status());
            log_end(call, "refused", took, status, Some(refusal));
            ("refused", refusal.into_response())
        }
    };
    let seconds = |m: Millis| m.0 as f64 / 1_000.0;
    let counters = &router.counters;
    let labels = [service, call.route.kind.name(), outcome];
    counters
        .request_time
        .with_label_values(&labels)
        .observe(seconds(took));
    let waited = seconds(call.stats.borrow().waited);
    counters
        .wait_time
        .with_label_values(&[service])
        .observe(waited);
    router
        .counters
        .requests
        .with_label_values(&[service, outcome])
        .inc();
    response
}

/// Checks that a response belongs to the caller's request, and that a refused request has not run if the refusal
/// promises so.
fn check_result(router: &Router, call: &CallerRequest, result: &Result<Response<Body>, Refusal>) {
    let invariants = &router.process.invariants;
    match result {
        Ok(response) => {
            let ids_match = response.headers().get(call_header::REQUEST_ID)
                == call.headers.get(call_header::REQUEST_ID);
            invariants.check(Invariant::OwnAnswer, ids_match, || {
                format!("request={}", call.id)
            });
        }
        Err(refusal) => {
            let possible_runs = call.stats.borrow().possible_runs;
            let promise_holds = possible_runs == 0 || !refusal.cause.promises_not_run();
            invariants.check(Invariant::NotRunTrue, promise_holds, || {
                format!(
                    "request={} cause={} ran={possible_runs}",
                    call.id,
                    refusal.cause.name()
                )
            });
        }
    }
}

fn outcome(response: &Response<Body>, took: Millis, latency_target: Millis) -> &'static str {
    if !response.status().is_success() {
        "failed"
    } else if took > latency_target {
        "late"
    } else {
        "in_time"
    }
}

/// Refuses a request that [`CallerRequest::parse`] rejected.
fn refuse_unparsed(router: &Router, id: Option<&HeaderValue>, cause: Cause) -> Response<Body> {
    let id = id.and_then(|v| v.to_str().ok()).unwrap_or("-");
    let version = router.site().map_or(0, |s| s.version);
    let age = router.organisations.freshness().age(router.now());
    log::info!(request = id, cause = cause.name(), status = cause.status().as_u16(),
        config = version, config_age_ms = age.map_or(0, |a| a.0); "request_refused");
    let labels = ["-", cause.name()];
    router.counters.refusals.with_label_values(&labels).inc();
    let retry_after = match cause {
        Cause::NoConfig => Some(NO_CONFIG_RETRY_AFTER),
        Cause::StaleConfig => Some(STALE_CONFIG_RETRY_AFTER),
        _ => None,
    };
    Refusal { cause, retry_after }.into_response()
}
