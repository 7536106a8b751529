//! Finds the way of a request, and holds the request while there is none.

use std::rc::Rc;

use chicoryrail_core::HostName;
use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::ResultCode;
use chicoryrail_core::ServerName;
use chicoryrail_policy::PeerId;
use monoio::time::timeout;

use crate::Placement;
use crate::call::Call;
use crate::free::Free;
use crate::free::Place;
use crate::gate::Gate;
use crate::refusal::Refusal;
use crate::shard::Owner;
use crate::shard::Route;
use crate::shard::Shard;
use crate::shard::Via;

/// The way of a request.
#[derive(Clone, Debug)]
pub(crate) enum Way {
    /// To a server whose slots this gate holds.
    Own(Choice),
    /// To a server whose slots another gate holds.
    Gate(Choice, HostName),
    /// To any server of a free service.
    Free(Rc<Free>, Place),
}

/// A server under the routes of a shard.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub(crate) shard: Rc<Shard>,
    pub(crate) route: Route,
}

impl Choice {
    fn way(self) -> Result<Way, ResultCode> {
        match self.route.via.clone() {
            Via::Own => Ok(Way::Own(self)),
            Via::Gate(host) => Ok(Way::Gate(self, host)),
            Via::Nobody => Err(ResultCode::NoServer),
        }
    }
}

/// Finds a way, waiting until `end` for routes.
///
/// Made for moves: callers wait some hundred milliseconds for the new owner instead of being
/// refused. The bound keeps a lost shard from filling the gate with waiting requests.
///
/// # Errors
///
/// Returns the refusal where there was no way in time.
pub(crate) async fn find(
    gate: &Rc<Gate>,
    call: &Call,
    end: Millis,
    avoid: &[PeerId],
) -> Result<Way, Refusal> {
    let mut held = None;
    loop {
        let now = gate.now();
        let signal = Rc::clone(&call.entry.shards[0].signal);
        let seen = signal.count();
        let code = match look(gate, call, now, avoid) {
            Ok(way) => return Ok(way),
            Err(code) => code,
        };
        if now >= end {
            let late = now >= call.deadline;
            let code = if late {
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

fn look(gate: &Gate, call: &Call, now: Millis, avoid: &[PeerId]) -> Result<Way, ResultCode> {
    if let Some(key) = call.key {
        return owner(call, key, now)?.way();
    }
    let Some(free) = &call.entry.free else {
        return one_server(gate, call, now)?.way();
    };
    let place = free.pick(now, avoid).or_else(|| free.pick(now, &[]));
    let place = place.ok_or(ResultCode::NoServer)?;
    Ok(Way::Free(Rc::clone(free), place))
}

/// Finds the owner of a key.
pub(crate) fn owner(call: &Call, key: KeyHash, now: Millis) -> Result<Choice, ResultCode> {
    let part = key.part(call.entry.service.parts) as usize;
    let shard = &call.entry.shards[part];
    let table = shard.routes(now).ok_or(ResultCode::NoServer)?;
    match table.owner(key) {
        Owner::Is(route) => Ok(Choice {
            shard: Rc::clone(shard),
            route,
        }),
        Owner::Moving => Err(ResultCode::OwnerMoving),
    }
}

/// Finds a server by its name.
pub(crate) fn named(call: &Call, name: &ServerName, now: Millis) -> Result<Choice, ResultCode> {
    for shard in &call.entry.shards {
        let table = shard.routes(now);
        let route = table.as_ref().and_then(|t| t.route(name));
        if let Some(route) = route.filter(|r| r.takes_work()).cloned() {
            return Ok(Choice {
                shard: Rc::clone(shard),
                route,
            });
        }
    }
    Err(ResultCode::OwnerMoving)
}

/// Chooses a single server of a free service, by one of the baselines.
fn one_server(gate: &Gate, call: &Call, now: Millis) -> Result<Choice, ResultCode> {
    let mut all = Vec::new();
    for shard in &call.entry.shards {
        if let Some(table) = shard.routes(now) {
            let open = table.routes.iter().filter(|r| r.takes_work());
            all.extend(open.cloned().map(|route| Choice {
                shard: Rc::clone(shard),
                route,
            }));
        }
    }
    if all.is_empty() {
        return Err(ResultCode::NoServer);
    }
    let start = call.entry.next_turn() % all.len();
    all.rotate_left(start);
    let best = match gate.settings.placement {
        Placement::LeastRequests => all
            .into_iter()
            .min_by_key(|c| c.route.server.under_way.get()),
        Placement::RoundRobin | Placement::Policy => all.into_iter().next(),
    };
    best.ok_or(ResultCode::NoServer)
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
