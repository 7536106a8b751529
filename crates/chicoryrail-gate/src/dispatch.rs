//! Finds the server of a request, holds the request while there is none, and sends it.

use std::rc::Rc;

use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_runtime::Body;
use http::Response;
use monoio::time::timeout;

use crate::call::Call;
use crate::forward;
use crate::gate::Gate;
use crate::refusal::Refusal;
use crate::send;
use crate::shard::Owner;
use crate::shard::Route;
use crate::shard::Shard;
use crate::shard::Table;
use crate::shard::Via;
use crate::source::Source;

/// Longest wait for a change of routes before they are looked at again: another gate may have the
/// change before this one.
const LOOK_EVERY: Millis = Millis(20);

/// Most sends of one request. With the retry budget it bounds what a request that always fails may
/// cost.
const MOST_SENDS: u32 = 3;

/// A server to send to, under the routes of a shard.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub(crate) shard: Rc<Shard>,
    pub(crate) table: Rc<Table>,
    pub(crate) route: Route,
}

impl Choice {
    /// Tells whether the routes still allow the send: they are valid now, and the table in force,
    /// which may be a later one, sends the key to the same server by the same way.
    pub(crate) fn holds(&self, key: Option<KeyHash>, now: Millis) -> bool {
        let Some(table) = self.shard.routes(now) else {
            return false;
        };
        let name = &self.route.server.name;
        table.allows(key, name) && table.route(name).is_some_and(|r| r.via == self.route.via)
    }
}

/// Gets a request its answer.
///
/// # Errors
///
/// Returns the refusal to answer with.
pub(crate) async fn run(
    gate: &Rc<Gate>,
    call: &Call,
    source: &Rc<Source>,
) -> Result<Response<Body>, Refusal> {
    call.entry.budget.borrow_mut().earn();
    let hold_end = call.deadline.min(call.came + gate.settings.limits.hold);
    let mut sends = 0;
    let mut avoid = None;
    loop {
        let choice = find(gate, call, hold_end, avoid.as_ref()).await?;
        let refusal = match attempt(gate, call, source, &choice).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        if !source.is_whole() || !(refusal.not_run() || call.is_idempotent()) {
            return Err(refusal);
        }
        let now = gate.now();
        if refusal.is_rerouted() && refusal.not_run() {
            if now >= hold_end {
                return Err(refusal);
            }
            pause(&choice.shard, hold_end.since(now).min(LOOK_EVERY)).await;
            avoid = Some(choice.route.server.name.clone());
            continue;
        }
        sends += 1;
        let again = is_transient(&refusal)
            && sends < MOST_SENDS
            && now < call.deadline
            && call.entry.budget.borrow_mut().spend();
        if !again {
            return Err(refusal);
        }
        gate.counters.retries.inc();
        avoid = Some(choice.route.server.name.clone());
    }
}

/// Tells whether another send may end better. A refusal for want of time or room would only be
/// repeated.
fn is_transient(refusal: &Refusal) -> bool {
    matches!(
        refusal.code,
        ResultCode::OutcomeUnknown | ResultCode::AnswerCut | ResultCode::Shed
    ) || refusal.code == ResultCode::Internal
}

async fn attempt(
    gate: &Rc<Gate>,
    call: &Call,
    source: &Rc<Source>,
    choice: &Choice,
) -> Result<Response<Body>, Refusal> {
    match &choice.route.via {
        Via::Own => send::to_server(gate, call, source, choice).await,
        Via::Gate(host) => {
            let peer = gate.gates.borrow().get(host).cloned();
            match peer {
                Some(peer) => forward::to_gate(gate, call, source, choice, &peer).await,
                None => Err(ResultCode::NoServer.into()),
            }
        }
        Via::Nobody => Err(ResultCode::NoServer.into()),
    }
}

/// Finds a server, waiting until `end` for routes.
///
/// Made for moves: callers wait some hundred milliseconds for the new owner instead of being
/// refused. The bound keeps a lost shard from filling the gate with waiting requests.
async fn find(
    gate: &Rc<Gate>,
    call: &Call,
    end: Millis,
    avoid: Option<&chicoryrail_core::ServerName>,
) -> Result<Choice, Refusal> {
    let mut held = None;
    loop {
        let now = gate.now();
        let signal = Rc::clone(&call.entry.shards[0].signal);
        let seen = signal.count();
        let code = match look(gate, call, now, avoid) {
            Ok(choice) => return Ok(choice),
            Err(code) => code,
        };
        if now >= end {
            let code = if now >= call.deadline {
                ResultCode::DeadlinePassed
            } else {
                code
            };
            return Err(code.into());
        }
        held.get_or_insert_with(|| Held::new(gate));
        let _ = timeout(end.since(now).duration(), signal.after(seen)).await;
    }
}

fn look(
    gate: &Gate,
    call: &Call,
    now: Millis,
    avoid: Option<&chicoryrail_core::ServerName>,
) -> Result<Choice, ResultCode> {
    match call.key {
        Some(key) => look_owner(call, key, now),
        None => look_free(gate, call, now, avoid),
    }
}

fn look_owner(call: &Call, key: KeyHash, now: Millis) -> Result<Choice, ResultCode> {
    let part = key.part(call.entry.service.parts) as usize;
    let shard = &call.entry.shards[part];
    let table = shard.routes(now).ok_or(ResultCode::NoServer)?;
    match table.owner(key) {
        Owner::Is(route) => Ok(Choice {
            shard: Rc::clone(shard),
            table,
            route,
        }),
        Owner::Moving => Err(ResultCode::OwnerMoving),
    }
}

/// Chooses the server with the fewest requests that this gate knows of.
fn look_free(
    gate: &Gate,
    call: &Call,
    now: Millis,
    avoid: Option<&chicoryrail_core::ServerName>,
) -> Result<Choice, ResultCode> {
    let shards = &call.entry.shards;
    let first = gate.serial() as usize % shards.len();
    for i in 0..shards.len() {
        let shard = &shards[(first + i) % shards.len()];
        let Some(table) = shard.routes(now) else {
            continue;
        };
        let n = table.routes.len();
        let start = gate.serial() as usize;
        let best = (0..n)
            .map(|i| &table.routes[(start + i) % n])
            .filter(|r| r.takes_work())
            .min_by_key(|r| {
                let avoided = avoid == Some(&r.server.name);
                (avoided, r.server.load(now), r.server.under_way.get())
            });
        if let Some(route) = best.cloned() {
            return Ok(Choice {
                shard: Rc::clone(shard),
                table,
                route,
            });
        }
    }
    Err(ResultCode::NoServer)
}

async fn pause(shard: &Shard, length: Millis) {
    let seen = shard.signal.count();
    let _ = timeout(length.duration(), shard.signal.after(seen)).await;
}

/// Counts a held request until it is dropped.
struct Held(Rc<Gate>);

impl Held {
    fn new(gate: &Rc<Gate>) -> Self {
        gate.counters.holds.inc();
        gate.counters.held.inc();
        Self(Rc::clone(gate))
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.counters.held.dec();
    }
}
