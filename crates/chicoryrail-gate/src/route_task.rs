//! Keeps the routes that one controller gives valid.

use std::rc::Rc;

use chicoryrail_core::Fence;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ShardId;
use chicoryrail_wire::Peer;
use chicoryrail_wire::Reply;
use chicoryrail_wire::Request;
use chicoryrail_wire::RouteReply;
use chicoryrail_wire::RouteRequest;
use chicoryrail_wire::ServerSeen;

use crate::config_task;
use crate::gate::Gate;
use crate::shard::Via;

/// Time that the controller may hold a call. Four calls fit into the validity of 700 ms.
const WAIT: Millis = Millis(150);

/// Longest time for a call; a lost one leaves time for another before routes run out.
const CALL_LIMIT: Millis = Millis(400);

/// Rest after a failed call.
const PAUSE: Millis = Millis(20);

/// Time between two looks whether a table may be acknowledged; it adds to the length of a move.
const ACK_EVERY: Millis = Millis(3);

/// Longest time that an unacknowledged table holds back the next renewal.
const ACK_WAIT: Millis = Millis(100);

/// Renews routes until the controller leaves the list.
pub(crate) async fn follow(gate: Rc<Gate>, host: HostName, peer: Peer) {
    let mut mine: Vec<ShardId> = Vec::new();
    while is_listed(&gate, &host, &peer) {
        let request = Request::Routes(ask(&gate, &mine));
        let asked = gate.now();
        gate.counters.routes.inc();
        match peer.call(&request, CALL_LIMIT).await {
            Ok(Reply::Routes(reply)) => {
                let whole = take(&gate, &host, asked, &reply);
                mine = reply.held.into_iter().map(|(shard, _)| shard).collect();
                if reply.version > gate.version() {
                    config_task::ask(&gate, &peer, Millis::ZERO).await;
                }
                await_landing(&gate, &mine).await;
                // A controller that answers at once without news must not keep this task busy.
                let rest = if whole { ACK_EVERY } else { PAUSE };
                if gate.now().since(asked) < rest {
                    gate.process.clock.sleep(rest).await;
                }
            }
            _ => gate.process.clock.sleep(PAUSE).await,
        }
    }
}

fn is_listed(gate: &Gate, host: &HostName, peer: &Peer) -> bool {
    let controllers = gate.controllers.borrow();
    controllers
        .get(host)
        .is_some_and(|p| p.addr() == peer.addr())
}

fn ask(gate: &Gate, mine: &[ShardId]) -> RouteRequest {
    let mut known = Vec::new();
    let mut seen = Vec::new();
    for id in mine {
        let shard = gate.shard(id);
        if let Some(fence) = shard.known() {
            known.push((id.clone(), fence));
        }
        seen.extend(observed(&shard));
    }
    RouteRequest {
        gate: gate.settings.host.host.clone(),
        instance: gate.process.instance,
        leaving: gate.leaving.get(),
        known,
        seen,
        wait: if gate.leaving.get() {
            Millis::ZERO
        } else {
            WAIT
        },
    }
}

fn observed(shard: &crate::shard::Shard) -> Vec<ServerSeen> {
    let table = shard.table.borrow();
    let routes = table.iter().flat_map(|t| &t.routes);
    routes
        .filter(|r| r.via == Via::Own)
        .map(|r| r.server.report())
        .collect()
}

/// Brings a reply into force. Validity counts from before the call was sent, on this process's
/// clock, and is cut by the drift margin, so it ends before the controller's own count does. Returns
/// `false` where a table needs a configuration that is not in force yet.
fn take(gate: &Gate, host: &HostName, asked: Millis, reply: &RouteReply) -> bool {
    let mut whole = true;
    for table in &reply.tables {
        whole &= gate.apply_table(table);
    }
    let until = asked + reply.valid.since(margin(reply.valid));
    for (id, fence) in &reply.held {
        let shard = gate.shard(id);
        let in_force = shard.table.borrow().as_ref().map(|t| t.fence);
        // A shard of orders has no table.
        let current = in_force.is_none_or(|f| f == *fence);
        if current && fence.epoch >= shard.held.get().epoch {
            let was = shard.is_valid(gate.now());
            shard.renew(host, *fence, until);
            if !was {
                // A first table came before its validity: until now no lane and no other gate
                // counted as a way, and a request would wait out its deadline.
                gate.check_routes(gate.now());
                shard.signal.notify();
            }
        }
    }
    // The tables above were applied before their validity was known; without this a gate that holds
    // no server of a free service knew no way to it for as long as its table stayed the same.
    gate.check_routes(gate.now());
    whole
}

/// Drift of two machines' clocks over `length`: 2 % and 10 ms.
fn margin(length: Millis) -> Millis {
    Millis(length.0 / 50 + 10)
}

/// Waits while a table can't be acknowledged because of requests in flight.
async fn await_landing(gate: &Gate, mine: &[ShardId]) {
    let end = gate.now() + ACK_WAIT;
    while gate.now() < end && mine.iter().any(|id| is_blocked(gate, id)) {
        gate.process.clock.sleep(ACK_EVERY).await;
    }
}

fn is_blocked(gate: &Gate, id: &ShardId) -> bool {
    let shard = gate.shard(id);
    let fence: Option<Fence> = shard.table.borrow().as_ref().map(|t| t.fence);
    fence.is_some() && shard.settled() != fence
}
