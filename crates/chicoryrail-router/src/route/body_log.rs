//! Logs and counts how the bodies of requests were sent.

use std::fmt::Display;

use chicoryrail_runtime::Invariant;
use chicoryrail_runtime::RequestBody;
use chicoryrail_runtime::SendEnd;
use chicoryrail_runtime::SendObserver;
use chicoryrail_runtime::SendReport;

use crate::route::caller_request::CallerRequest;
use crate::state::Router;

/// Returns what records the end of a send of a body to `peer`, a server or another host; `None` if there is no body.
pub(super) fn observe_send(
    router: &Router,
    call: &CallerRequest,
    body: &RequestBody,
    peer: &impl Display,
) -> Option<SendObserver> {
    if body.is_empty() {
        return None;
    }
    let (request, peer) = (call.id.clone(), peer.to_string());
    let is_logged = call.is_forwarded || call.is_sampled(router);
    let sends = router.counters.body_sends.clone();
    let invariants = router.process.invariants.clone();
    let observer: SendObserver = Box::new(move |report: SendReport| {
        sends.with_label_values(&[report.end.name()]).inc();
        let has_all = report.end != SendEnd::Short;
        invariants.check(Invariant::WholeBody, has_all, || {
            format!("request={request} to={peer} {report:?}")
        });
        let is_ordinary = report.end == SendEnd::Whole && report.number == 1 && !report.is_early;
        if is_logged || !is_ordinary {
            log::info!(request = request, to = peer, number = report.number, end = report.end.name(),
                sent = report.sent_bytes, received = report.received_bytes, is_received = report.is_received,
                is_early = report.is_early; "body_sent");
        }
    });
    Some(observer)
}

/// Logs that a body can't be sent to `peer`: an earlier send has taken a part of it that is no longer in memory.
pub(super) fn log_spent(call: &CallerRequest, body: &RequestBody, peer: &impl Display) {
    log::info!(request = call.id, to:% = peer, kept = body.buffered_len(),
        received = body.received_bytes(); "body_spent");
}
