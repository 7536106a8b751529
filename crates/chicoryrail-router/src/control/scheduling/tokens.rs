//! Tokens of organisations' limits for the requests that this host schedules.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
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
    if let Some(origin) = router.schedulers.origins.borrow().get(&ask.ticket) {
        return Ok(origin.token.clone());
    }
    if given {
        return Ok(None);
    }
    let Some(name) = &ask.organisation else {
        return Ok(None);
    };
    let refused = match router.quota.take(router, name, ask.ticket) {
        TokenAnswer::Taken => return Ok(Some(name.clone())),
        TokenAnswer::Wait => SlotReply::Waits,
        TokenAnswer::Refused(after) => {
            note_refusal(router, ask, name, after);
            SlotReply::OverQuota(after.0)
        }
    };
    left(router, &ask.part, ask.ticket);
    answer(router, from, ask.ticket, refused);
    Err(NoToken)
}

fn note_refusal(router: &Router, ask: &SlotQuery, name: &OrganisationName, after: Millis) {
    let limit = router.quota.limit(name);
    log::info!(request = ask.id, organisation:% = name,
        rate = limit.map_or(0.0, |l| l.rate), burst = limit.map_or(0.0, |l| l.burst),
        token_in_ms = after.0; "quota_refused");
    router.counters.over_quota(name);
}
