//! Handles slot queries for the scheduling partitions (parts) that this host schedules.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_policy::Decision;
use chicoryrail_policy::SlotRequest;

use crate::control::scheduling::decisions::decide;
use crate::control::scheduling::decisions::send_decision;
use crate::control::scheduling::overflow;
use crate::control::scheduling::part_schedulers::new_scheduler;
use crate::control::scheduling::part_schedulers::refresh_servers;
use crate::control::scheduling::part_schedulers::reply_to;
use crate::control::scheduling::takeover::record_query;
use crate::control::scheduling::tokens::take_token;
use crate::messages::SlotQuery;
use crate::messages::SlotReply;
use crate::state::QueryOrigin;
use crate::state::Router;

/// Adds a queried request to its scheduler, and replies with a decision or that the request waits.
pub(super) fn handle_query(router: &Rc<Router>, query: &SlotQuery, from: Option<SocketAddr>) {
    let now = router.now();
    let service = router.service(&query.part.service);
    let excluded = query
        .not
        .iter()
        .filter_map(|l| service.target(l).map(|t| t.id));
    let request = SlotRequest {
        ticket: query.ticket,
        priority: query.rank,
        latency_target: now + Millis(query.aim),
        deadline: now + Millis(query.left),
        work_us: query.work_us as f64,
        key: query.key,
        excluded: excluded.collect(),
        dc_index: router.schedulers.dc_index(&query.dc),
        large_response: query.large,
        tolerates_waiting: query.tolerates_waiting,
        caller_deadline: now + Millis(query.caller_left),
        caller: query.caller,
        head: query.head,
        route: query.route,
        body_bytes: query.body_bytes,
    };
    // A repeated query for a queued request is no new demand for its key.
    let is_queued = is_queued(router, query.ticket);
    if let Some(key) = query.key.filter(|_| !is_queued) {
        service.record_key_demand(key);
    }
    let assigned = {
        let mut schedulers = router.schedulers.by_part.borrow_mut();
        let scheduler = schedulers
            .entry(query.part.clone())
            .or_insert_with(|| new_scheduler(router));
        scheduler.enqueue(now, request)
    };
    let Ok(token) = take_token(router, query, from, assigned.is_some()) else {
        return;
    };
    let origin = QueryOrigin {
        from,
        id: query.id.clone(),
        token,
    };
    router
        .schedulers
        .origins
        .borrow_mut()
        .insert(query.ticket, origin);
    if let Some(id) = assigned {
        // The request was assigned before, and the reply was lost.
        send_decision(router, &query.part, query.ticket, Decision::Send(id));
        return;
    }
    refresh_servers(router, &query.part);
    record_query(router, query);
    // A request is redirected for lack of a free slot at most once.
    let may_overflow = query.part.dc.is_some() && !query.overflows;
    if may_overflow
        && !overflow::has_free_slot(router, &query.part)
        && overflow::redirect_overflow(router, query, from)
    {
        return;
    }
    // Many requests that tolerate waiting may wait, and each repeats its query. Its repetition changes no decision.
    if !(is_queued && query.tolerates_waiting) {
        decide(router, &query.part);
    }
    if router
        .schedulers
        .origins
        .borrow()
        .contains_key(&query.ticket)
    {
        router.schedulers.enqueued.notify();
        reply_to(router, from, query.ticket, SlotReply::Waits);
    }
}

/// Returns `true` if a request is queued here since an earlier query.
fn is_queued(router: &Router, ticket: u64) -> bool {
    router.schedulers.origins.borrow().contains_key(&ticket)
}
