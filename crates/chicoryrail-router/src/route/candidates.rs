//! Servers that may receive a request from this host, by their entries in the store and by their own notices.
//!
//! A server's notice binds each host that has heard it, whichever host schedules.

use std::rc::Rc;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::KeyOwner;
use chicoryrail_policy::SendPermit;
use chicoryrail_policy::Withheld;

use crate::route::caller_request::CallerRequest;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;

/// Servers of a service without keys that may receive a request.
pub(super) struct Candidates {
    /// The servers; empty if no server of the service accepts requests.
    pub(super) targets: Vec<Rc<Target>>,
    /// Servers that this host must not send to: the scheduler may not have heard their notices.
    pub(super) excluded: Vec<Life>,
}

/// Returns whether this host may send a request to a server now, by the server's notices.
pub(super) fn permit(
    router: &Router,
    call: &CallerRequest,
    target: &Target,
    now: Millis,
) -> SendPermit {
    let drain_time = router.boot().bounds.drain;
    target.notices.get().permit(now, call.arrived, drain_time)
}

/// Returns the servers of a service without keys that may receive a request: the ready ones without notices or, if
/// there are none, those that drain and still accept requests.
///
/// # Errors
///
/// Returns why no server may receive the request although some accept requests of other hosts.
pub(super) fn unkeyed_candidates(
    router: &Router,
    service: &Service,
    call: &CallerRequest,
    now: Millis,
) -> Result<Candidates, Withheld> {
    let targets = service.targets.borrow();
    let accepting = targets.values().filter(|t| t.accepts_requests(now));
    let mut open = Vec::new();
    let mut last_resort = Vec::new();
    let mut excluded = Vec::new();
    let mut withheld = None;
    for target in accepting {
        match permit(router, call, target, now) {
            SendPermit::Granted if target.is_ready() => open.push(Rc::clone(target)),
            SendPermit::Granted => last_resort.push(Rc::clone(target)),
            SendPermit::LastResort => {
                excluded.push(target.life.clone());
                last_resort.push(Rc::clone(target));
            }
            SendPermit::Withheld(why) => {
                excluded.push(target.life.clone());
                withheld = Some(withheld.map_or(why, |other| sooner(other, why)));
            }
        }
    }
    match withheld {
        Some(why) if open.is_empty() && last_resort.is_empty() => Err(why),
        _ if open.is_empty() => {
            excluded.retain(|life| last_resort.iter().all(|t| t.life != *life));
            Ok(Candidates {
                targets: last_resort,
                excluded,
            })
        }
        _ => Ok(Candidates {
            targets: open,
            excluded,
        }),
    }
}

/// Returns the reason that is likely to end first: a backoff time ends, a drain does not.
fn sooner(a: Withheld, b: Withheld) -> Withheld {
    match (a, b) {
        (Withheld::Backoff(x), Withheld::Backoff(y)) => Withheld::Backoff(x.min(y)),
        (Withheld::Backoff(_), Withheld::Draining) => a,
        (Withheld::Draining, _) => b,
    }
}

/// Returns why no server may receive the request from this host; `None` if one may, or if it is not known which.
pub(super) fn withheld(
    router: &Router,
    service: &Service,
    call: &CallerRequest,
    now: Millis,
) -> Option<Withheld> {
    if call.key.is_some() {
        return withheld_by_owner(router, service, call, now);
    }
    unkeyed_candidates(router, service, call, now).err()
}

/// Returns why the owner of the request's key must not receive it; `None` if it may, or if no server holds the key.
pub(super) fn withheld_by_owner(
    router: &Router,
    service: &Service,
    call: &CallerRequest,
    now: Millis,
) -> Option<Withheld> {
    let owner = service.keys.borrow().owner(now, call.key?);
    let KeyOwner::Granted(life) = owner else {
        return None;
    };
    match permit(router, call, &*service.target(&life)?, now) {
        SendPermit::Withheld(why) => Some(why),
        SendPermit::Granted | SendPermit::LastResort => None,
    }
}
