//! Admits requests by an operator's rules.

use chicoryrail_core::Millis;

use crate::route::caller_request::CallerRequest;
use crate::route::refusal::Cause;
use crate::route::refusal::Refusal;
use crate::state::Router;

/// Time after which a refused caller should retry. It counts as another request then, so an early return would only
/// bring another refusal.
const RETRY_AFTER: Millis = Millis(1_000);

/// Returns the refusal of a request that an operator's rule does not admit; `None` if it may run.
pub(super) fn refuse_limited(router: &Router, call: &CallerRequest) -> Option<Refusal> {
    if !router.traffic.has_limits() {
        return None;
    }
    let service = call.service_name();
    let (now, caller) = (router.now(), call.from.ip());
    let rule = router.traffic.refuse(now, service, &call.route, caller)?;
    let labels = [service.as_str(), rule.as_str()];
    let limited = &router.counters.traffic_limited;
    limited.with_label_values(&labels).inc();
    Some(Refusal {
        cause: Cause::Limited,
        retry_after: Some(RETRY_AFTER),
    })
}
