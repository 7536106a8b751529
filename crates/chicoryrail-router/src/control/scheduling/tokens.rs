//! Quota tokens of organisations for the requests that this host schedules.

use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_core::OrganisationName;

use crate::control::scheduling::part_schedulers::remove_request;
use crate::control::scheduling::part_schedulers::reply_to;
use crate::messages::SlotQuery;
use crate::messages::SlotReply;
use crate::state::Router;
use crate::state::TokenOutcome;

/// No token was available for a request.
pub(super) struct NoToken;

/// Takes a token for a new request; returns the organisation whose token the request has, if any.
///
/// A request that is already queued here has its token, and one that is already `assigned` to a server has taken its
/// token before.
///
/// # Errors
///
/// Returns [`NoToken`] if there is none. The request is then removed, and the reply to `from` is either `Waits`, upon
/// which the host repeats the query, or a refusal with the time until a token may be available.
pub(super) fn take_token(
    router: &Rc<Router>,
    query: &SlotQuery,
    from: Option<SocketAddr>,
    assigned: bool,
) -> Result<Option<OrganisationName>, NoToken> {
    if let Some(origin) = router.schedulers.origins.borrow().get(&query.ticket) {
        return Ok(origin.token.clone());
    }
    if assigned {
        return Ok(None);
    }
    let Some(name) = &query.organisation else {
        return Ok(None);
    };
    let reply = match router.quota.take(router, name, query.ticket) {
        TokenOutcome::Taken => return Ok(Some(name.clone())),
        TokenOutcome::Wait => SlotReply::Waits,
        TokenOutcome::Refused(after) => {
            record_refusal(router, query, name, after);
            SlotReply::OverQuota(after.0)
        }
    };
    remove_request(router, &query.part, query.ticket);
    reply_to(router, from, query.ticket, reply);
    Err(NoToken)
}

fn record_refusal(router: &Router, query: &SlotQuery, name: &OrganisationName, after: Millis) {
    let limit = router.quota.limit(name);
    log::info!(request = query.id, organisation:% = name,
        rate = limit.map_or(0.0, |l| l.rate), burst = limit.map_or(0.0, |l| l.burst),
        token_in_ms = after.0; "quota_refused");
    router.counters.over_quota(name);
}
