//! Orders: one claim for each id.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_core::ShardId;
use chicoryrail_ownership::Claim;
use chicoryrail_ownership::Outcome;
use chicoryrail_runtime::EventKind;
use chicoryrail_wire::OrderAnswer;
use chicoryrail_wire::OrderClaim;
use chicoryrail_wire::OrderClose;
use chicoryrail_wire::OrderOutcome;
use chicoryrail_wire::OrderReply;
use chicoryrail_wire::Reply;

use crate::Controller;
use crate::held::Held;

/// Longest time a duplicate is kept waiting, whatever it asks for.
const WAIT_MOST: Millis = Millis(10_000);

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
pub(crate) fn close(controller: &Controller, request: &OrderClose) -> Reply {
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
    }
    Reply::Order(OrderReply::Closed(request.outcome.clone()))
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

fn to_wire(outcome: Outcome<OrderAnswer>) -> OrderOutcome {
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
