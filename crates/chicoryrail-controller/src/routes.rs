//! Routes for gates.

use chicoryrail_core::Fence;
use chicoryrail_core::Millis;
use chicoryrail_ownership::Section;
use chicoryrail_ownership::Seen;
use chicoryrail_ownership::Work;
use chicoryrail_wire::RouteEntry;
use chicoryrail_wire::RouteReply;
use chicoryrail_wire::RouteRequest;
use chicoryrail_wire::RouteTable;
use chicoryrail_wire::ServerRoute;
use chicoryrail_wire::ServerState;
use chicoryrail_wire::SliceState;

use crate::Controller;
use crate::deputy;
use crate::held::Held;

/// Longest time that a call for routes is held. The gate counts the routes' validity from before its
/// call, so a longer one would leave too little of it.
const HOLD: Millis = Millis(150);

/// Answers a gate's call for routes; held for a short while if nothing changed.
pub(crate) async fn answer(controller: &Controller, request: &RouteRequest) -> RouteReply {
    take_in(controller, request);
    let until = controller.now() + request.wait.min(HOLD);
    loop {
        let seen = controller.route_news.count();
        let reply = build(controller, request);
        let left = until.since(controller.now());
        if !reply.tables.is_empty() || left == Millis::ZERO {
            return reply;
        }
        controller.route_news.wait(seen, left).await;
    }
}

fn take_in(controller: &Controller, request: &RouteRequest) {
    let now = controller.now();
    let mut gates = controller.gates.borrow_mut();
    gates.heard(now, &request.gate, request.leaving);
    for (shard, fence) in &request.known {
        let held = controller.held.borrow().get(shard).cloned();
        let Some(held) = held else {
            continue;
        };
        if let Some(cell) = held.section()
            && let Some(section) = cell.borrow_mut().as_mut()
        {
            let gates = section.gates_mut();
            gates.acknowledged(&request.gate, request.instance, *fence);
        }
    }
    for held in controller.all_held() {
        if let Some(cell) = held.section()
            && let Some(section) = cell.borrow_mut().as_mut()
        {
            take_seen(section, now, request);
        }
    }
}

fn take_seen(section: &mut Section, now: Millis, request: &RouteRequest) {
    for seen in &request.seen {
        let own = Seen {
            sent: seen.sent,
            failed: seen.failed,
            latency: seen.latency_us,
            waiting: seen.waiting,
        };
        section.seen(now, &request.gate, &seen.server, seen.instance, own);
    }
}

fn build(controller: &Controller, request: &RouteRequest) -> RouteReply {
    let now = controller.now();
    let mut reply = RouteReply {
        tables: Vec::new(),
        held: Vec::new(),
        valid: controller.timing.route,
        version: controller.config().version(),
    };
    for held in controller.all_held() {
        if !held.may_act(now) {
            continue;
        }
        let Some(cell) = held.section() else {
            reply.held.push((held.shard.clone(), fence(&held, None)));
            continue;
        };
        let mut cell = cell.borrow_mut();
        let Some(section) = cell.as_mut() else {
            continue;
        };
        let fence = section.fence();
        reply.held.push((held.shard.clone(), fence));
        let known = request.known.iter().find(|(s, _)| *s == held.shard);
        if known.is_none_or(|(_, f)| *f != fence) {
            reply.tables.push(table(&held, section));
        }
        let gates = section.gates_mut();
        gates.renewed(now, &request.gate, request.instance, &controller.timing);
    }
    for deputy in controller.deputies.borrow().values() {
        let table = deputy.table.borrow();
        let Some(table) = table.as_ref() else {
            continue;
        };
        if !deputy.may_act(controller, now) || deputy::holds(controller, &deputy.shard, now) {
            continue;
        }
        deputy.acts(now);
        reply.held.push((deputy.shard.clone(), table.fence));
        let known = request.known.iter().find(|(s, _)| *s == deputy.shard);
        if known.is_none_or(|(_, f)| *f < table.fence) {
            reply.tables.push(table.clone());
        }
    }
    reply
}

/// Returns the order of a held shard's table.
pub(crate) fn fence(held: &Held, section: Option<&Section>) -> Fence {
    section.map_or_else(
        || Fence {
            epoch: held.holder.borrow().epoch(),
            version: 0,
        },
        Section::fence,
    )
}

/// Writes a section's routes as the wire has them.
pub(crate) fn table(held: &Held, section: &Section) -> RouteTable {
    let routes = section.routes();
    let servers = routes.servers.iter().map(|s| ServerRoute {
        name: s.name.clone(),
        dc: s.dc.clone(),
        addr: s.addr,
        state: match s.work {
            Work::Up => ServerState::Up,
            Work::Cold => ServerState::Cold,
            Work::Out => ServerState::Out,
            Work::Lost => ServerState::Lost,
        },
        gate: s.gate.clone(),
        slots: s.slots,
    });
    let entries = routes.slices.iter().map(|e| RouteEntry {
        slice: e.slice,
        owner: e.owner,
        state: if e.moving {
            SliceState::Moving
        } else {
            SliceState::Settled
        },
    });
    RouteTable {
        shard: held.shard.clone(),
        fence: section.fence(),
        servers: servers.collect(),
        entries: entries.collect(),
    }
}
