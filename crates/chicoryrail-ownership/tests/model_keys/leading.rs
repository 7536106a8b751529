//! One step of the simulated leaders.

use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::KeyAction;
use chicoryrail_ownership::keys::KeyCandidate;
use chicoryrail_ownership::keys::KeyLoad;
use chicoryrail_ownership::keys::Moves;
use chicoryrail_ownership::keys::Plan;
use chicoryrail_ownership::keys::PlanPolicy;
use rand::Rng;

use crate::calls::Caller;
use crate::server::CallKind;
use crate::server::Server;
use crate::world::World;
use crate::world::faults_active;

/// Share of the writes of a record that the store applies without a response to the leader.
const LOST_RESPONSE_SHARE: f64 = 0.1;

impl World {
    /// Lets each leader that acts now plan, and perform the actions that are due.
    pub(crate) fn lead(&mut self) {
        let now = Millis(self.now);
        for i in 0..self.leaders.len() {
            let leader = &self.leaders[i];
            let acting = self.now <= leader.acts_until && self.now >= leader.paused_until;
            if !acting || leader.leases.is_deposed() {
                continue;
            }
            let is_registered = |s: &&Server| s.up && s.registered_at <= self.now;
            let registered = self.servers.iter().filter(is_registered);
            let registered: Vec<_> = registered.map(|s| (s.life.clone(), s.leaving)).collect();
            let leader = &mut self.leaders[i];
            leader.leases.set_store_down(self.store_down);
            let owners = leader.leases.lease_owners();
            for (life, _) in &registered {
                let leases = &mut leader.leases;
                leases.set_server_addr(now, life, ([127, 0, 0, 1], 80).into());
                for old in owners.iter().filter(|old| life.supersedes(old)) {
                    leases.server_superseded(old);
                }
            }
            let lives: Vec<_> = registered.iter().map(|(life, _)| life.clone()).collect();
            self.delegate(i, &lives);
            let leader = &mut self.leaders[i];
            if !leader.leases.is_write_pending() {
                let accepting = registered
                    .iter()
                    .filter(|(l, leaving)| !*leaving && !leader.leases.is_lost(now, l));
                let mut candidates: Vec<_> = accepting
                    .map(|(life, _)| KeyCandidate {
                        life: life.clone(),
                        weight: 1.0,
                    })
                    .collect();
                candidates.sort_by(|a, b| a.life.cmp(&b.life));
                let unchanged = !leader.leases.has_pending_change();
                let balance = unchanged && faults_active(self.now) && self.rng.random_bool(0.01);
                let mut load = KeyLoad::default();
                if balance {
                    let first_busy: u16 = self.rng.random();
                    (0..200).for_each(|i| load.record(first_busy.wrapping_add(i)));
                }
                let moves = match (balance, self.rng.random_bool(0.5)) {
                    (true, true) => Moves::Urgent,
                    (true, false) => Moves::Balance,
                    (false, _) => Moves::Required,
                };
                let plan = Plan::compute(
                    leader.leases.record(),
                    &candidates,
                    &load,
                    moves,
                    PlanPolicy::Immediate,
                );
                if let Plan::Change(spans, _) = plan {
                    leader.leases.begin_change(spans, self.rng.random());
                }
            }
            let actions = leader.leases.due_actions(now);
            for action in actions {
                self.execute(i, action);
            }
        }
    }

    /// Performs an action of a leader: writes to the store or sends a call.
    pub(crate) fn execute(&mut self, leader: usize, action: KeyAction) {
        let now = Millis(self.now);
        match action {
            KeyAction::Commit(record) => {
                // The store accepts a write only from the latest leader, and only if the record has not
                // changed since that leader read it.
                let latest = leader + 1 == self.leaders.len();
                let store_down =
                    self.store_down || self.now < self.leaders[leader].store_lost_until;
                if store_down {
                    if self.has_unsettled_writes {
                        self.leaders[leader].leases.record_unsettled();
                    }
                    return;
                }
                // A leader that got no response finds its own write when it reads the record.
                let written_before = self.record.attempt == record.attempt;
                let unchanged = self.leaders[leader].revision == self.revision;
                if !latest || !(unchanged || written_before) {
                    return;
                }
                if !written_before {
                    self.record = record;
                    self.revision += 1;
                    let may_lose = self.has_unsettled_writes && faults_active(self.now);
                    if may_lose && self.rng.random_bool(LOST_RESPONSE_SHARE) {
                        self.leaders[leader].leases.record_unsettled();
                        return;
                    }
                }
                self.leaders[leader].revision = self.revision;
                self.leaders[leader].leases.record_written(now);
            }
            KeyAction::Grant {
                life, span, fence, ..
            } => {
                self.leaders[leader].leases.grant_sent(now, &life, span);
                let timeout_ms = self.actual_timing.grant_timeout.0;
                let outage_grant = self.leaders[leader].leases.lease_duration()
                    == self.assumed_timing.outage_lease;
                let timing = &self.actual_timing;
                let lease = if outage_grant {
                    timing.outage_lease
                } else {
                    timing.lease
                };
                let kind = CallKind::Grant { span, fence, lease };
                self.send(Caller::Leader(leader), life, kind, timeout_ms);
            }
            KeyAction::Release {
                life, span, fence, ..
            } => {
                self.leaders[leader].leases.release_sent(&life, span);
                let timeout_ms = self.actual_timing.release_timeout.0;
                let kind = CallKind::Release { span, fence };
                self.send(Caller::Leader(leader), life, kind, timeout_ms);
            }
        }
    }
}
