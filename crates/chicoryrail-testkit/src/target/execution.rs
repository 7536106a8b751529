//! Runs requests in the slots of a server.

use std::rc::Rc;
use std::time::Duration;

use chicoryrail_core::Millis;
use chicoryrail_runtime::CancellationToken;
use futures_util::future::Either;
use futures_util::future::select;

use crate::CancelledRun;
use crate::Permit;
use crate::Run;
use crate::target::request_end::RequestEnd;
use crate::target::slots::NoSlot;
use crate::target::state::State;
use crate::target::work::Work;
use crate::unix_micros;

/// Runs a request and counts how it ended.
pub(super) async fn run(state: Rc<State>, work: Work, cancel: CancellationToken) -> RequestEnd {
    let id = state.accept(work.key);
    let end = run_accepted(&state, &work, id, &cancel).await;
    state.finish(id);
    let mut recorder = state.recorder.borrow_mut();
    match end {
        RequestEnd::NotOwner => recorder.ledger.not_held += 1,
        RequestEnd::Refused => recorder.ledger.shed += 1,
        RequestEnd::Expired => recorder.ledger.late += 1,
        RequestEnd::Cancelled => recorder.ledger.cancelled += 1,
        RequestEnd::Done | RequestEnd::DoneLate | RequestEnd::Crashed => {}
    }
    end
}

async fn run_accepted(
    state: &State,
    work: &Work,
    id: u64,
    cancel: &CancellationToken,
) -> RequestEnd {
    if permit(state, work).is_err() {
        return RequestEnd::NotOwner;
    }
    let wait = work.deadline.since(state.now());
    if wait == Millis::ZERO {
        return RequestEnd::Expired;
    }
    let acquired = std::pin::pin!(state.slots.acquire(wait));
    let cancelled = std::pin::pin!(lookup_cancelled(work, cancel));
    let slot = match select(acquired, cancelled).await {
        Either::Left((Ok(slot), _)) => slot,
        Either::Left((Err(NoSlot::Shed), _)) => return RequestEnd::Refused,
        Either::Left((Err(NoSlot::TimedOut), _)) => return RequestEnd::Expired,
        Either::Right(_) => return RequestEnd::Cancelled,
    };
    // The key lease may have ended in the queue: it is checked again here and before the run takes effect.
    let Ok(permit) = permit(state, work) else {
        return RequestEnd::NotOwner;
    };
    if state.now() >= work.deadline {
        return RequestEnd::Expired;
    }
    state.mark_running(id);
    let start = unix_micros();
    let service_us = state.service_us(work.service_us);
    if service_us > 0 {
        let worked = std::pin::pin!(monoio::time::sleep(Duration::from_micros(service_us)));
        let cancelled = std::pin::pin!(lookup_cancelled(work, cancel));
        if let Either::Right(_) = select(worked, cancelled).await {
            record_cancelled(state, work, permit, start, start + service_us);
            return RequestEnd::Cancelled;
        }
    }
    if work.crashes {
        state.crash.cancel();
    }
    if state.crash.is_cancelled() {
        return RequestEnd::Crashed;
    }
    let end = take_effect(state, work, permit, start);
    drop(slot);
    end
}

/// Waits until a lookup is cancelled; never returns for an order, which is not abandoned half-way.
async fn lookup_cancelled(work: &Work, cancel: &CancellationToken) {
    if work.order {
        std::future::pending::<()>().await;
    }
    cancel.cancelled().await;
}

/// Checks that the server owns the request's key; a server without keys needs no permit.
fn permit(state: &State, work: &Work) -> Result<Option<Permit>, ()> {
    if !state.options.keyed {
        return Ok(None);
    }
    let key = work.key.ok_or(())?;
    let leased_keys = state.leased_keys.borrow();
    leased_keys.permit_run(state.now(), key).map(Some).ok_or(())
}

/// Returns `true` unless the lease of the run's key has ended since the permit.
fn may_take_effect(state: &State, work: &Work, permit: Option<Permit>) -> bool {
    let (Some(key), Some(permit)) = (work.key, permit) else {
        return true;
    };
    let leased_keys = state.leased_keys.borrow();
    leased_keys.may_take_effect(state.now(), key, permit)
}

/// Records a run that would have taken effect at `due`, unless the key's lease has ended since the permit.
fn record_cancelled(state: &State, work: &Work, permit: Option<Permit>, start: u64, due: u64) {
    if !may_take_effect(state, work, permit) {
        return;
    }
    let cancelled = CancelledRun {
        server: state.options.name.to_string(),
        request: work.request.clone(),
        start,
        due,
        time: unix_micros(),
    };
    state.recorder.borrow_mut().record_cancelled_run(cancelled);
}

/// Records the run as having taken effect, unless the key's lease has ended since the permit.
fn take_effect(state: &State, work: &Work, permit: Option<Permit>, start: u64) -> RequestEnd {
    // Read before the check, so that a pause between the two makes the check fail instead of lengthening the run.
    let end = unix_micros();
    if !may_take_effect(state, work, permit) {
        return RequestEnd::NotOwner;
    }
    state.recorder.borrow_mut().record_run(Run {
        server: state.options.name.to_string(),
        service: state.options.service.to_string(),
        key: work.key.filter(|_| state.options.keyed),
        request: work.request.clone(),
        order: work.order,
        organisation: work.organisation.clone(),
        body: work.body,
        key_leaked: work.key_leaked,
        fence: permit.map(|p| p.fence),
        start,
        end,
    });
    if state.now() > work.deadline {
        return RequestEnd::DoneLate;
    }
    RequestEnd::Done
}
