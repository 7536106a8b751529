//! Tries a late lookup a second time.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use chicoryrail_core::Millis;
use chicoryrail_policy::Ask;
use chicoryrail_policy::Hedge;
use chicoryrail_policy::Ticket;
use chicoryrail_runtime::Body;
use chicoryrail_runtime::RequestBody;
use futures_util::future::Either;
use futures_util::future::select;
use http::Response;
use monoio::time::sleep;

use crate::call::Call;
use crate::dispatch;
use crate::forward;
use crate::forward::Hop;
use crate::free::Free;
use crate::free::Place;
use crate::gate::Gate;
use crate::refusal::Refusal;
use crate::send;
use crate::way::Way;

/// Looks for a free slot before a second try is given up, and the time between two of them: together
/// some service times of a lookup, after which the first answer is as near as a second one.
const LOOKS: u32 = 10;
const LOOK_EVERY: Millis = Millis(2);

/// Returns the service where the request is one that may be tried twice at the same time.
pub(crate) fn applies(call: &Call, source: &RequestBody, way: &Way) -> Option<Rc<Free>> {
    match way {
        Way::Free(free, _) if dispatch::is_hedged(call) && source.is_empty() => {
            Some(Rc::clone(free))
        }
        _ => None,
    }
}

/// Sends the request, and once more where its answer is late by its service's measure. The first
/// answer counts; the other try is dropped, which cancels it at its server.
///
/// # Errors
///
/// Returns the refusal of the first try where neither got an answer. What is known of the run of
/// both stands in the call's trace.
pub(crate) async fn race(
    gate: &Rc<Gate>,
    call: &Call,
    source: &Rc<RequestBody>,
    way: &Way,
    free: &Rc<Free>,
) -> Result<Response<Body>, Refusal> {
    free.hedge.borrow_mut().earn();
    let started = Instant::now();
    let late = free.hedge.borrow().late_us(call.class, false);
    let first = std::pin::pin!(dispatch::attempt(gate, call, source, way));
    let result = match late {
        None => first.await,
        Some(us) => {
            let timer = std::pin::pin!(sleep(Duration::from_micros(u64::from(us))));
            match select(first, timer).await {
                Either::Left((result, _)) => result,
                Either::Right(((), first)) => {
                    let second = std::pin::pin!(second(gate, call, source, way, free));
                    best(first, second).await
                }
            }
        }
    };
    if result.is_ok() {
        let us = u32::try_from(started.elapsed().as_micros()).unwrap_or(u32::MAX);
        free.hedge.borrow_mut().answered(gate.now(), us);
    }
    result
}

/// Waits for the first answer of two tries.
async fn best<A, B>(first: A, second: B) -> Result<Response<Body>, Refusal>
where
    A: Future<Output = Result<Response<Body>, Refusal>> + Unpin,
    B: Future<Output = Option<Response<Body>>> + Unpin,
{
    match select(first, second).await {
        Either::Left((Ok(answer), _)) | Either::Right((Some(answer), _)) => Ok(answer),
        Either::Left((Err(refusal), second)) => second.await.ok_or(refusal),
        Either::Right((None, first)) => first.await,
    }
}

/// Makes the second try, where there is budget and a free slot for it.
///
/// Made for a server that turns slow while the others are busy: slots turn over within milliseconds,
/// so a try that finds none is made again a little later, as long as the request is late.
async fn second(
    gate: &Rc<Gate>,
    call: &Call,
    source: &Rc<RequestBody>,
    way: &Way,
    free: &Rc<Free>,
) -> Option<Response<Body>> {
    let Way::Free(_, first) = way else {
        return None;
    };
    let mut want = "budget";
    for _ in 0..LOOKS {
        if free.hedge.borrow_mut().take(1) {
            match try_places(gate, call, source, free, first).await {
                Ok(answer) => return answer,
                Err(NoSlot) => free.hedge.borrow_mut().give_back(),
            }
            want = "slots";
        }
        sleep(LOOK_EVERY.duration()).await;
    }
    let refused = &gate.counters.hedges_refused;
    refused.with_label_values(&[want]).inc();
    None
}

/// No place had a free slot; nothing was sent.
struct NoSlot;

/// Offers the second try to one place after the other, until one has a free slot; `None` where the
/// one that took it gave no answer, so that it may have run.
async fn try_places(
    gate: &Rc<Gate>,
    call: &Call,
    source: &Rc<RequestBody>,
    free: &Rc<Free>,
    first: &Place,
) -> Result<Option<Response<Body>>, NoSlot> {
    let mut avoid = Vec::new();
    for _ in 0..Hedge::PLACES {
        let place = free.pick_hedge(gate.now(), first, &avoid);
        let result = match place.ok_or(NoSlot)? {
            Place::Own => {
                let ask = Ask::new(Ticket(gate.serial()), call.class, call.deadline);
                let permit = free.lane.enter_now(ask).ok_or(NoSlot)?;
                gate.counters.hedges.inc();
                send::with_permit(gate, call, source, permit).await
            }
            Place::Gate(id, host) => {
                avoid.push(id);
                let peer = gate.gates.borrow().get(&host).cloned();
                let hop = Hop::Slot(free, id, &host);
                forward::to_gate(gate, call, source, hop, &peer.ok_or(NoSlot)?).await
            }
        };
        match result {
            // A place without a free slot runs nothing.
            Err(refusal) if refusal.not_run() => {}
            result => return Ok(result.ok()),
        }
    }
    Err(NoSlot)
}
