//! State of a server at the leader: its address, leases and calls in flight.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use chicoryrail_core::Millis;

use crate::keys::KeyRange;
use crate::keys::lease::ConfirmedLease;
use crate::keys::range_set::RangeSet;

/// Placeholder address of a server that is known only from the record.
pub(crate) const UNKNOWN_ADDR: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// State that the leader tracks for one server incarnation.
#[derive(Clone, Debug, Hash)]
pub(crate) struct ServerState {
    /// Address of the server; port 0 while the server is known only from the record.
    pub(crate) addr: SocketAddr,
    /// End of the longest lease that the server may hold, whichever leader granted it.
    pub(crate) lease_until: Millis,
    /// End of the longest lease that an earlier leader may have granted to the server, once it has stopped.
    pub(crate) stale_until: Millis,
    /// Whether an earlier leader may renew a lease of the server as long as it acts: the server has not accepted all its
    /// keys under this leader's fencing token.
    pub(crate) stale: bool,
    /// Duration of the last grant sent. It may differ from that of grants sent now, since an outage of the store
    /// may begin or end while the grant is in flight.
    pub(crate) lease_duration: Millis,
    /// End of the longest lease granted with the duration for an outage. A later, shorter grant does not
    /// necessarily end it earlier: the longer grant may take effect after it, or the server keeps the later
    /// of the two ends.
    pub(crate) outage_lease_until: Millis,
    /// End of the longest lease that a grant by another host under a permit may cause.
    pub(crate) delegate_lease_until: Millis,
    /// End of the longest lease that the server may hold at an earlier address.
    pub(crate) moved_lease_until: Millis,
    /// Whether another host renews the server's leases.
    pub(crate) delegated: bool,
    /// Time at which the assigned keys last changed.
    pub(crate) assigned_at: Millis,
    /// Earliest time of the next call after one without a response.
    pub(crate) retry_at: Millis,
    /// Time at which the server's registration was last seen.
    pub(crate) last_seen: Millis,
    /// Keys of the grant in flight; there is at most one.
    pub(crate) pending_grant: Option<KeyRange>,
    /// Keys of the releases in flight. A grant and a release of the same key are never in flight together:
    /// they use different connections, so one may overtake the other.
    pub(crate) pending_releases: Vec<KeyRange>,
    /// Keys that are assigned to the server.
    pub(crate) assigned: Vec<KeyRange>,
    /// Keys whose grant the server has confirmed.
    pub(crate) confirmed: Vec<ConfirmedLease>,
    /// Time of the first unanswered grant since the server's last response, if any.
    pub(crate) unanswered_since: Option<Millis>,
    /// Whether a later incarnation is registered. Calls name the server and not its incarnation, so the later one may
    /// have accepted grants that were meant for this one.
    pub(crate) superseded: bool,
    /// Whether the incarnation is known to have ended, and no later one received its calls.
    pub(crate) ended: bool,
}

impl ServerState {
    /// Builds the state of a server without keys, leases or calls.
    pub(crate) const fn new(addr: SocketAddr, now: Millis) -> Self {
        Self {
            addr,
            lease_until: Millis::ZERO,
            stale_until: Millis::ZERO,
            stale: false,
            lease_duration: Millis::ZERO,
            outage_lease_until: Millis::ZERO,
            delegate_lease_until: Millis::ZERO,
            moved_lease_until: Millis::ZERO,
            delegated: false,
            assigned_at: now,
            retry_at: now,
            last_seen: now,
            pending_grant: None,
            pending_releases: Vec::new(),
            assigned: Vec::new(),
            confirmed: Vec::new(),
            unanswered_since: None,
            superseded: false,
            ended: false,
        }
    }

    /// Records the address in the server's registration, which was seen at `now`.
    pub(crate) fn register(&mut self, now: Millis, addr: SocketAddr) {
        if self.addr.port() != 0 && self.addr != addr {
            let lease_until = self.lease_until.max(self.stale_until);
            self.moved_lease_until = self.moved_lease_until.max(lease_until);
        }
        self.addr = addr;
        self.last_seen = now;
    }

    /// Returns `true` if releases may be sent: the incarnation has not ended and its address is known.
    pub(crate) fn is_callable(&self) -> bool {
        !self.ended && self.addr.port() != 0
    }

    /// Returns `true` if grants may be sent: the incarnation is callable and the latest one.
    pub(crate) fn is_grantable(&self) -> bool {
        self.is_callable() && !self.superseded
    }

    /// Returns the keys that are assigned to the server but not confirmed yet.
    pub(crate) fn unconfirmed(&self) -> RangeSet {
        let confirmed = self.confirmed.iter().map(|l| l.span);
        RangeSet::new(self.assigned.clone()).without(confirmed)
    }

    /// Replaces the assigned keys at `now`, and drops confirmed keys that are no longer assigned.
    pub(crate) fn assign(&mut self, now: Millis, ranges: Vec<KeyRange>) {
        if self.assigned != ranges {
            self.assigned_at = now;
        }
        let kept = self.confirmed.iter().flat_map(|confirmed| {
            let overlaps = ranges.iter().filter_map(|r| r.intersect(confirmed.span));
            overlaps.map(|span| ConfirmedLease { span, ..*confirmed })
        });
        self.confirmed = kept.collect();
        self.assigned = ranges;
    }

    /// Records that the server confirmed a lease. Only those of its keys that are still assigned to the server count.
    pub(crate) fn confirm(&mut self, lease: ConfirmedLease) {
        let replaced = |l: &ConfirmedLease| l.span.without(lease.span).is_empty();
        self.confirmed.retain(|l| !replaced(l));
        let assigned = self.assigned.iter();
        let assigned = assigned.filter_map(|r| r.intersect(lease.span));
        self.confirmed
            .extend(assigned.map(|span| ConfirmedLease { span, ..lease }));
    }
}
