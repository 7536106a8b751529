//! Invariants asserted next to the safeguards that carry them.
//!
//! Each is derived anew from the state rather than from the safeguard's own result, so that a
//! mistake in the safeguard is seen.

use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_runtime::Invariant;
use chicoryrail_wire::RouteEntry;
use chicoryrail_wire::ServerState;
use chicoryrail_wire::SliceState;

use crate::call::Call;
use crate::gate::Gate;
use crate::refusal::Refusal;
use crate::shard::Shard;
use crate::shard::Table;
use crate::shard::Via;

/// Asserts at the last moment before a write that the server is the one that may get the request.
pub(crate) fn before_write(
    gate: &Gate,
    call: &Call,
    shard: &Shard,
    table: &Table,
    server: &ServerName,
    now: Millis,
) {
    let all = &gate.process.invariants;
    let route = table.route(server);
    let own = route.is_some_and(|r| r.via == Via::Own) && shard.is_valid(now);
    let owner = call.key.is_none_or(|key| {
        let entries = table.entries.iter().filter(|e| e.slice.contains(key));
        let settled = |e: &RouteEntry| e.state == SliceState::Settled;
        let names = entries.map(|e| {
            let owner = table.routes.get(e.owner as usize);
            owner.filter(|_| settled(e)).map(|r| &r.server.name)
        });
        names.eq([Some(server)])
    });
    all.check(Invariant::OneOwner, own && owner, || {
        format!("server={server} shard={} fence={}", shard.id, table.fence)
    });
    let state = route.map(|r| r.state);
    let subject = || format!("server={server} state={state:?}");
    all.check(Invariant::OutIdle, state != Some(ServerState::Out), subject);
    let stays = matches!(state, Some(s) if s != ServerState::Lost);
    all.check(Invariant::LeavingIdle, stays, subject);
    before_send(gate, call);
}

/// Asserts before a send, also one through another gate, that an order may be sent.
pub(crate) fn before_send(gate: &Gate, call: &Call) {
    let trace = &call.trace;
    let once = call.is_idempotent() || (trace.is_claimed() && !trace.may_have_run());
    gate.process
        .invariants
        .check(Invariant::OrderOnce, once, || {
            let order = call.order.as_deref().unwrap_or("");
            format!("order={order} claimed={}", trace.is_claimed())
        });
}

/// Asserts that a refusal which says "not run" is true.
pub(crate) fn before_refusal(gate: &Gate, call: &Call, refusal: &Refusal) {
    let holds = !(refusal.not_run() && call.trace.may_have_run());
    gate.process
        .invariants
        .check(Invariant::NotRunTrue, holds, || {
            format!("request={:?} code={}", call.id, refusal.code.number())
        });
}
