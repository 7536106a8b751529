//! Orders: one claim for each id.

use std::rc::Rc;

use chicoryrail_core::Epoch;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_core::ShardId;
use chicoryrail_ownership::Claim;
use chicoryrail_ownership::OrderWindow;
use chicoryrail_ownership::Outcome;
use chicoryrail_runtime::EventKind;
use chicoryrail_wire::OrderAnswer;
use chicoryrail_wire::OrderClaim;
use chicoryrail_wire::OrderClose;
use chicoryrail_wire::OrderCopy;
use chicoryrail_wire::OrderOutcome;
use chicoryrail_wire::OrderReply;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;

use crate::Controller;
use crate::held::Held;

/// Longest time a duplicate is kept waiting, whatever it asks for.
const WAIT_MOST: Millis = Millis(10_000);
/// Longest time of one copy to the deputy.
const COPY_LIMIT: Millis = Millis(150);
/// Tries of a copy, some 1.2 s in all: a lost deputy is replaced in that time.
const COPY_TRIES: u32 = 6;
/// Rest between two tries.
const COPY_AGAIN: Millis = Millis(50);

/// Claims an id, waiting for the outcome of an open claim.
pub(crate) async fn claim(controller: &Controller, request: &OrderClaim) -> Reply {
    let until = controller.now() + request.wait.min(WAIT_MOST);
    loop {
        let Some(held) = part(controller, &request.order) else {
            return Reply::refused(ResultCode::NotHolder);
        };
        let Some(window) = held.orders() else {
            return Reply::refused(ResultCode::NotHolder);
        };
        let seen = held.news.count();
        let now = controller.now();
        let answer = {
            let mut window = window.borrow_mut();
            window.claim(now, &request.order, request.print, request.token)
        };
        let left = until.since(now);
        match answer {
            Claim::Send => {
                if !copy_claim(controller, &held, request).await {
                    window
                        .borrow_mut()
                        .close(&request.order, request.token, Outcome::NotRun);
                    held.news.raise();
                    return Reply::refused(ResultCode::NotHolder);
                }
                let events = &controller.process.events;
                let detail = format!("gate={} service={}", request.gate, request.service);
                events.record(EventKind::OrderClaimed, request.order.as_str(), detail);
                return Reply::Order(OrderReply::Send);
            }
            Claim::Reused => return Reply::Order(OrderReply::Reused),
            Claim::Full => return Reply::refused(ResultCode::Overloaded),
            Claim::Closed(outcome) => return Reply::Order(OrderReply::Closed(to_wire(outcome))),
            Claim::Running if left == Millis::ZERO => return Reply::Order(OrderReply::Running),
            Claim::Running => held.news.wait(seen, left).await,
        }
    }
}

/// Takes in what became of a claim.
pub(crate) async fn close(controller: &Controller, request: &OrderClose) -> Reply {
    let Some(held) = part(controller, &request.order) else {
        return Reply::refused(ResultCode::NotHolder);
    };
    let Some(window) = held.orders() else {
        return Reply::refused(ResultCode::NotHolder);
    };
    let outcome = from_wire(&request.outcome);
    let changed = window
        .borrow_mut()
        .close(&request.order, request.token, outcome);
    if changed {
        let events = &controller.process.events;
        let detail = match &request.outcome {
            OrderOutcome::Done(answer) => format!("done status={}", answer.status),
            OrderOutcome::NotRun => "not-run".to_owned(),
            OrderOutcome::Unknown => "unknown".to_owned(),
        };
        events.record(EventKind::OrderClosed, request.order.as_str(), detail);
        held.news.raise();
        copy_outcome(controller, &held, request).await;
    }
    Reply::Order(OrderReply::Closed(request.outcome.clone()))
}

/// Copies a granted claim to the deputy before it takes effect; tells whether it may.
///
/// Without the copy a deputy that takes over would let the id be sent a second time. A deputy that
/// can't be reached is replaced within a second; until then the claim is refused, not run.
async fn copy_claim(controller: &Controller, held: &Held, claim: &OrderClaim) -> bool {
    for _ in 0..COPY_TRIES {
        let (epoch, deputy) = named(held);
        let Some(deputy) = deputy else {
            return held.may_act(controller.now());
        };
        let ShardId::Orders { part } = held.shard else {
            return false;
        };
        let copied = OrderCopy {
            part,
            epoch: epoch.0,
            claim: claim.clone(),
            outcome: None,
        };
        if copy(controller, &deputy, copied).await {
            // The deputy may have been replaced while the copy was on its way.
            return held.may_act(controller.now()) && named(held) == (epoch, Some(deputy));
        }
        controller.process.clock.sleep(COPY_AGAIN).await;
    }
    false
}

/// Copies an outcome; when it is lost the deputy still has the claim, and never sends again.
async fn copy_outcome(controller: &Controller, held: &Held, close: &OrderClose) {
    let ((epoch, Some(deputy)), ShardId::Orders { part }) = (named(held), &held.shard) else {
        return;
    };
    let claim = OrderClaim {
        order: close.order.clone(),
        service: "-".into(),
        print: 0,
        gate: controller.own().clone(),
        token: close.token,
        wait: Millis::ZERO,
    };
    let copied = OrderCopy {
        part: *part,
        epoch: epoch.0,
        claim,
        outcome: Some(close.outcome.clone()),
    };
    let _ = copy(controller, &deputy, copied).await;
}

fn named(held: &Held) -> (Epoch, Option<HostName>) {
    let record = held.record.borrow();
    (record.0.epoch, record.0.deputy.clone())
}

/// Sends one copy; tells whether the deputy has it.
pub(crate) async fn copy(controller: &Controller, deputy: &HostName, copy: OrderCopy) -> bool {
    let Some(peer) = controller.controller_of(deputy) else {
        return false;
    };
    let reply = peer.call(&Request::OrderCopy(copy), COPY_LIMIT).await;
    matches!(reply, Ok(Reply::Done))
}

/// Takes a copy in as the deputy.
pub(crate) fn take_copy(controller: &Controller, copy: &OrderCopy) -> Reply {
    let shard = ShardId::Orders { part: copy.part };
    let deputy = controller.deputies.borrow().get(&shard).cloned();
    let Some(deputy) = deputy.filter(|d| d.fence.get().epoch.0 == copy.epoch) else {
        return Reply::refused(ResultCode::NotHolder);
    };
    // A deputy that takes over has its own window from the promises on, while the last holder may act
    // and send copies until its right has run out. A copy that reached only the deputy's window would
    // be missing from the next one, and the order would be sent a second time. One that comes after
    // the wait is refused, so its claim is not given.
    let next = controller.held.borrow().get(&shard).cloned();
    if let Some(next) = &next {
        if next.may_act(controller.now()) {
            return Reply::refused(ResultCode::NotHolder);
        }
        if let Some(window) = next.orders() {
            copy_into(controller, &mut window.borrow_mut(), copy);
        }
    }
    copy_into(controller, &mut deputy.window.borrow_mut(), copy);
    Reply::Done
}

fn copy_into(controller: &Controller, window: &mut OrderWindow<OrderAnswer>, copy: &OrderCopy) {
    let claim = &copy.claim;
    match &copy.outcome {
        // The print came with the claim.
        Some(outcome) if claim.print == 0 => {
            window.close(&claim.order, claim.token, from_wire(outcome));
        }
        outcome => window.copied(
            controller.now(),
            &claim.order,
            claim.print,
            claim.token,
            outcome.as_ref().map(from_wire),
        ),
    }
}

/// Tells what is known of an id.
pub(crate) fn lookup(controller: &Controller, order: &str) -> Reply {
    let Some(held) = part(controller, order) else {
        return Reply::refused(ResultCode::NotHolder);
    };
    let Some(window) = held.orders() else {
        return Reply::refused(ResultCode::NotHolder);
    };
    let known = window.borrow().lookup(controller.now(), order);
    Reply::Order(match known {
        None => OrderReply::Nothing,
        Some(None) => OrderReply::Running,
        Some(Some(outcome)) => OrderReply::Closed(to_wire(outcome)),
    })
}

fn part(controller: &Controller, order: &str) -> Option<Rc<Held>> {
    let shard = ShardId::of_order(order, controller.config().order_parts());
    let held = controller.held.borrow().get(&shard).cloned()?;
    held.may_act(controller.now()).then_some(held)
}

pub(crate) fn to_wire(outcome: Outcome<OrderAnswer>) -> OrderOutcome {
    match outcome {
        Outcome::Done(answer) => OrderOutcome::Done(answer),
        Outcome::NotRun => OrderOutcome::NotRun,
        Outcome::Unknown => OrderOutcome::Unknown,
    }
}

fn from_wire(outcome: &OrderOutcome) -> Outcome<OrderAnswer> {
    match outcome {
        OrderOutcome::Done(answer) => Outcome::Done(answer.clone()),
        OrderOutcome::NotRun => Outcome::NotRun,
        OrderOutcome::Unknown => Outcome::Unknown,
    }
}
