//! Tokens of organisations' limits for the requests that this host schedules.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use chicoryrail_core::Millis;
use chicoryrail_core::Organisation;
use chicoryrail_core::OrganisationName;

use crate::control::scheduling::part_schedulers::answer;
use crate::control::scheduling::part_schedulers::left;
use crate::state::Router;
use crate::state::TokenAnswer;
use crate::talk::SlotQuery;
use crate::talk::SlotReply;

/// A request found no token.
pub(super) struct NoToken;

/// Takes a token for a request that asks for the first time; returns the organisation that it is of.
///
/// # Errors
///
/// Returns that there is none. The request is forgotten, and `from` is told whether to ask again.
pub(super) fn take_token(
    router: &Rc<Router>,
    ask: &SlotQuery,
    from: Option<SocketAddr>,
    given: bool,
) -> Result<Option<OrganisationName>, NoToken> {
    let origins = router.schedulers.origins.borrow();
    if let Some(origin) = origins.get(&ask.ticket) {
        return Ok(origin.token.clone());
    }
    drop(origins);
    if given {
        return Ok(None);
    }
    let Some(organisation) = limited(router, ask) else {
        return Ok(None);
    };
    match router.quota.take(router, &organisation.name, ask.ticket) {
        TokenAnswer::Taken => Ok(Some(organisation.name.clone())),
        TokenAnswer::Wait => {
            left(router, &ask.part, ask.ticket);
            answer(router, from, ask.ticket, SlotReply::Waits);
            Err(NoToken)
        }
        TokenAnswer::Refused(after) => {
            refuse(router, ask, from, &organisation, after);
            Err(NoToken)
        }
    }
}

fn limited(router: &Router, ask: &SlotQuery) -> Option<Arc<Organisation>> {
    let site = router.site()?;
    site.organisation(ask.organisation.as_ref()?).cloned()
}

fn refuse(
    router: &Rc<Router>,
    ask: &SlotQuery,
    from: Option<SocketAddr>,
    organisation: &Organisation,
    after: Millis,
) {
    left(router, &ask.part, ask.ticket);
    let limit = organisation.limit;
    log::info!(request = ask.id, organisation:% = organisation.name,
        rate = limit.map_or(0.0, |l| l.rate), burst = limit.map_or(0.0, |l| l.burst),
        token_in_ms = after.0; "quota_refused");
    router.counters.over_quota(&organisation.name);
    answer(router, from, ask.ticket, SlotReply::OverQuota(after.0));
}
