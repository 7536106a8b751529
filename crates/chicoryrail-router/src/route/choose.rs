//! Selects a request's server without the scheduler, by this host's own view of the load.

use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::KeyOwner;
use chicoryrail_policy::SendPermit;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::Withheld;

use crate::route::caller_request::CallerRequest;
use crate::route::candidates::permit;
use crate::route::candidates::unkeyed_candidates;
use crate::route::refusal::Cause;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;

/// Result of the choice of a server.
#[derive(Debug)]
pub(crate) enum Choice {
    /// Send to this server.
    Send(Rc<Target>),
    /// No server is available, for this cause; capacity is expected after this time.
    Wait(Cause, Millis),
    /// No server may receive the request from this host, and waiting does not change that.
    Refuse(Withheld),
    /// The servers that may run the request get only what a scheduler assigns.
    Unscheduled,
}

/// Time after which a key that moves is expected to be granted to its new owner: the former owner releases it
/// only when the requests that are running on it have ended.
const KEY_MOVE_RETRY: Millis = Millis(150);

/// Time after which a request may be retried when no server of the service accepts work.
pub(super) const NO_SERVER_RETRY: Millis = Millis(500);

/// Chooses the server of a request. Servers in `tried` are chosen only if there is no other; a key's owner is always
/// the only choice.
pub(crate) fn choose(
    router: &Router,
    service: &Service,
    call: &CallerRequest,
    tried: &[Life],
    now: Millis,
) -> Choice {
    match call.key {
        Some(key) => choose_owner(router, service, call, key, now),
        None => choose_unkeyed(router, service, call, tried, now),
    }
}

fn choose_owner(
    router: &Router,
    service: &Service,
    call: &CallerRequest,
    key: u16,
    now: Millis,
) -> Choice {
    let owner = service.keys.borrow().owner(now, key);
    let life = match owner {
        KeyOwner::Granted(life) => life,
        KeyOwner::Moving => return Choice::Wait(Cause::KeyMoving, KEY_MOVE_RETRY),
        KeyOwner::Unassigned => return Choice::Wait(Cause::NoServer, NO_SERVER_RETRY),
    };
    let target = service.target(&life).filter(|t| t.accepts_requests(now));
    let Some(target) = target else {
        return Choice::Wait(Cause::KeyMoving, KEY_MOVE_RETRY);
    };
    if let SendPermit::Withheld(why) = permit(router, call, &target, now) {
        return Choice::Refuse(why);
    }
    if !is_unlimited(&target, now) {
        return Choice::Unscheduled;
    }
    let work = router
        .route_stats
        .expected_work_us(&call.route.name, call.route.latency_target);
    let loads = service.loads.borrow();
    if loads.has_capacity(now, target.id) && has_share(router, service, call, target.id, now) {
        return Choice::Send(target);
    }
    Choice::Wait(Cause::Full, loads.capacity_in(now, target.id, work))
}

fn choose_unkeyed(
    router: &Router,
    service: &Service,
    call: &CallerRequest,
    tried: &[Life],
    now: Millis,
) -> Choice {
    let mut accepting = match unkeyed_candidates(router, service, call, now) {
        Ok(candidates) => candidates.targets,
        Err(why) => return Choice::Refuse(why),
    };
    if accepting.is_empty() {
        return Choice::Wait(Cause::NoServer, NO_SERVER_RETRY);
    }
    accepting.retain(|target| is_unlimited(target, now));
    if accepting.is_empty() {
        return Choice::Unscheduled;
    }
    let work = router
        .route_stats
        .expected_work_us(&call.route.name, call.route.latency_target);
    let mut untried: Vec<_> = accepting
        .iter()
        .filter(|t| !tried.contains(&t.life))
        .collect();
    if untried.is_empty() {
        untried = accepting.iter().collect();
    }
    let mut ids: Vec<ServerId> = untried.iter().map(|t| t.id).collect();
    let loads = service.loads.borrow();
    while let Some(id) = loads.pick(now, &mut rand::rng(), &ids, work) {
        let index = ids.iter().position(|i| *i == id).unwrap_or(0);
        ids.swap_remove(index);
        let target = untried.swap_remove(index);
        if has_share(router, service, call, id, now) {
            return Choice::Send(Rc::clone(target));
        }
    }
    let capacity_in = accepting
        .iter()
        .map(|t| loads.capacity_in(now, t.id, work))
        .min();
    Choice::Wait(Cause::Full, capacity_in.unwrap_or(NO_SERVER_RETRY))
}

/// Returns `true` if a request of a route that tolerates waiting is within this host's share of a server's slots. Requests
/// of other routes may queue at the server.
fn has_share(
    router: &Router,
    service: &Service,
    call: &CallerRequest,
    server: ServerId,
    now: Millis,
) -> bool {
    if !call.route.tolerates_waiting() {
        return true;
    }
    let hosts = router.standalone_hosts();
    service.loads.borrow().has_share(now, server, hosts)
}

/// Returns `true` if a server may get requests that no scheduler counts: one that is warm and advertises no rate limit.
///
/// Neither limit can be divided among hosts that don't know of each other's requests. They are more than the requests
/// per second that a server allows, and may all begin at the same moment.
fn is_unlimited(target: &Target, now: Millis) -> bool {
    !target.is_warming_up(now) && target.limit.get().rate(now).is_none()
}
