//! Orders: each is claimed at the holder of its id's shard, then sent once.

use std::rc::Rc;

use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::RequestBody;
use chicoryrail_runtime::full;
use chicoryrail_runtime::json_answer;
use chicoryrail_wire::OrderAnswer;
use chicoryrail_wire::OrderClaim;
use chicoryrail_wire::OrderClose;
use chicoryrail_wire::OrderOutcome;
use chicoryrail_wire::OrderReply;
use chicoryrail_wire::Peer;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use monoio::time::timeout;

use crate::call;
use crate::call::Call;
use crate::dispatch;
use crate::gate::Gate;
use crate::order_body::OrderBody;
use crate::refusal::Refusal;
use crate::shard::Shard;

/// Marks an answer that an earlier request with the same order id got.
const REPLAYED: &str = "order-replayed";

/// Time that the holder may keep a claim waiting for a running order; the claim is repeated until
/// the deadline. Short enough that a holder that stopped is noticed.
const CLAIM_WAIT: Millis = Millis(400);

/// Time for the reply beyond the wait.
const CALL_LIMIT: Millis = Millis(300);

/// Rest before a call is repeated.
const PAUSE: Millis = Millis(20);

/// Longest time for which the outcome is reported again. After it the holder counts the claim as
/// unknown, which is safe.
const CLOSE_LIMIT: Millis = Millis(3_000);

/// The right to send one order.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    order: String,
    token: u64,
}

/// Gets an order its answer.
///
/// The work runs in a task of its own: when the caller leaves, the order still comes to its end, so
/// that the caller's next try gets the outcome.
///
/// # Errors
///
/// Returns the refusal to answer with.
pub(crate) async fn run(
    gate: &Rc<Gate>,
    call: Call,
    source: &Rc<RequestBody>,
) -> Result<Response<Body>, Refusal> {
    let (gate, source) = (Rc::clone(gate), Rc::clone(source));
    monoio::spawn(async move { claim_and_send(&gate, &call, &source).await }).await
}

async fn claim_and_send(
    gate: &Rc<Gate>,
    call: &Call,
    source: &Rc<RequestBody>,
) -> Result<Response<Body>, Refusal> {
    let claim = Claim {
        order: call.order.clone().unwrap_or_default(),
        token: rand::random(),
    };
    match obtain(gate, call, &claim).await? {
        OrderReply::Send => call.trace.claim(),
        OrderReply::Closed(OrderOutcome::Done(answer)) => return Ok(replay(answer)),
        OrderReply::Closed(OrderOutcome::NotRun) => return Err(ResultCode::NoServer.into()),
        OrderReply::Closed(OrderOutcome::Unknown) => {
            return Err(ResultCode::OutcomeUnknown.into());
        }
        OrderReply::Running => {
            return Err(Refusal::with(
                ResultCode::OutcomeUnknown,
                "an earlier request with this order id is still running".to_owned(),
            ));
        }
        OrderReply::Reused => return Err(ResultCode::OrderIdReused.into()),
        OrderReply::Nothing => return Err(ResultCode::Internal.into()),
    }
    match dispatch::run(gate, call, source).await {
        Ok(answer) => Ok(OrderBody::wrap(gate, claim, answer)),
        Err(refusal) if refusal.not_run() => {
            // Reported before the caller hears of it, so that its next try finds the id free.
            let report = close(gate, &claim, OrderOutcome::NotRun);
            let _ = timeout(CALL_LIMIT.duration(), report).await;
            Err(refusal)
        }
        Err(refusal) => {
            close_later(gate, claim, OrderOutcome::Unknown);
            Err(refusal)
        }
    }
}

/// Claims the order id, repeating the claim after a lost reply or a change of holder.
///
/// # Errors
///
/// Returns the refusal where no holder answers before the deadline; nothing was sent to a server.
async fn obtain(gate: &Rc<Gate>, call: &Call, claim: &Claim) -> Result<OrderReply, Refusal> {
    let hold_end = call.deadline.min(call.came + gate.settings.limits.hold);
    let mut asked = false;
    let mut running = false;
    loop {
        let now = gate.now();
        let end = if running { call.deadline } else { hold_end };
        if now >= end {
            break;
        }
        let Some(peer) = holder(gate, &claim.order) else {
            wait(gate, &claim.order, end.since(now)).await;
            continue;
        };
        asked = true;
        let left = call.left(now);
        let request = Request::OrderClaim(OrderClaim {
            order: claim.order.clone(),
            service: call.entry.service.name.clone(),
            print: print(call),
            gate: gate.settings.host.host.clone(),
            token: claim.token,
            wait: CLAIM_WAIT.min(left),
        });
        match peer.call(&request, left.min(CLAIM_WAIT + CALL_LIMIT)).await {
            Ok(Reply::Order(OrderReply::Running)) => running = true,
            Ok(Reply::Order(reply)) => return Ok(reply),
            _ => {}
        }
        gate.process
            .clock
            .sleep(PAUSE.min(call.left(gate.now())))
            .await;
    }
    if running {
        return Ok(OrderReply::Running);
    }
    if asked {
        // The claim may have been given although its reply was lost; it must not stay open.
        close_later(gate, claim.clone(), OrderOutcome::NotRun);
    }
    Err(ResultCode::NoServer.into())
}

/// Answers `GET /v1/orders/{id}`.
///
/// # Errors
///
/// Returns the refusal to answer with.
pub(crate) async fn lookup(gate: &Rc<Gate>, order: &str) -> Result<Response<Body>, Refusal> {
    if !call::is_order_id(order) {
        return Err(ResultCode::OrderIdMissing.into());
    }
    if gate.version() == 0 {
        return Err(ResultCode::NotReady.into());
    }
    let end = gate.now() + gate.settings.limits.hold;
    let request = Request::OrderLookup {
        order: order.to_owned(),
    };
    while gate.now() < end {
        let Some(peer) = holder(gate, order) else {
            wait(gate, order, end.since(gate.now())).await;
            continue;
        };
        match peer.call(&request, CALL_LIMIT).await {
            Ok(Reply::Order(reply)) => return known(order, reply),
            _ => gate.process.clock.sleep(PAUSE).await,
        }
    }
    Err(ResultCode::NoServer.into())
}

fn known(order: &str, reply: OrderReply) -> Result<Response<Body>, Refusal> {
    let value = match reply {
        OrderReply::Nothing => return Err(ResultCode::OrderNotKnown.into()),
        OrderReply::Send | OrderReply::Running | OrderReply::Reused => {
            serde_json::json!({ "order": order, "run": "running" })
        }
        OrderReply::Closed(OrderOutcome::NotRun) => {
            serde_json::json!({ "order": order, "run": "not run" })
        }
        OrderReply::Closed(OrderOutcome::Unknown) => {
            serde_json::json!({ "order": order, "run": "unknown" })
        }
        OrderReply::Closed(OrderOutcome::Done(answer)) => serde_json::json!({
            "order": order,
            "run": "done",
            "status": answer.status,
            "content-type": answer.content_type,
            "body": answer.body.map(|b| String::from_utf8_lossy(&b).into_owned()),
        }),
    };
    Ok(json_answer(200, &value))
}

/// Builds the answer that the order's first request got.
fn replay(kept: OrderAnswer) -> Response<Body> {
    let mut answer = match kept.body {
        Some(body) => Response::new(full(body)),
        // Too large to be kept: the caller learns that the order is done, not a part of the answer.
        None => json_answer(
            200,
            &serde_json::json!({
                "code": ResultCode::Ok.number(),
                "run": "done",
                "error": "the order is done; its answer was too large to be kept",
            }),
        ),
    };
    *answer.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    if let Some(kind) = kept
        .content_type
        .and_then(|t| HeaderValue::try_from(t).ok())
    {
        answer.headers_mut().insert(CONTENT_TYPE, kind);
    }
    answer
        .headers_mut()
        .insert(REPLAYED, HeaderValue::from_static("1"));
    answer
}

/// Reports an outcome in a task of its own.
pub(crate) fn close_later(gate: &Rc<Gate>, claim: Claim, outcome: OrderOutcome) {
    let gate = Rc::clone(gate);
    gate.closing.set(gate.closing.get() + 1);
    monoio::spawn(async move {
        close(&gate, &claim, outcome).await;
        gate.closing.set(gate.closing.get() - 1);
    });
}

/// Reports an outcome until the holder has taken it.
async fn close(gate: &Rc<Gate>, claim: &Claim, outcome: OrderOutcome) {
    let request = Request::OrderClose(OrderClose {
        order: claim.order.clone(),
        token: claim.token,
        outcome,
    });
    let end = gate.now() + CLOSE_LIMIT;
    while gate.now() < end {
        if let Some(peer) = holder(gate, &claim.order) {
            let reply = peer.call(&request, CALL_LIMIT).await;
            if let Ok(Reply::Done | Reply::Order(_)) = reply {
                return;
            }
        }
        gate.process.clock.sleep(PAUSE).await;
    }
}

fn shard(gate: &Gate, order: &str) -> Option<Rc<Shard>> {
    let services = gate.services();
    let part = KeyHash::of(order).part(services.orders.len() as u32);
    services.orders.get(part as usize).cloned()
}

fn holder(gate: &Gate, order: &str) -> Option<Peer> {
    let host = shard(gate, order)?.fresh_holder(gate.now())?;
    gate.controllers.borrow().get(&host).cloned()
}

async fn wait(gate: &Gate, order: &str, length: Millis) {
    let length = length.min(PAUSE).duration();
    match shard(gate, order) {
        Some(shard) => {
            let seen = shard.signal.count();
            let _ = timeout(length, shard.signal.after(seen)).await;
        }
        None => monoio::time::sleep(length).await,
    }
}

/// Tells two orders under one id apart.
fn print(call: &Call) -> u64 {
    let length = call.length.map_or_else(String::new, |n| n.to_string());
    KeyHash::of(&format!("{} {} {length}", call.method, call.path)).0
}
