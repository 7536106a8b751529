//! Grants and releases that were sent, and their outcomes.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::GrantOutcome;
use crate::keys::KeyLeases;
use crate::keys::KeyRange;
use crate::keys::KeyTiming;
use crate::keys::ReleaseOutcome;
use crate::keys::lease::ConfirmedLease;
use crate::keys::lease::FormerLease;
use crate::keys::lease::ReleasedKeys;

impl KeyLeases {
    /// Records that a grant was sent; from now on it may take effect.
    pub fn grant_sent(&mut self, now: Millis, life: &Life, span: KeyRange) {
        let max_lease = self.timing.grant_timeout + KeyTiming::max_lease(self.lease_duration);
        if let Some(state) = self.servers.get_mut(life) {
            state.pending_grant = Some(span);
            state.lease_duration = self.lease_duration;
            if self.lease_duration > self.timing.lease {
                state.outage_lease_until = state.outage_lease_until.max(now + max_lease);
            }
            state.lease_until = state.lease_until.max(now + max_lease);
        }
    }

    /// Records the outcome of a grant that was sent under `fence`. The keys count as granted only if that is
    /// still the fencing token of the record in force.
    pub fn grant_finished(
        &mut self,
        now: Millis,
        life: &Life,
        span: KeyRange,
        fence: u64,
        outcome: GrantOutcome,
    ) {
        let retry_at = now + Millis(self.timing.renew_interval.0 / 4);
        let Some(state) = self.servers.get_mut(life) else {
            return;
        };
        state.pending_grant = None;
        let max_lease = KeyTiming::max_lease(state.lease_duration);
        match outcome {
            GrantOutcome::Granted => {
                state.unanswered_since = None;
                // A response may be that of the incarnation before the one that runs now.
                if state.superseded {
                    return;
                }
                if fence == self.record.fence {
                    state.confirm(ConfirmedLease {
                        span,
                        renew_at: now + self.timing.renew_interval,
                        expires_at: now + state.lease_duration,
                    });
                }
                // Of keys that it has accepted under this fencing token, a server refuses older grants: those of an
                // earlier leader, and those whose response was lost. Its other keys an earlier leader may still renew.
                let is_former_owner = self.former_leases.iter().any(|l| l.owned.owner == *life);
                let has_other_keys = is_former_owner || state.unconfirmed().first().is_some();
                state.stale &= has_other_keys;
                let stale = if has_other_keys {
                    state.stale_until
                } else {
                    Millis::ZERO
                };
                let other_leases = state.outage_lease_until.max(state.delegate_lease_until);
                state.lease_until = other_leases.max(stale).max(now + max_lease);
            }
            GrantOutcome::StaleFence => self.deposed = true,
            GrantOutcome::OtherServer => self.other_server_answered(now, life),
            GrantOutcome::NoResponse => {
                state.lease_until = state.lease_until.max(now + max_lease);
                state.retry_at = retry_at;
                state.unanswered_since.get_or_insert(now);
            }
        }
    }

    /// Records that a release was sent.
    pub fn release_sent(&mut self, life: &Life, span: KeyRange) {
        if let Some(state) = self.servers.get_mut(life) {
            state.pending_releases.push(span);
        }
    }

    /// Records the outcome of a release.
    pub fn release_finished(
        &mut self,
        now: Millis,
        life: &Life,
        span: KeyRange,
        outcome: ReleaseOutcome,
    ) {
        let Some(state) = self.servers.get_mut(life) else {
            return;
        };
        if let Some(index) = state.pending_releases.iter().position(|s| *s == span) {
            state.pending_releases.swap_remove(index);
        }
        if matches!(outcome, ReleaseOutcome::Released(_)) {
            state.unanswered_since = None;
        }
        match outcome {
            // The release carried a higher fencing token than every grant of these keys to this server, including
            // one whose response was lost: the server refuses such a grant when it arrives late.
            ReleaseOutcome::Released(handover) => {
                let released = |l: &FormerLease| {
                    l.owned.owner == *life && l.owned.span.without(span).is_empty()
                };
                self.former_leases.retain(|l| !released(l));
                self.released_keys.push(ReleasedKeys { span, handover });
            }
            ReleaseOutcome::OtherServer => {
                self.other_server_answered(now, life);
                self.set_release_retry(life, span, now + Millis(self.timing.renew_interval.0 / 4));
            }
            ReleaseOutcome::NoResponse => {
                // The leases of a server that keeps other keys must be renewed on time; probes of a server
                // without keys, and grants to it, can wait.
                if state.assigned.is_empty() {
                    state.retry_at = now + self.timing.probe_interval;
                }
                self.set_release_retry(life, span, now + Millis(self.timing.renew_interval.0 / 4));
            }
        }
    }

    /// Sets the earliest time of the next release of a former owner's keys that overlap `span`.
    fn set_release_retry(&mut self, life: &Life, span: KeyRange, at: Millis) {
        let former_leases = self.former_leases.iter_mut();
        let overlaps =
            |l: &&mut FormerLease| l.owned.owner == *life && l.owned.span.intersect(span).is_some();
        for former in former_leases.filter(overlaps) {
            former.retry_at = at;
        }
    }
}
