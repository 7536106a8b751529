//! State of a server at a host that renews its leases.

use std::net::SocketAddr;

use chicoryrail_core::Millis;

use crate::keys::KeyRange;
use crate::keys::renewal::FailedRenewal;

/// Server whose leases this host renews.
#[derive(Debug)]
pub(crate) struct RenewedServer {
    pub(crate) addr: SocketAddr,
    /// Ranges with the time of the next grant.
    pub(crate) spans: Vec<(KeyRange, Millis)>,
    /// Range and time of the grant in flight; there is at most one.
    pub(crate) pending: Option<(KeyRange, Millis)>,
    pub(crate) failed: Option<FailedRenewal>,
}

impl RenewedServer {
    /// Builds the state of a server. Ranges that it had before in the same term keep their schedule.
    pub(crate) fn new(addr: SocketAddr, spans: &[KeyRange], known: Option<Self>) -> Self {
        let next_at = |span: &KeyRange| {
            let known = known.as_ref().filter(|k| k.failed.is_none())?;
            known
                .spans
                .iter()
                .find(|(s, _)| s == span)
                .map(|(_, at)| *at)
        };
        let spans = spans
            .iter()
            .map(|span| (*span, next_at(span).unwrap_or_default()));
        let spans = spans.collect();
        Self {
            addr,
            spans,
            pending: known.and_then(|k| k.pending),
            failed: None,
        }
    }

    /// Returns a range whose grant is due.
    pub(crate) fn due_span(&self, now: Millis) -> Option<KeyRange> {
        if self.pending.is_some() || self.failed.is_some() {
            return None;
        }
        let due = self.spans.iter().find(|(_, next_at)| now >= *next_at);
        due.map(|(span, _)| *span)
    }
}
