//! Serves callers.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_core::Repeat;
use chicoryrail_core::RouteKind;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::BodyFault;
use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::RequestBody;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::request::Parts;
use monoio::time::timeout;

use crate::route::attempts;
use crate::route::call::Call;
use crate::route::call::find_route;
use crate::route::refusal::Cause;
use crate::route::refusal::Refusal;
use crate::state::Router;

/// Age of the process up to which requests wait for its first configuration.
const FIRST_CONFIG_MAX: Millis = Millis(400);

/// Time after which a caller is asked back where this host knows no configuration, or none that is surely current.
const NO_CONFIG_RETRY: Millis = Millis(300);
const STALE_CONFIG_RETRY: Millis = Millis(500);

/// Answers a caller's request.
pub(crate) async fn serve(router: Rc<Router>, request: Request<Body>) -> Response<Body> {
    let _serving = Serving::new(&router);
    let (head, body) = request.into_parts();
    let id = head.headers.get(call_header::REQUEST_ID).cloned();
    await_config(&router).await;
    let mut answer = match Call::read(&router, head) {
        Ok(call) => run(&router, call, body).await,
        Err(cause) => unread(&router, id.as_ref(), cause),
    };
    if let Some(id) = id {
        answer.headers_mut().insert(call_header::REQUEST_ID, id);
    }
    if router.process.stop.is_cancelled() {
        // The caller goes elsewhere with its next request. Were its idle connection closed instead, the
        // next request could cross the close on its way.
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}

/// Waits a moment for the first configuration. A host that starts while the store answers has it sooner than a refused
/// caller would be back.
async fn await_config(router: &Router) {
    while router.site().is_none() {
        let seen = router.news.count();
        let left = FIRST_CONFIG_MAX.since(router.now());
        if left == Millis::ZERO {
            return;
        }
        let _ = timeout(left.duration(), router.news.after(seen)).await;
    }
}

/// Tells whether a request may begin before those in front of it on its connection are answered: reads may,
/// whose short answers wait in memory. An order would run although the caller, cut off before its turn,
/// sends it again; a download would hold its server's slot until its turn.
pub(crate) fn may_begin_early(router: &Router, head: &Parts) -> bool {
    let route = router.site().and_then(|site| find_route(&site, head));
    route.is_some_and(|r| r.kind == RouteKind::Read)
}

async fn run(router: &Rc<Router>, call: Call, body: Body) -> Response<Body> {
    let limit = router.site().map_or(u64::MAX, |s| s.limits.body);
    let body = RequestBody::new(body, limit);
    let call = Rc::new(call);
    let mut guard = AbandonGuard::new(router, &call);
    let result = match call.route.kind.repeat() {
        Repeat::Any => answer(router, &call, &body).await,
        // A request that may run once is not broken off when its caller leaves: what its server has
        // begun is to end whole. The task goes on when this one is dropped.
        Repeat::Once => {
            let (router, call) = (Rc::clone(router), Rc::clone(&call));
            let task = monoio::spawn(async move { answer(&router, &call, &body).await });
            task.await
        }
    };
    guard.ended = true;
    finish(router, &call, result)
}

/// Tells where a caller leaves before its answer: the HTTP layer then drops what serves it.
struct AbandonGuard {
    router: Rc<Router>,
    call: Rc<Call>,
    ended: bool,
}

impl AbandonGuard {
    fn new(router: &Rc<Router>, call: &Rc<Call>) -> Self {
        Self {
            router: Rc::clone(router),
            call: Rc::clone(call),
            ended: false,
        }
    }
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let took = self.router.now().since(self.call.arrived);
        let labels = [self.call.service_name().as_str(), "given_up"];
        let requests = &self.router.counters.requests;
        requests.with_label_values(&labels).inc();
        log_end(&self.call, "given_up", took, None, None);
    }
}

async fn answer(
    router: &Rc<Router>,
    call: &Call,
    body: &Rc<RequestBody>,
) -> Result<Response<Body>, Refusal> {
    let left = call.left(router.now());
    body.prefetch(left).await.map_err(|code| match code {
        BodyFault::TooLarge => Cause::TooLarge,
        BodyFault::Slow => Cause::SlowBody,
        BodyFault::Cut => Cause::BadBody,
    })?;
    attempts::run(router, call, body).await
}

/// Counts and logs a request's end.
fn finish(router: &Router, call: &Call, result: Result<Response<Body>, Refusal>) -> Response<Body> {
    let took = router.now().since(call.arrived);
    check_end(router, call, &result);
    let service = call.service_name().as_str();
    let (outcome, answer) = match result {
        Ok(answer) => {
            let outcome = outcome(&answer, took, call.route.aim);
            if sampled(router, call) || outcome != "in_time" {
                log_end(call, outcome, took, Some(answer.status()), None);
            }
            (outcome, answer)
        }
        Err(refusal) => {
            let labels = [service, refusal.cause.name()];
            router.counters.refusals.with_label_values(&labels).inc();
            let status = Some(refusal.cause.status());
            log_end(call, "refused", took, status, Some(refusal));
            ("refused", refusal.answer())
        }
    };
    let seconds = |m: Millis| m.0 as f64 / 1_000.0;
    let counters = &router.counters;
    let labels = [service, call.route.kind.name(), outcome];
    counters
        .took
        .with_label_values(&labels)
        .observe(seconds(took));
    let waited = seconds(call.trail.borrow().waited);
    counters
        .waited
        .with_label_values(&[service])
        .observe(waited);
    router
        .counters
        .requests
        .with_label_values(&[service, outcome])
        .inc();
    answer
}

/// Asserts that an answer is the caller's own, and that a refusal which promises that nothing ran is true.
fn check_end(router: &Router, call: &Call, result: &Result<Response<Body>, Refusal>) {
    let invariants = &router.process.invariants;
    match result {
        Ok(answer) => {
            let own = answer.headers().get(call_header::REQUEST_ID)
                == call.headers.get(call_header::REQUEST_ID);
            invariants.check(Invariant::OwnAnswer, own, || format!("request={}", call.id));
        }
        Err(refusal) => {
            let ran = call.trail.borrow().may_have_run;
            let holds = ran == 0 || !refusal.cause.promises_not_run();
            invariants.check(Invariant::NotRunTrue, holds, || {
                format!(
                    "request={} cause={} ran={ran}",
                    call.id,
                    refusal.cause.name()
                )
            });
        }
    }
}

/// Logs a request's end, with what decided it.
fn log_end(
    call: &Call,
    outcome: &str,
    took: Millis,
    status: Option<StatusCode>,
    refusal: Option<Refusal>,
) {
    let trail = call.trail.borrow();
    let server = trail
        .server
        .as_ref()
        .map_or_else(|| "-".to_owned(), ToString::to_string);
    let by = if trail.by_scheduler {
        "scheduler"
    } else {
        "host"
    };
    let cause = refusal.map_or("-", |r| r.cause.name());
    let after = refusal.and_then(|r| r.after).map_or(0, |m| m.0);
    let time = call.deadline.since(call.arrived);
    let key = call.key.map_or_else(|| "-".to_owned(), |k| k.to_string());
    log::info!(request = call.id, route = call.route.name, service:% = call.service_name(),
        status = status.map_or(0, |s| s.as_u16()), cause = cause, retry_after_ms = after, took_ms = took.0,
        waited_ms = trail.waited.0, aim_ms = call.route.aim.0, time_ms = time.0,
        server = server, sends = trail.sends, chosen_by = by, key = key,
        config = call.version; "request_{outcome}");
}

fn outcome(answer: &Response<Body>, took: Millis, aim: Millis) -> &'static str {
    if !answer.status().is_success() {
        "failed"
    } else if took > aim {
        "late"
    } else {
        "in_time"
    }
}

/// Tells whether an ordinary request is one of the share that is logged.
fn sampled(router: &Router, call: &Call) -> bool {
    let share = router.options.log_ordinary;
    let sum = call
        .id
        .bytes()
        .fold(0_u32, |h, b| h.wrapping_mul(31).wrapping_add(b.into()));
    share > 0 && sum % share == 0
}

fn unread(router: &Router, id: Option<&HeaderValue>, cause: Cause) -> Response<Body> {
    let id = id.and_then(|v| v.to_str().ok()).unwrap_or("-");
    let version = router.site().map_or(0, |s| s.version);
    let age = router.organisations.freshness().age(router.now());
    log::info!(request = id, cause = cause.name(), status = cause.status().as_u16(),
        config = version, config_age_ms = age.map_or(0, |a| a.0); "request_refused");
    let labels = ["-", cause.name()];
    router.counters.refusals.with_label_values(&labels).inc();
    let after = match cause {
        Cause::NoConfig => Some(NO_CONFIG_RETRY),
        Cause::StaleConfig => Some(STALE_CONFIG_RETRY),
        _ => None,
    };
    Refusal { cause, after }.answer()
}

/// Counts a request being served until it is dropped.
struct Serving(Rc<Router>);

impl Serving {
    fn new(router: &Rc<Router>) -> Self {
        router.serving.set(router.serving.get() + 1);
        router.counters.serving.inc();
        Self(Rc::clone(router))
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.serving.set(self.0.serving.get() - 1);
        self.0.counters.serving.dec();
    }
}
