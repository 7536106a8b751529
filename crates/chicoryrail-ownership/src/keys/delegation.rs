//! Renewals that other hosts do for the leader.
//!
//! One host can't renew the leases of thousands of servers. So the leader lets other hosts renew them, and grant again
//! what an assignment leaves unchanged; it moves keys, and grants what comes with a handover token, itself. A host that
//! renews has a permit for a short time, which the leader extends whenever the host asks. The leader counts every grant
//! that may be sent under a permit as sent by itself.

use std::net::SocketAddr;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::GrantOutcome;
use crate::keys::KeyLeases;
use crate::keys::KeyRange;
use crate::keys::KeyTiming;
use crate::keys::lease::ConfirmedLease;
use crate::keys::range_set::RangeSet;
use crate::keys::server_state::ServerState;

/// Number of servers that own keys of a service from which their leases are renewed by other hosts. The leader alone
/// makes some 700 calls a second for this many, with about an eighth of a core.
pub const DELEGATION_SERVERS_MIN: usize = 400;

/// Time after which the leader itself does what a delegate should have done.
const DELEGATE_LATE: Millis = Millis(300);

/// Leases of one server that a host renews for the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalTask {
    /// Server incarnation.
    pub life: Life,
    /// Address of the server.
    pub addr: SocketAddr,
    /// Ranges to grant again before their leases end.
    pub spans: Vec<KeyRange>,
}

impl KeyLeases {
    /// Sets whether another host renews a server's leases; returns whether one did before.
    pub fn set_delegated(&mut self, life: &Life, delegated: bool) -> bool {
        let state = self.servers.get_mut(life);
        state.is_some_and(|state| std::mem::replace(&mut state.delegated, delegated))
    }

    /// Returns `true` if another host renews a server's leases.
    #[must_use]
    pub fn is_delegated(&self, life: &Life) -> bool {
        self.servers.get(life).is_some_and(|state| state.delegated)
    }

    /// Returns `true` if a server's leases may be renewed by another host: it answered the last grant and has not ended.
    #[must_use]
    pub fn is_delegable(&self, life: &Life) -> bool {
        let state = self.servers.get(life);
        state.is_some_and(|s| s.is_grantable() && s.unanswered_since.is_none())
    }

    /// Returns what the delegate of these servers does under a permit that begins now. Servers that are not delegated
    /// are left out.
    pub fn permit_renewals(&mut self, now: Millis, lives: &[Life]) -> Vec<RenewalTask> {
        let permitted = lives.iter().filter_map(|life| {
            let state = self.servers.get(life)?;
            let spans = self.delegable_spans(life, state);
            (state.delegated && state.is_grantable() && !spans.is_empty()).then(|| RenewalTask {
                life: life.clone(),
                addr: state.addr,
                spans,
            })
        });
        let tasks: Vec<RenewalTask> = permitted.collect();
        let timing = &self.timing;
        let last_grant = now + timing.renewal_permit + timing.grant_timeout;
        let lease_until = last_grant + KeyTiming::max_lease(self.lease_duration());
        let is_outage = self.lease_duration() > timing.lease;
        for task in &tasks {
            if let Some(state) = self.servers.get_mut(&task.life) {
                state.delegate_lease_until = state.delegate_lease_until.max(lease_until);
                state.lease_until = state.lease_until.max(lease_until);
                if is_outage {
                    state.outage_lease_until = state.outage_lease_until.max(lease_until);
                }
            }
        }
        tasks
    }

    /// Returns the ranges of a server that its delegate may grant: those that no other server may still hold and that
    /// need no handover token. While a record is being written, only what the server already holds, unless the write is
    /// stuck.
    fn delegable_spans(&self, life: &Life, state: &ServerState) -> Vec<KeyRange> {
        if self.pending_record.is_some() && !self.write_unsettled {
            return state.confirmed.iter().map(|l| l.span).collect();
        }
        let others = self.former_leases.iter().filter(|l| l.owned.owner != *life);
        let unconfirmed = state.unconfirmed();
        let handed_over = self.released_keys.iter().filter(|r| r.handover.is_some());
        let handed_over = handed_over.filter_map(|r| unconfirmed.first_overlap(r.span));
        let spans = RangeSet::new(state.assigned.clone())
            .without(others.map(|l| l.owned.span))
            .without(state.pending_releases.iter().copied())
            .without(handed_over);
        spans.into_ranges().collect()
    }

    /// Records a grant by a delegate that the server confirmed; it was sent `age` ago. One under another fencing token
    /// than that of the record in force does not count.
    pub fn delegate_confirmed(
        &mut self,
        now: Millis,
        life: &Life,
        span: KeyRange,
        fence: u64,
        age: Millis,
    ) {
        if fence != self.record.fence {
            return;
        }
        let sent_at = Millis(now.0.saturating_sub(age.0));
        let lease = ConfirmedLease {
            span,
            renew_at: sent_at + self.timing.renew_interval,
            expires_at: sent_at + self.lease_duration(),
        };
        if let Some(state) = self.servers.get_mut(life).filter(|s| s.is_grantable()) {
            state.unanswered_since = None;
            state.confirm(lease);
        }
    }

    /// Records that a grant by a delegate failed, after which the delegate sends nothing to the server: the leader
    /// renews its leases from now on.
    pub fn delegate_failed(&mut self, now: Millis, life: &Life, fence: u64, outcome: GrantOutcome) {
        self.set_delegated(life, false);
        match outcome {
            GrantOutcome::Granted => {}
            // Under an earlier token of this leader the server may have refused a grant that a later one replaced.
            GrantOutcome::StaleFence => self.deposed |= fence == self.record.fence,
            GrantOutcome::OtherServer => self.other_server_answered(now, life),
            GrantOutcome::NoResponse => {
                if let Some(state) = self.servers.get_mut(life) {
                    state.unanswered_since.get_or_insert(now);
                }
            }
        }
    }
}

impl ServerState {
    /// Returns the time at which a renewal must be due for the leader itself to do it: now, or earlier if a delegate
    /// should have done it.
    pub(crate) fn renewal_due_at(&self, now: Millis) -> Millis {
        if self.delegated {
            return Millis(now.0.saturating_sub(DELEGATE_LATE.0));
        }
        now
    }

    /// Returns `true` if the leader itself grants the assigned keys that came without a handover token.
    pub(crate) fn leader_grants(&self, now: Millis) -> bool {
        !self.delegated || now >= self.assigned_at + DELEGATE_LATE
    }
}
