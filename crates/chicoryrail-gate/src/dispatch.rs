//! Gets a request its answer: finds a way, sends, and sends again where that is safe.

use std::rc::Rc;

use chicoryrail_core::Class;
use chicoryrail_core::Kind;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_policy::PeerId;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::RequestBody;
use http::Response;
use monoio::time::timeout;

use crate::call::Call;
use crate::forward;
use crate::forward::Hop;
use crate::free::Place;
use crate::gate::Gate;
use crate::hedge;
use crate::refusal::Refusal;
use crate::send;
use crate::shard::Shard;
use crate::way;
use crate::way::Way;

/// Longest wait for a change of routes before they are looked at again: another gate may have the
/// change before this one.
const LOOK_EVERY: Millis = Millis(20);

/// Most sends of one request. With the retry budget it bounds what a request that always fails may
/// cost.
const MOST_SENDS: u32 = 3;

/// Gets a request its answer.
///
/// # Errors
///
/// Returns the refusal to answer with; "not run" covers every try that was made.
pub(crate) async fn run(
    gate: &Rc<Gate>,
    call: &Call,
    source: &Rc<RequestBody>,
) -> Result<Response<Body>, Refusal> {
    call.entry.budget.borrow_mut().earn();
    let result = tries(gate, call, source).await;
    // "Not run" is said of the request, not of its last send: a lookup whose first answer was lost
    // may have run although a later send was refused. Told otherwise, its caller would count on work
    // as not done that was done.
    result.map_err(|refusal| match call.trace.may_have_run() {
        true => refusal.after_a_run(),
        false => refusal,
    })
}

/// Sends the request until it has an answer or may not be sent again.
async fn tries(
    gate: &Rc<Gate>,
    call: &Call,
    source: &Rc<RequestBody>,
) -> Result<Response<Body>, Refusal> {
    let hold_end = call.deadline.min(call.came + gate.settings.limits.hold);
    let mut sends = 0;
    let mut avoid: Vec<PeerId> = Vec::new();
    loop {
        let way = way::find(gate, call, hold_end, &avoid).await?;
        let result = match hedge::applies(call, source, &way) {
            Some(free) => hedge::race(gate, call, source, &way, &free).await,
            None => attempt(gate, call, source, &way).await,
        };
        let refusal = match result {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        if !source.is_whole() || !(refusal.not_run() || call.is_idempotent()) {
            return Err(refusal);
        }
        if let Way::Free(_, Place::Gate(peer, _)) = &way {
            avoid.push(*peer);
        }
        let now = gate.now();
        if refusal.is_rerouted() && refusal.not_run() {
            if now >= hold_end {
                return Err(refusal);
            }
            let shard = &call.entry.shards[0];
            pause(shard, hold_end.since(now).min(LOOK_EVERY)).await;
            continue;
        }
        sends += 1;
        if !may_repeat(call, &refusal, sends, now) {
            return Err(refusal);
        }
        gate.counters.retries.inc();
    }
}

/// Sends the request once.
pub(crate) async fn attempt(
    gate: &Rc<Gate>,
    call: &Call,
    source: &Rc<RequestBody>,
    way: &Way,
) -> Result<Response<Body>, Refusal> {
    let (hop, peer) = match way {
        Way::Own(choice) => {
            let lane = &choice.route.server.lane;
            return send::to_server(gate, call, source, lane).await;
        }
        Way::Free(free, Place::Own) => {
            return send::to_server(gate, call, source, &free.lane).await;
        }
        Way::Gate(choice, host) => (Hop::Server(choice, host), host),
        Way::Free(free, Place::Gate(id, host)) => (Hop::Service(free, *id, host), host),
    };
    let peer = gate.gates.borrow().get(peer).cloned();
    match peer {
        Some(peer) => forward::to_gate(gate, call, source, hop, &peer).await,
        None => Err(ResultCode::NoServer.into()),
    }
}

/// Tells whether the request may be sent again, and takes it from the budget. A refusal for want of
/// time or room would only be repeated.
fn may_repeat(call: &Call, refusal: &Refusal, sends: u32, now: Millis) -> bool {
    let transient = matches!(
        refusal.code,
        ResultCode::OutcomeUnknown
            | ResultCode::AnswerCut
            | ResultCode::Shed
            | ResultCode::Internal
    );
    transient
        && sends < MOST_SENDS
        && now < call.deadline
        && call
            .entry
            .budget
            .borrow_mut()
            .take(refusal.not_run(), call.is_idempotent())
}

/// Tells whether a late request may be tried a second time.
pub(crate) fn is_hedged(call: &Call) -> bool {
    call.class == Class::Interactive && call.entry.service.kind == Kind::Free
}

async fn pause(shard: &Shard, length: Millis) {
    let seen = shard.signal.count();
    let _ = timeout(length.duration(), shard.signal.after(seen)).await;
}
