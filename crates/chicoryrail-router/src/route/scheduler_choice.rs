//! Selects the scheduler that is asked for a request's slot.

use chicoryrail_ownership::SchedulerHost;
use chicoryrail_policy::SendPermit;
use rand::seq::IteratorRandom;

use crate::messages::PartName;
use crate::route::caller_request::CallerRequest;
use crate::route::candidates::permit;
use crate::state::Router;
use crate::state::Service;
use crate::state::Target;

/// Returns the part of a service that is queried first: that of this host's data centre if it has ready servers
/// without notices to this host, else that of a random such server.
pub(super) fn initial_part(router: &Router, service: &Service, call: &CallerRequest) -> PartName {
    let targets = service.targets.borrow();
    let dc = router.boot().dc.clone();
    let now = router.now();
    let is_avoided =
        |t: &Target| service.has_notices() && permit(router, call, t, now) != SendPermit::Granted;
    let is_open = |t: &Target| t.is_ready() && !is_avoided(t);
    let has_local = targets.values().any(|t| t.dc == dc && is_open(t));
    if has_local || !service.partitioned.get() {
        return service.part_of(&dc);
    }
    let ready = targets.values().filter(|t| is_open(t));
    let chosen_dc = ready.choose(&mut rand::rng()).map_or(dc, |t| t.dc.clone());
    service.part_of(&chosen_dc)
}

/// Returns the host that schedules the owner of the request's key, or, without a key, the given part.
pub(super) fn scheduler_for(
    router: &Router,
    service: &Service,
    part: &PartName,
    call: &CallerRequest,
) -> SchedulerHost {
    if part.dc.is_some() || call.key.is_none() {
        return router.part_scheduler(part);
    }
    let keys = service.keys.borrow();
    let owner = call.key.and_then(|key| keys.assigned_owner(key));
    router.server_scheduler(service, owner)
}
