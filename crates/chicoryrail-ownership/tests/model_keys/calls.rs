//! Calls from leaders to servers that are delayed, lost, or applied long after they arrived.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::GrantOutcome;
use chicoryrail_ownership::keys::ReleaseOutcome;
use rand::Rng;

use crate::server::CallKind;
use crate::server::apply;
use crate::world::World;
use crate::world::faults_active;

/// Call in flight. Times are in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) leader: usize,
    pub(crate) life: Life,
    pub(crate) kind: CallKind,
    pub(crate) arrives_at: u64,
    pub(crate) applies_at: u64,
    pub(crate) applied: bool,
    pub(crate) refused: bool,
    /// Time at which the leader learns the outcome; without an answer, the timeout.
    pub(crate) ends_at: u64,
    pub(crate) answered: bool,
}

impl World {
    pub(crate) fn send(&mut self, leader: usize, life: Life, kind: CallKind, timeout_ms: u64) {
        let reachable = self.servers.iter().any(|s| s.life == life && s.reachable);
        let arrives_at = self.now + self.rng.random_range(0..30);
        // Some calls arrive, are applied seconds later, and are never answered.
        let delayed = faults_active(self.now) && self.rng.random_bool(0.05);
        let applies_at = arrives_at
            + if delayed {
                self.rng.random_range(0..4_000)
            } else {
                0
            };
        let answered = reachable && !delayed && self.rng.random_bool(0.95);
        let answered_at = applies_at + self.rng.random_range(0..30);
        let ends_at = if answered {
            answered_at
        } else {
            self.now + timeout_ms
        };
        self.calls.push(Call {
            leader,
            life,
            kind,
            arrives_at: if reachable { arrives_at } else { u64::MAX },
            applies_at,
            applied: false,
            refused: false,
            ends_at,
            answered,
        });
    }

    pub(crate) fn deliver(&mut self) {
        let now = self.now;
        let mut calls = std::mem::take(&mut self.calls);
        for call in &mut calls {
            if !call.applied && call.arrives_at <= now && call.applies_at <= now {
                call.applied = true;
                let server = self
                    .servers
                    .iter_mut()
                    .find(|s| s.life == call.life && s.up);
                if let Some(server) = server {
                    call.refused = apply(server, &call.kind, call.arrives_at);
                }
            }
        }
        // A paused process learns the outcome when it resumes.
        for call in &mut calls {
            let paused_until = self.leaders[call.leader].paused_until;
            if call.ends_at <= now && now < paused_until {
                call.ends_at = paused_until;
            }
        }
        for call in calls.iter().filter(|c| c.ends_at <= now) {
            self.report_outcome(call);
        }
        calls.retain(|c| c.ends_at > now || (!c.applied && c.arrives_at != u64::MAX));
        calls.iter_mut().for_each(|c| {
            if c.ends_at <= now {
                c.ends_at = u64::MAX;
            }
        });
        self.calls = calls;
    }

    /// Reports the outcome of a call to the leader.
    pub(crate) fn report_outcome(&mut self, call: &Call) {
        let now = Millis(self.now);
        let up = self.servers.iter().any(|s| s.life == call.life && s.up);
        let answered = call.answered && up;
        let leases = &mut self.leaders[call.leader].leases;
        match call.kind {
            CallKind::Grant { span, fence, .. } => {
                let end = match (answered, call.refused) {
                    (false, _) => GrantOutcome::NoResponse,
                    (true, true) => GrantOutcome::StaleFence,
                    (true, false) => GrantOutcome::Granted,
                };
                leases.grant_finished(now, &call.life, span, fence, end);
            }
            CallKind::Release { span, .. } => {
                let end = if answered {
                    ReleaseOutcome::Released(Some("token".to_owned()))
                } else {
                    ReleaseOutcome::NoResponse
                };
                leases.release_finished(now, &call.life, span, end);
            }
        }
    }
}
