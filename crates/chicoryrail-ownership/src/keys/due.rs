//! Selection of the calls and writes that are due for a service's keys.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;

use crate::keys::KeyAction;
use crate::keys::KeyLeases;
use crate::keys::KeyRange;
use crate::keys::lease::ConfirmedLease;
use crate::keys::server_state::ServerState;

/// Maximum time since a server's registration was last seen for which the server is still probed.
const REGISTRATION_AGE_MAX: Millis = Millis(1_000);

/// Maximum number of concurrent releases at one server; each uses its own connection.
const RELEASES_PER_SERVER_MAX: usize = 4;

impl KeyLeases {
    /// Returns the actions that are due now; none once the leader is deposed.
    pub fn due_actions(&mut self, now: Millis) -> Vec<KeyAction> {
        if self.deposed {
            return Vec::new();
        }
        self.expire_leases(now);
        if let Some(next) = &self.pending_record {
            // Leases are renewed during a write, but nothing new is granted under a record that is about to
            // be replaced, unless the write is stuck. The write comes last, so that the leases that result from the
            // grants are accounted for when it completes.
            let mut actions = self.due_grants(now, self.write_unsettled);
            actions.push(KeyAction::Commit(next.clone()));
            return actions;
        }
        let mut actions = self.due_grants(now, true);
        actions.extend(self.due_releases(now));
        actions.extend(self.due_probes(now));
        actions
    }

    /// Drops former leases that have expired or whose server incarnation has ended, and confirmed leases
    /// that expired for lack of a renewal.
    fn expire_leases(&mut self, now: Millis) {
        for state in self.servers.values_mut() {
            state.confirmed.retain(|l| now < l.expires_at);
        }
        let (servers, expired) = (&self.servers, &mut self.expired);
        let predecessor_stopped = self.predecessor_stopped;
        self.former_leases.retain(|l| {
            let ended = servers.get(&l.owned.owner).is_none_or(|s| s.ended);
            let has_expired = now >= l.expires_at && (predecessor_stopped || !l.stale);
            if !ended && has_expired {
                expired.push(l.owned.clone());
            }
            !ended && !has_expired
        });
    }

    /// Returns the grants that are due, at most one for each server. Without `allow_new`, returns only
    /// renewals.
    fn due_grants(&self, now: Millis, allow_new: bool) -> Vec<KeyAction> {
        let servers = self.servers.iter();
        let grants =
            servers.filter_map(|(life, state)| self.next_grant(now, life, state, allow_new));
        grants.collect()
    }

    /// Returns the next grant for a server: a renewal that is due, or else, with `allow_new`, keys that are
    /// assigned to the server and that no other server may still hold.
    fn next_grant(
        &self,
        now: Millis,
        life: &Life,
        state: &ServerState,
        allow_new: bool,
    ) -> Option<KeyAction> {
        if state.pending_grant.is_some() || !state.is_grantable() || now < state.retry_at {
            return None;
        }
        let renewed = due_renewal(state.renewal_due_at(now), &state.confirmed);
        let renewed = renewed.map(|span| (span, None));
        let granted = || self.grantable(now, life, state).filter(|_| allow_new);
        let (span, handover) = renewed.or_else(granted)?;
        Some(KeyAction::Grant {
            life: life.clone(),
            addr: state.addr,
            span,
            fence: self.record.fence,
            handover,
        })
    }

    /// Returns keys that are assigned to a server and that no delegate grants, not granted to it yet, not possibly held
    /// by another server, and not in a release in flight to this one. Keys that were released with a handover token are granted
    /// separately, so that the grant carries the token.
    fn grantable(
        &self,
        now: Millis,
        life: &Life,
        state: &ServerState,
    ) -> Option<(KeyRange, Option<String>)> {
        let unconfirmed = state.unconfirmed();
        unconfirmed.first()?;
        let others = self.former_leases.iter().filter(|l| l.owned.owner != *life);
        let free = unconfirmed
            .without(others.map(|l| l.owned.span))
            .without(state.pending_releases.iter().copied());
        let mut handed_over = self.released_keys.iter().filter(|r| r.handover.is_some());
        let handed_over =
            handed_over.find_map(|r| Some((free.first_overlap(r.span)?, r.handover.clone())));
        let without_token = || free.first().map(|span| (span, None));
        handed_over.or_else(|| without_token().filter(|_| state.leader_grants(now)))
    }

    /// Returns the releases that are due. They run concurrently, also with the renewals of the keys that the
    /// server keeps, because the response to a release arrives only when the work on its keys has ended, which
    /// may take most of a second.
    fn due_releases(&self, now: Millis) -> Vec<KeyAction> {
        let mut actions: Vec<KeyAction> = Vec::new();
        let mut in_flight: BTreeMap<&Life, usize> = BTreeMap::new();
        for former in &self.former_leases {
            let (life, span) = (&former.owned.owner, former.owned.span);
            let Some(state) = self.servers.get(life) else {
                continue;
            };
            let pending = state.pending_releases.iter().chain(&state.pending_grant);
            let no_call_pending = pending.clone().all(|s| s.intersect(span).is_none());
            let in_flight = in_flight
                .entry(life)
                .or_insert(state.pending_releases.len());
            if no_call_pending
                && *in_flight < RELEASES_PER_SERVER_MAX
                && state.is_callable()
                && now >= former.retry_at
            {
                *in_flight += 1;
                actions.push(KeyAction::Release {
                    life: life.clone(),
                    addr: state.addr,
                    span,
                    fence: self.record.fence,
                });
            }
        }
        actions
    }

    /// Returns the probes of lost servers that are due. A probe is a release of all keys: a server never
    /// refuses it, and it has no effect on a server without keys.
    fn due_probes(&self, now: Millis) -> Vec<KeyAction> {
        let lost = self.servers.iter().filter(|(life, s)| {
            let registered = now.since(s.last_seen) <= REGISTRATION_AGE_MAX;
            let idle = s.pending_grant.is_none() && s.pending_releases.is_empty();
            let due = registered && idle && now >= s.retry_at;
            due && s.is_grantable() && self.is_lost(now, life)
        });
        let lost: Vec<_> = lost.collect();
        if lost.is_empty() {
            return Vec::new();
        }
        let owners: BTreeSet<Life> = self.lease_owners().into_iter().collect();
        let lost = lost.into_iter().filter(|(life, _)| !owners.contains(*life));
        let probe = |(life, state): (&Life, &ServerState)| KeyAction::Release {
            life: life.clone(),
            addr: state.addr,
            span: KeyRange::ALL,
            fence: self.record.fence,
        };
        lost.map(probe).collect()
    }
}

/// Returns the first range that a server must renew: a lease that is due, joined with all leases adjacent to it.
fn due_renewal(now: Millis, confirmed: &[ConfirmedLease]) -> Option<KeyRange> {
    let mut confirmed = confirmed.to_vec();
    confirmed.sort_by_key(|l| l.span);
    let mut current: Option<(KeyRange, bool)> = None;
    for lease in confirmed {
        let (span, due) = (lease.span, now >= lease.renew_at);
        current = match current {
            Some((joined, any_due)) if u32::from(joined.last) + 1 >= u32::from(span.first) => {
                let last = joined.last.max(span.last);
                Some((KeyRange { last, ..joined }, any_due || due))
            }
            Some((joined, true)) => return Some(joined),
            _ => Some((span, due)),
        };
    }
    current.filter(|(_, due)| *due).map(|(span, _)| span)
}
