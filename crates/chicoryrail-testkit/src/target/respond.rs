//! Responds to the requests of callers, with the active faults applied.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_platform::call_header;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::CancellationToken;
use chicoryrail_runtime::collect_body;
use chicoryrail_runtime::json_response;
use http::HeaderValue;
use http::Request;
use http::Response;
use hyper::body::Incoming;

use crate::BodyMark;
use crate::ConnectionCut;
use crate::target::execution::run;
use crate::target::held_body::HeldBody;
use crate::target::refusal::refusal;
use crate::target::request_end::RequestEnd;
use crate::target::response::ResponseBody;
use crate::target::response::ResponseHead;
use crate::target::response_headers::add_backoff_header;
use crate::target::response_headers::add_headers;
use crate::target::response_headers::record_arrival;
use crate::target::response_headers::record_notices;
use crate::target::state::State;
use crate::target::work::Work;

/// Maximum size of an accepted request body in bytes.
const BODY_MAX_BYTES: usize = 64 << 20;

/// Runs a request and returns its response, with the active faults applied. Records the notices in the response.
pub(super) async fn respond(
    state: Rc<State>,
    request: Request<Incoming>,
) -> Result<Response<Body>, ConnectionCut> {
    let (head, body) = request.into_parts();
    let work = Work::parse(&state, &head);
    let request = work.request.clone();
    record_arrival(&state, &request);
    let response = run_and_respond(&state, work, body).await?;
    record_notices(&state, &request, &response);
    Ok(response)
}

async fn run_and_respond(
    state: &Rc<State>,
    mut work: Work,
    body: Incoming,
) -> Result<Response<Body>, ConnectionCut> {
    let _held = HeldBody::new(state, work.body_bytes);
    let memory = state.faults.borrow_mut().memory(state.now());
    if memory.is_some_and(|memory| state.held_bytes.get() > memory) {
        state.crash.cancel();
        return Err(ConnectionCut);
    }
    let Ok(body) = collect_body(body, BODY_MAX_BYTES).await else {
        return Err(ConnectionCut);
    };
    work.body = Some(BodyMark::of(&body));
    drop(body);
    let injected = state.faults.borrow_mut().sample_refusal(state.now());
    if let Some(injected) = injected {
        let mut response = refusal(state, &work.request, RequestEnd::Refused);
        if let Some(backoff) = injected.backoff {
            state.start_backoff(backoff);
            add_backoff_header(response.headers_mut(), backoff);
        }
        return Ok(response);
    }
    // An order runs on when its caller disconnects, as it may on a real server; a lookup is cancelled.
    let cancel = CancellationToken::new();
    let cancel_guard = cancel.clone().drop_guard();
    let end = monoio::spawn(run(Rc::clone(state), work.clone(), cancel)).await;
    cancel_guard.disarm();
    match end {
        RequestEnd::Done => {}
        RequestEnd::Crashed => return Err(ConnectionCut),
        RequestEnd::DoneLate => {
            let mut response = json_response(504, &"the deadline passed");
            add_headers(state, response.headers_mut(), &work.request);
            return Ok(response);
        }
        RequestEnd::Refused if state.faults.borrow_mut().is_mute(state.now()) => {
            // The connection serves one request after the other, so this one blocks all later ones.
            return std::future::pending().await;
        }
        end => return Ok(refusal(state, &work.request, end)),
    }
    let faults = state.faults.borrow_mut().sample(state.now());
    if faults.delay > Millis::ZERO {
        monoio::time::sleep(faults.delay.to_duration()).await;
    }
    if faults.lost {
        return Err(ConnectionCut);
    }
    let own_head = ResponseHead {
        request: work.request.clone(),
        path: work.path,
        server: state.options.name.to_string(),
        length: work.length,
    };
    let last = state.last_response.replace(Some(own_head.clone()));
    let sent_head = last.filter(|_| faults.crossed).unwrap_or(own_head);
    let body = match work.crashes_at {
        Some(bytes) => {
            let body = ResponseBody::new(&sent_head, work.chunked, Some(bytes));
            body.with_crash(state.crash.clone())
        }
        None => ResponseBody::new(&sent_head, work.chunked, faults.cut_after),
    };
    let mut response: Response<Body> = Response::new(Box::pin(body));
    if faults.failed {
        *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
    }
    add_headers(state, response.headers_mut(), &sent_head.request);
    if !faults.unmarked {
        let stamp = HeaderValue::from_static("stamp");
        response
            .headers_mut()
            .insert(call_header::UPSTREAM_STAMP, stamp);
    }
    Ok(response)
}
