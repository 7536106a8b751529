//! Schedules the requests for the servers for which this host was drawn: takes what hosts ask and tell, and says what
//! becomes of requests.

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
use crate::control::scheduling::part_schedulers::answer;
use crate::control::scheduling::part_schedulers::forget;
use crate::control::scheduling::part_schedulers::left;
use crate::control::scheduling::part_schedulers::refresh;
use crate::control::scheduling::tokens::take_token;
use crate::state::Origin;
use crate::state::Router;
use crate::state::Service;
use crate::talk::Packet;
use crate::talk::PartName;
use crate::talk::SlotEnd;
use crate::talk::SlotEndKind;
use crate::talk::SlotQuery;
use crate::talk::SlotReply;

/// Takes in what is meant for the host that schedules; `from` is `None` for this host itself. Whoever is asked
/// schedules: hosts that hear different others draw differently for a moment.
pub(crate) fn handle_packet(router: &Rc<Router>, packet: &Packet, from: Option<SocketAddr>) {
    match packet {
        Packet::SlotQuery(asked) => ask(router, asked, from),
        Packet::SlotEnd(end) => ended(router, end),
        Packet::Leave { part, ticket } => left(router, part, *ticket),
        Packet::Rooms(rooms) => {
            for room in rooms {
                router.schedulers.heard_room(router.now(), room);
            }
        }
        Packet::Heartbeat(_)
        | Packet::Paces(_)
        | Packet::KeyDemand(_)
        | Packet::SlotReply { .. }
        | Packet::QuotaReports(_)
        | Packet::QuotaGrants(_) => {}
    }
}

/// Takes in a request that asks.
fn ask(router: &Rc<Router>, ask: &SlotQuery, from: Option<SocketAddr>) {
    let now = router.now();
    let service = router.service(&ask.part.service);
    let ids = ask
        .not
        .iter()
        .filter_map(|l| service.target(l).map(|t| t.id));
    let asked = SlotRequest {
        ticket: ask.ticket,
        rank: ask.rank,
        aim: now + Millis(ask.aim),
        deadline: now + Millis(ask.left),
        work_us: ask.work_us as f64,
        key: ask.key,
        not: ids.collect(),
        near: router.schedulers.dc_number(&ask.dc),
        large: ask.large,
    };
    if let Some(key) = ask.key.filter(|_| !asks_again(router, ask.ticket)) {
        service.note_key(key);
    }
    let given = {
        let mut schedulers = router.schedulers.by_part.borrow_mut();
        let scheduler = schedulers.entry(ask.part.clone()).or_default();
        scheduler.ask(now, asked)
    };
    let Ok(token) = take_token(router, ask, from, given.is_some()) else {
        return;
    };
    let origin = Origin {
        from,
        id: ask.id.clone(),
        token,
    };
    router
        .schedulers
        .origins
        .borrow_mut()
        .insert(ask.ticket, origin);
    if let Some(id) = given {
        // The reply was lost on the way.
        send_reply(router, &ask.part, ask.ticket, Decision::Send(id));
        return;
    }
    refresh(router, &ask.part);
    let may_overflow = ask.part.dc.is_some() && !ask.overflows;
    if may_overflow
        && !overflow::has_free(router, &ask.part)
        && overflow::send_elsewhere(router, ask, from)
    {
        return;
    }
    decide(router, &ask.part);
    if router.schedulers.origins.borrow().contains_key(&ask.ticket) {
        answer(router, from, ask.ticket, SlotReply::Waits);
    }
}

/// Tells whether a request has asked before and still waits here.
fn asks_again(router: &Router, ticket: u64) -> bool {
    router.schedulers.origins.borrow().contains_key(&ticket)
}

/// Takes in how a request ended.
fn ended(router: &Rc<Router>, end: &SlotEnd) {
    let service = router.service(&end.part.service);
    let Some(target) = service.target(&end.server) else {
        return;
    };
    let report = end
        .report
        .map(|(running, waiting, slots, pace)| LoadReport {
            running,
            waiting,
            slots,
            pace,
        });
    let release = SlotRelease {
        ticket: end.ticket,
        server: target.id,
        us: end.us.map(|us| us as f64),
        failure: match end.kind {
            SlotEndKind::Plain => None,
            SlotEndKind::Full => Some(Failure::Full),
            SlotEndKind::Broken => Some(Failure::Broken),
            SlotEndKind::Error => Some(Failure::Error),
            SlotEndKind::Silent => Some(Failure::Silent),
        },
        report,
    };
    let now = router.now();
    if let Some(rate) = end.rate {
        target.hear_limit(now, rate.into());
    }
    if let Some(scheduler) = router.schedulers.by_part.borrow_mut().get_mut(&end.part) {
        scheduler.ended(now, &release);
    }
    poll(router, &end.part);
}

/// Takes in that keys changed hands: who waits here for a server for which another host schedules is sent there.
/// Given a server from here, it would come on top of what that host gives it.
pub(crate) fn keys_moved(router: &Rc<Router>, service: &Service) {
    let part = PartName::whole(&service.name);
    let elsewhere: Vec<u64> = {
        let schedulers = router.schedulers.by_part.borrow();
        let Some(scheduler) = schedulers.get(&part) else {
            return;
        };
        let keys = service.keys.borrow();
        let moved = scheduler.waiting_keys().filter(|(_, key)| {
            let owner = keys.meant(*key);
            router.server_scheduler(service, owner) != SchedulerHost::Here
        });
        moved.map(|(ticket, _)| ticket).collect()
    };
    for ticket in elsewhere {
        if let Some(scheduler) = router.schedulers.by_part.borrow_mut().get_mut(&part) {
            scheduler.leave(ticket);
        }
        if let Some(origin) = forget(router, ticket) {
            answer(router, origin.from, ticket, SlotReply::Elsewhere);
        }
    }
}

/// Decides what can be decided by what is believed of the servers now.
pub(super) fn poll(router: &Rc<Router>, part: &PartName) {
    refresh(router, part);
    decide(router, part);
}

/// Decides what can be decided, and tells who asked.
fn decide(router: &Rc<Router>, part: &PartName) {
    let now = router.now();
    let service = router.service(&part.service);
    let verdicts = {
        let mut schedulers = router.schedulers.by_part.borrow_mut();
        let Some(scheduler) = schedulers.get_mut(part).filter(|s| s.waiting() > 0) else {
            return;
        };
        let keys = service.keys.borrow();
        scheduler.poll(now, |key| match keys.owner(now, key) {
            KeyOwner::Held(life) => service
                .target(&life)
                .map_or(Placement::Moving, |t| Placement::Owner(t.id)),
            KeyOwner::Moving | KeyOwner::Nobody => Placement::Moving,
        })
    };
    for (ticket, verdict) in verdicts {
        send_reply(router, part, ticket, verdict);
    }
}

fn send_reply(router: &Rc<Router>, part: &PartName, ticket: u64, verdict: Decision) {
    let service = router.service(&part.service);
    let reply = match verdict {
        Decision::Refuse(after) => SlotReply::Refuse(after.0),
        Decision::Send(id) => {
            let targets = service.targets.borrow();
            let Some(target) = targets.values().find(|t| t.id == id) else {
                return;
            };
            SlotReply::Send(target.life.clone())
        }
    };
    let origin = match reply {
        SlotReply::Send(_) => router.schedulers.origins.borrow_mut().remove(&ticket),
        _ => forget(router, ticket),
    };
    let Some(origin) = origin else {
        return;
    };
    if let SlotReply::Refuse(after) = reply {
        let schedulers = router.schedulers.by_part.borrow();
        let scheduler = schedulers.get(part);
        let (busy, slots) = scheduler.map_or((0, 0), Scheduler::filled);
        log::info!(request = origin.id, service:% = service.name, room_in_ms = after, busy = busy,
            slots = slots, waiting = scheduler.map_or(0, Scheduler::waiting);
            "scheduler_refused");
    }
    answer(router, origin.from, ticket, reply);
}
