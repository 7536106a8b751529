//! Which server a request goes to.

use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::KeyOwner;
use chicoryrail_policy::ServerId;

use crate::route::call::Call;
use crate::route::refusal::Cause;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;

/// Where a request goes.
#[derive(Debug)]
pub(crate) enum Choice {
    /// To this server.
    Send(Rc<Target>),
    /// Nowhere for the moment; room is expected after a time.
    Wait(Cause, Millis),
}

/// Time after which a key that moves is expected to be granted: a release waits for the work that is
/// running on the key.
const KEY_MOVE_TIME: Millis = Millis(150);

/// Time without the leader after which hosts may no longer hear each other, so that a cold server's
/// scheduler may not be reached for good: longer than an election.
const LEADER_SILENCE_MAX: Millis = Millis(2_500);

/// Part of what a cold server bears that all hosts together may send it without a scheduler; others may reach one,
/// which deals out the other half.
const LONE_COLD_PART: f64 = 0.5;

/// Time after which a service without a server that takes work is looked at again.
const NO_SERVER_RETRY: Millis = Millis(500);

/// Chooses the server of a request; those in `tried` only where there is no other.
pub(crate) fn choose(
    router: &Router,
    service: &Service,
    call: &Call,
    tried: &[Life],
    now: Millis,
) -> Choice {
    match call.key {
        Some(key) => choose_owner(router, service, call, key, now),
        None => choose_free(router, service, call, tried, now),
    }
}

fn choose_owner(router: &Router, service: &Service, call: &Call, key: u16, now: Millis) -> Choice {
    let owner = service.keys.borrow().owner(now, key);
    let life = match owner {
        KeyOwner::Held(life) => life,
        KeyOwner::Moving => return Choice::Wait(Cause::KeyMoving, KEY_MOVE_TIME),
        KeyOwner::Nobody => return Choice::Wait(Cause::NoServer, NO_SERVER_RETRY),
    };
    let target = service.target(&life).filter(|t| t.may_get(now));
    let Some(target) = target else {
        return Choice::Wait(Cause::KeyMoving, KEY_MOVE_TIME);
    };
    let work = router.work(&call.route.name, call.route.aim);
    let loads = service.loads.borrow();
    if loads.has_room(now, target.id) && paced(router, call, &target, now) {
        return Choice::Send(target);
    }
    Choice::Wait(Cause::Full, loads.room_in(now, target.id, work))
}

fn choose_free(
    router: &Router,
    service: &Service,
    call: &Call,
    tried: &[Life],
    now: Millis,
) -> Choice {
    let open = service.open_targets(now);
    if open.is_empty() {
        return Choice::Wait(Cause::NoServer, NO_SERVER_RETRY);
    }
    let work = router.work(&call.route.name, call.route.aim);
    let mut fresh: Vec<_> = open.iter().filter(|t| !tried.contains(&t.life)).collect();
    if fresh.is_empty() {
        fresh = open.iter().collect();
    }
    let mut ids: Vec<ServerId> = fresh.iter().map(|t| t.id).collect();
    let loads = service.loads.borrow();
    while let Some(id) = loads.pick(now, &mut rand::rng(), &ids, work) {
        let at = ids.iter().position(|i| *i == id).unwrap_or(0);
        ids.swap_remove(at);
        let target = fresh.swap_remove(at);
        if paced(router, call, target, now) {
            return Choice::Send(Rc::clone(target));
        }
    }
    let room = open.iter().map(|t| loads.room_in(now, t.id, work)).min();
    Choice::Wait(Cause::Full, room.unwrap_or(NO_SERVER_RETRY))
}

/// Tells whether a server may get one more request by the bounds on cold and on limited ones, and takes it.
fn paced(router: &Router, call: &Call, target: &Target, now: Millis) -> bool {
    // The scheduler deals out all that a limited server takes, which is too little for a part of each host.
    if target.limit.get().rate(now).is_some() {
        return false;
    }
    if !target.is_cold(now) {
        return true;
    }
    // The scheduler deals out half of what a cold server bears. A host that hears the leader, but got no reply
    // in time, leaves cold servers alone; else all such hosts together would come on top of the scheduler's.
    if router.is_unsure_of_hosts(now) || router.peers.borrow().hears_leader(now, LEADER_SILENCE_MAX)
    {
        return false;
    }
    let bound = router.cold_bound(call.service_name()) * LONE_COLD_PART;
    let hosts = router.peers.borrow().sharing();
    target.cold.borrow_mut().take(now, bound, hosts)
}
