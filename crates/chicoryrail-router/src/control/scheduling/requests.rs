//! Handles slot queries and ends of requests for the scheduling partitions (parts) that this host schedules, and
//! replies with the schedulers' decisions.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::SchedulerHost;
use chicoryrail_ownership::keys::KeyOwner;
use chicoryrail_policy::Decision;
use chicoryrail_policy::Failure;
use chicoryrail_policy::LoadReport;
use chicoryrail_policy::Placement;
use chicoryrail_policy::Scheduler;
use chicoryrail_policy::SlotRelease;
use chicoryrail_policy::SlotRequest;

use crate::control::scheduling::overflow;
use crate::control::scheduling::part_schedulers::new_scheduler;
use crate::control::scheduling::part_schedulers::refresh_servers;
use crate::control::scheduling::part_schedulers::remove_origin;
use crate::control::scheduling::part_schedulers::reply_to;
use crate::control::scheduling::part_schedulers::withdraw_request;
use crate::control::scheduling::server_bytes::apply_byte_limit;
use crate::control::scheduling::server_bytes::record_end_under_load;
use crate::control::scheduling::takeover::apply_report;
use crate::control::scheduling::takeover::record_query;
use crate::control::scheduling::tokens::take_token;
use crate::messages::Packet;
use crate::messages::PartName;
use crate::messages::SlotEnd;
use crate::messages::SlotEndKind;
use crate::messages::SlotQuery;
use crate::messages::SlotReply;
use crate::state::QueryOrigin;
use crate::state::Router;
use crate::state::Service;

/// Handles a packet that is addressed to this host as a scheduler; `from` is `None` if this host sent it itself.
///
/// A host does not check that it is the right scheduler for a query: hosts whose views of the others differ select
/// different schedulers for a moment, and any host that receives a query schedules the request.
pub(crate) fn handle_packet(router: &Rc<Router>, packet: &Packet, from: Option<SocketAddr>) {
    match packet {
        Packet::SlotQuery(query) => handle_query(router, query, from),
        Packet::SlotEnd(end) => handle_end(router, end, from),
        Packet::Leave { part, ticket } => withdraw_request(router, part, *ticket),
        Packet::Rooms(parts) => {
            for part in parts {
                router.schedulers.record_free_slots(router.now(), part);
            }
        }
        Packet::HeldRequests(report) => apply_report(router, report, from),
        Packet::ByteLimit(news) => apply_byte_limit(router, news),
        Packet::Heartbeat(_)
        | Packet::Paces(_)
        | Packet::KeyDemand(_)
        | Packet::SlotReply { .. }
        | Packet::QuotaReports(_)
        | Packet::QuotaGrants(_)
        | Packet::Crashes(_)
        | Packet::Traffic(_) => {}
    }
}

/// Adds a queried request to its scheduler, and replies with a decision or that the request waits.
fn handle_query(router: &Rc<Router>, query: &SlotQuery, from: Option<SocketAddr>) {
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

/// Applies the end of a request at a server: its slot is free, and the server's estimates are updated.
///
/// `from` is the host that sent the request, `None` for this one.
fn handle_end(router: &Rc<Router>, end: &SlotEnd, from: Option<SocketAddr>) {
    let service = router.service(&end.part.service);
    let Some(target) = service.target(&end.server) else {
        return;
    };
    let report = end
        .report
        .map(|(running, waiting, slots, slowdown_percent)| LoadReport {
            running,
            waiting,
            slots,
            slowdown_percent,
        });
    let release = SlotRelease {
        ticket: end.ticket,
        server: target.id,
        elapsed_us: end.us.map(|us| us as f64),
        failure: match end.kind {
            SlotEndKind::Plain => None,
            SlotEndKind::Full => Some(Failure::Full),
            SlotEndKind::Broken => Some(Failure::Broken),
            SlotEndKind::Error => Some(Failure::Error),
            SlotEndKind::Silent => Some(Failure::Silent),
            SlotEndKind::Unanswered => Some(Failure::Unanswered),
            SlotEndKind::Ended => Some(Failure::Ended),
        },
        report,
    };
    let now = router.now();
    if let Some(rate) = end.rate
        && target.record_rate_limit(now, rate.into())
    {
        service.record_change(&target);
    }
    let mut evidence = None;
    if let Some(scheduler) = router.schedulers.by_part.borrow_mut().get_mut(&end.part) {
        let slots = scheduler.usable_slots(target.id);
        let pause = scheduler.release(now, &release);
        log_pause(router, end, from, pause);
        log_slot_limit(router, end, slots, scheduler.usable_slots(target.id));
        if end.kind == SlotEndKind::Ended {
            evidence = scheduler.record_server_end(now, target.id);
        }
    }
    if let Some(evidence) = evidence {
        record_end_under_load(router, &end.part.service, &end.server, evidence);
    }
    assign_waiting(router, &end.part);
}

/// Logs that a server gets no requests for a time because its connections failed repeatedly.
fn log_pause(router: &Router, end: &SlotEnd, from: Option<SocketAddr>, pause: Option<Millis>) {
    let Some(pause) = pause else {
        return;
    };
    let reporter = from.unwrap_or_else(|| router.peer_addr());
    log::info!(server:% = end.server, service:% = end.part.service, failure:? = end.kind,
        reporter:% = reporter, pause_ms = pause.0; "server_paused");
}

/// Logs and counts that a server is given fewer requests at once since it fell silent, or more again.
fn log_slot_limit(router: &Router, end: &SlotEnd, before: Option<u32>, after: Option<u32>) {
    let (Some(before), Some(after)) = (before, after) else {
        return;
    };
    let change = match after.cmp(&before) {
        Ordering::Equal => return,
        Ordering::Less => "lowered",
        Ordering::Greater => "raised",
    };
    let labels = [end.part.service.as_str(), change];
    let changes = &router.counters.slot_limit_changes;
    changes.with_label_values(&labels).inc();
    log::info!(server:% = end.server, service:% = end.part.service, from = before, to = after;
        "slot_limit");
}

/// Redirects waiting requests after their keys moved to a server that another host schedules.
///
/// The other host does not know of requests that this host assigns to that server, so together they could use more than
/// its slots.
pub(crate) fn redirect_moved_keys(router: &Rc<Router>, service: &Service) {
    let part = PartName::unpartitioned(&service.name);
    let elsewhere: Vec<u64> = {
        let schedulers = router.schedulers.by_part.borrow();
        let Some(scheduler) = schedulers.get(&part) else {
            return;
        };
        let keys = service.keys.borrow();
        let moved = scheduler.queued_keys().filter(|(_, key)| {
            let owner = keys.assigned_owner(*key);
            router.server_scheduler(service, owner) != SchedulerHost::Here
        });
        moved.map(|(ticket, _)| ticket).collect()
    };
    for ticket in elsewhere {
        if let Some(scheduler) = router.schedulers.by_part.borrow_mut().get_mut(&part) {
            scheduler.cancel(ticket);
        }
        if let Some(origin) = remove_origin(router, ticket) {
            reply_to(router, origin.from, ticket, SlotReply::Elsewhere);
        }
    }
}

/// Updates a part's servers, and decides on its waiting requests where possible.
pub(super) fn assign_waiting(router: &Rc<Router>, part: &PartName) {
    refresh_servers(router, part);
    decide(router, part);
}

/// Decides on a part's waiting requests where possible, and replies to the hosts that sent the queries.
fn decide(router: &Rc<Router>, part: &PartName) {
    let now = router.now();
    let service = router.service(&part.service);
    let decisions = {
        let mut schedulers = router.schedulers.by_part.borrow_mut();
        let Some(scheduler) = schedulers.get_mut(part).filter(|s| s.queue_length() > 0) else {
            return;
        };
        let keys = service.keys.borrow();
        scheduler.poll(now, |key| match keys.owner(now, key) {
            KeyOwner::Granted(life) => service
                .target(&life)
                .map_or(Placement::Unassigned, |t| Placement::Owner(t.id)),
            KeyOwner::Moving | KeyOwner::Unassigned => Placement::Unassigned,
        })
    };
    for (ticket, decision) in decisions {
        send_decision(router, part, ticket, decision);
    }
}

fn send_decision(router: &Rc<Router>, part: &PartName, ticket: u64, decision: Decision) {
    let service = router.service(&part.service);
    let reply = match decision {
        Decision::Refuse(after) => SlotReply::Refuse(after.0),
        Decision::Return(after) => SlotReply::Return(after.0),
        Decision::Send(id) => {
            let targets = service.targets.borrow();
            // No reply is sent if the server is no longer known.
            let Some(target) = targets.values().find(|t| t.id == id) else {
                return;
            };
            SlotReply::Send(target.life.clone())
        }
    };
    // A request that is sent keeps its quota token; any other gives it back.
    let origin = match reply {
        SlotReply::Send(_) => router.schedulers.origins.borrow_mut().remove(&ticket),
        _ => remove_origin(router, ticket),
    };
    let Some(origin) = origin else {
        return;
    };
    if let SlotReply::Refuse(after) | SlotReply::Return(after) = reply {
        let schedulers = router.schedulers.by_part.borrow();
        let scheduler = schedulers.get(part);
        let (busy, slots) = scheduler.map_or((0, 0), Scheduler::occupancy);
        let paused = scheduler.map_or(0, |s| s.paused_servers(router.now()));
        log::info!(request = origin.id, service:% = service.name, room_in_ms = after,
            returns = matches!(reply, SlotReply::Return(_)), busy = busy,
            slots = slots, waiting = scheduler.map_or(0, Scheduler::queue_length), paused = paused;
            "scheduler_refused");
    }
    reply_to(router, origin.from, ticket, reply);
}
