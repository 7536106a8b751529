//! Tries a late lookup a second time.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use chicoryrail_policy::Ask;
use chicoryrail_policy::Ticket;
use chicoryrail_runtime::Body;
use futures_util::future::Either;
use futures_util::future::select;
use http::Response;
use monoio::time::sleep;

use crate::call::Call;
use crate::dispatch;
use crate::free::Free;
use crate::free::Place;
use crate::gate::Gate;
use crate::refusal::Refusal;
use crate::send;
use crate::source::Source;
use crate::way::Way;

/// Returns the service where the request is one that may be tried twice at the same time.
pub(crate) fn applies(call: &Call, source: &Source, way: &Way) -> Option<Rc<Free>> {
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
/// Returns the refusal of the first try where neither got an answer.
pub(crate) async fn race(
    gate: &Rc<Gate>,
    call: &Call,
    source: &Rc<Source>,
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
                Either::Right(((), first)) => match second(gate, call, source, way, free) {
                    None => first.await,
                    Some(second) => {
                        gate.counters.hedges.inc();
                        best(first, std::pin::pin!(second)).await
                    }
                },
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
    B: Future<Output = Result<Response<Body>, Refusal>> + Unpin,
{
    match select(first, second).await {
        Either::Left((Ok(answer), _)) | Either::Right((Ok(answer), _)) => Ok(answer),
        Either::Left((Err(refusal), second)) => second.await.map_err(|_| refusal),
        Either::Right((Err(_), first)) => first.await,
    }
}

/// Returns the second try, where there is budget and a free slot for it.
fn second<'a>(
    gate: &'a Rc<Gate>,
    call: &'a Call,
    source: &'a Rc<Source>,
    way: &Way,
    free: &'a Rc<Free>,
) -> Option<impl Future<Output = Result<Response<Body>, Refusal>> + 'a> {
    let Way::Free(_, first) = way else {
        return None;
    };
    let place = free.pick_hedge(gate.now(), first)?;
    let permit = match place {
        Place::Own => {
            let ask = Ask::new(Ticket(gate.serial()), call.class, call.deadline);
            let permit = free.lane.enter_now(ask);
            if permit.is_none() {
                free.hedge.borrow_mut().give_back();
                return None;
            }
            permit
        }
        Place::Gate(..) => None,
    };
    let way = Way::Free(Rc::clone(free), place);
    Some(async move {
        match permit {
            Some(permit) => send::with_permit(gate, call, source, permit).await,
            None => dispatch::attempt(gate, call, source, &way).await,
        }
    })
}
