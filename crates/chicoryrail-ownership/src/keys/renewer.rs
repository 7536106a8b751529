//! Renewal of key leases on behalf of the leader.

use std::collections::BTreeMap;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::GrantOutcome;
use crate::keys::KeyTiming;
use crate::keys::renewal::ConfirmedRenewal;
use crate::keys::renewal::FailedRenewal;
use crate::keys::renewal::Renewal;
use crate::keys::renewal::RenewalOrder;
use crate::keys::renewed_server::RenewedServer;

/// Minimum number of servers that do not answer for a host to doubt its own paths.
const FAILED_SERVERS_MIN: usize = 2;

/// Renews the key leases of one service's servers as the leader orders, while the leader's permit lasts.
///
/// The permit counts from the time at which this host asked for it, so it ends before the time that the leader assumes,
/// however long the leader's reply was on its way. To a server that does not confirm a grant nothing more is sent: the
/// leader decides what happens with its keys, and must know when its last lease ends.
#[derive(Debug)]
pub struct Renewer {
    timing: KeyTiming,
    order: Option<OrderHead>,
    valid_until: Millis,
    servers: BTreeMap<Life, RenewedServer>,
    confirmed: Vec<ConfirmedRenewal>,
}

#[derive(Clone, Copy, Debug)]
struct OrderHead {
    term: u64,
    fence: u64,
    lease: Millis,
}

impl Renewer {
    /// Creates a renewer without an order.
    #[must_use]
    pub const fn new(timing: KeyTiming) -> Self {
        Self {
            timing,
            order: None,
            valid_until: Millis::ZERO,
            servers: BTreeMap::new(),
            confirmed: Vec::new(),
        }
    }

    /// Returns the term of the leader whose order is in force; 0 if there is none.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.order.map_or(0, |order| order.term)
    }

    /// Replaces the order by one that this host asked for at `asked_at`. An order of an earlier term is ignored.
    pub fn apply_order(&mut self, asked_at: Millis, order: RenewalOrder) {
        if order.term < self.term() {
            return;
        }
        let same_term = order.term == self.term();
        let mut before = std::mem::take(&mut self.servers);
        for task in order.tasks {
            let known = before.remove(&task.life).filter(|_| same_term);
            let server = RenewedServer::new(task.addr, &task.spans, known);
            self.servers.insert(task.life, server);
        }
        self.order = Some(OrderHead {
            term: order.term,
            fence: order.fence,
            lease: order.lease,
        });
        self.valid_until = asked_at + self.timing.renewal_permit;
    }

    /// Extends the permit of the order in force by a request that this host sent at `asked_at`.
    pub fn extend(&mut self, asked_at: Millis) {
        if self.order.is_some() {
            self.valid_until = self.valid_until.max(asked_at + self.timing.renewal_permit);
        }
    }

    /// Drops the order, for instance because another host leads now.
    pub fn clear(&mut self) {
        *self = Self::new(self.timing);
    }

    /// Returns the time since this host asked for the permit in force.
    #[must_use]
    pub fn permit_age(&self, now: Millis) -> Millis {
        (now + self.timing.renewal_permit).since(self.valid_until)
    }

    /// Returns `true` if grants may be sent now.
    #[must_use]
    pub fn is_permitted(&self, now: Millis) -> bool {
        self.order.is_some() && now < self.valid_until
    }

    /// Returns `true` if a grant that was due may still be sent: the order in force contains it. The permit of an order
    /// without it does not cover it, as the leader counts no lease for it.
    #[must_use]
    pub fn may_send(&self, now: Millis, renewal: &Renewal) -> bool {
        let Some(order) = self.order.filter(|_| self.is_permitted(now)) else {
            return false;
        };
        let server = self.servers.get(&renewal.life);
        let is_ordered = |server: &RenewedServer| {
            let mut spans = server.spans.iter();
            server.addr == renewal.addr && spans.any(|(span, _)| *span == renewal.span)
        };
        server.is_some_and(is_ordered)
            && (order.fence, order.lease) == (renewal.fence, renewal.lease)
    }

    /// Returns the grants that are due, at most one for each server and `max` in all. Each must be reported by
    /// [`Renewer::finished`].
    pub fn take_due(&mut self, now: Millis, max: usize) -> Vec<Renewal> {
        let Some(order) = self.order.filter(|_| self.is_permitted(now)) else {
            return Vec::new();
        };
        let in_flight = self.servers.values().filter(|s| s.pending.is_some());
        let free = max.saturating_sub(in_flight.count());
        let mut due = Vec::new();
        for (life, server) in &mut self.servers {
            if due.len() >= free {
                break;
            }
            let Some(span) = server.due_span(now) else {
                continue;
            };
            server.pending = Some((span, now));
            due.push(Renewal {
                life: life.clone(),
                addr: server.addr,
                span,
                fence: order.fence,
                lease: order.lease,
            });
        }
        due
    }

    /// Records how a grant ended. A server that is no longer in the order is ignored.
    pub fn finished(&mut self, renewal: &Renewal, outcome: GrantOutcome) {
        let Some(server) = self.servers.get_mut(&renewal.life) else {
            return;
        };
        let Some((_, sent_at)) = server.pending.take_if(|(span, _)| *span == renewal.span) else {
            return;
        };
        let (life, span, fence) = (renewal.life.clone(), renewal.span, renewal.fence);
        if outcome != GrantOutcome::Granted {
            let failed = FailedRenewal {
                life,
                fence,
                outcome,
            };
            server.failed = Some(failed);
            return;
        }
        let next_at = sent_at + self.timing.renew_interval;
        let renewed = server.spans.iter_mut().filter(|(s, _)| *s == span);
        renewed.for_each(|(_, at)| *at = next_at);
        self.confirmed.push(ConfirmedRenewal {
            life,
            span,
            fence,
            sent_at,
        });
    }

    /// Records that a grant was not sent after all.
    pub fn not_sent(&mut self, renewal: &Renewal) {
        if let Some(server) = self.servers.get_mut(&renewal.life) {
            server.pending = None;
        }
    }

    /// Returns `true` if a grant was confirmed or failed since the last report.
    #[must_use]
    pub fn has_news(&self) -> bool {
        !self.confirmed.is_empty() || self.servers.values().any(|s| s.failed.is_some())
    }

    /// Removes and returns the grants confirmed since the last call. One that is not reported to the leader is made up
    /// for by the next renewal.
    pub fn take_confirmed(&mut self) -> Vec<ConfirmedRenewal> {
        std::mem::take(&mut self.confirmed)
    }

    /// Returns `true` if more than half of the servers in the order did not answer, at least two: the paths of this host
    /// have then failed rather than the servers.
    #[must_use]
    pub fn fails_most(&self) -> bool {
        let unanswered = |s: &&RenewedServer| {
            let failed = s.failed.as_ref();
            failed.is_some_and(|f| f.outcome == GrantOutcome::NoResponse)
        };
        let failed = self.servers.values().filter(unanswered).count();
        failed >= FAILED_SERVERS_MIN && failed * 2 > self.servers.len()
    }

    /// Returns the servers to which nothing is sent any more.
    #[must_use]
    pub fn failed(&self) -> Vec<FailedRenewal> {
        let failed = self.servers.values().filter_map(|s| s.failed.clone());
        failed.collect()
    }
}
