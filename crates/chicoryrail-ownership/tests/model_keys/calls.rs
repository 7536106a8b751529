//! Calls from leaders to servers that are delayed, lost, or applied long after they arrived.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::GrantOutcome;
use chicoryrail_ownership::keys::ReleaseOutcome;
use rand::Rng;

use crate::server::CallKind;
use crate::server::Server;
use crate::server::apply;
use crate::world::World;
use crate::world::faults_active;

/// Process that sent a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Caller {
    Leader(usize),
    Renewer(usize),
}

/// Call in flight. Times are in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) caller: Caller,
    pub(crate) life: Life,
    pub(crate) kind: CallKind,
    /// Time of arrival at the server; `u64::MAX` if the server is not reachable.
    pub(crate) arrives_at: u64,
    /// Time at which the server applies the call.
    pub(crate) applies_at: u64,
    /// Process that received the call: the one that ran under the server's name when the call arrived.
    pub(crate) receiver: Option<Life>,
    pub(crate) applied: bool,
    pub(crate) refused: bool,
    /// Time at which the leader learns the outcome, by a response or by the timeout; `u64::MAX` after the outcome
    /// was reported.
    pub(crate) ends_at: u64,
    /// Whether the response reaches the leader if the server runs until then.
    pub(crate) response_arrives: bool,
}

impl World {
    /// Sends a call, and selects at random how long it takes and whether its response is lost.
    pub(crate) fn send(&mut self, caller: Caller, life: Life, kind: CallKind, timeout_ms: u64) {
        let receives = |s: &Server| s.life.name == life.name && s.reachable;
        let reachable = self.servers.iter().any(receives);
        let arrives_at = self.now + self.rng.random_range(0..30);
        // Some calls arrive, are applied seconds later, and get no response.
        let delayed = faults_active(self.now) && self.rng.random_bool(0.05);
        let applies_at = arrives_at
            + if delayed {
                self.rng.random_range(0..4_000)
            } else {
                0
            };
        let response_arrives = reachable && !delayed && self.rng.random_bool(0.95);
        let responds_at = applies_at + self.rng.random_range(0..30);
        let ends_at = if response_arrives {
            responds_at
        } else {
            self.now + timeout_ms
        };
        self.calls.push(Call {
            caller,
            life,
            kind,
            arrives_at: if reachable { arrives_at } else { u64::MAX },
            applies_at,
            receiver: None,
            applied: false,
            refused: false,
            ends_at,
            response_arrives,
        });
    }

    /// Applies the calls that are due at their servers, and reports the outcomes that are due to the leaders.
    pub(crate) fn process_calls(&mut self) {
        let now = self.now;
        let mut calls = std::mem::take(&mut self.calls);
        for call in &mut calls {
            if !call.applied && call.arrives_at <= now && call.receiver.is_none() {
                let mut servers = self.servers.iter();
                let server = servers.find(|s| s.life.name == call.life.name && s.up);
                call.receiver = server.map(|s| s.life.clone());
                call.applied = call.receiver.is_none();
            }
            if !call.applied && call.arrives_at <= now && call.applies_at <= now {
                call.applied = true;
                let receiver = call.receiver.as_ref();
                let mut servers = self.servers.iter_mut();
                let server = servers.find(|s| Some(&s.life) == receiver && s.up);
                if let Some(server) = server {
                    call.refused = apply(server, &call.kind, call.arrives_at);
                }
            }
        }
        // A paused process learns the outcome when it resumes.
        for call in &mut calls {
            let paused_until = match call.caller {
                Caller::Leader(i) => self.leaders[i].paused_until,
                Caller::Renewer(i) => self.renewing[i].paused_until,
            };
            if call.ends_at <= now && now < paused_until {
                call.ends_at = paused_until;
            }
        }
        for call in calls.iter().filter(|c| c.ends_at <= now) {
            self.report_outcome(call);
        }
        // Keeps calls that may still be applied after their outcome was reported.
        calls.retain(|c| c.ends_at > now || (!c.applied && c.arrives_at != u64::MAX));
        calls.iter_mut().for_each(|c| {
            if c.ends_at <= now {
                c.ends_at = u64::MAX;
            }
        });
        self.calls = calls;
    }

    /// Reports the outcome of a call to its sender.
    pub(crate) fn report_outcome(&mut self, call: &Call) {
        let now = Millis(self.now);
        let mut servers = self.servers.iter();
        let up = servers.any(|s| Some(&s.life) == call.receiver.as_ref() && s.up);
        // A server that has stopped sends no response.
        let responded = call.response_arrives && up;
        let granted = match (responded, call.refused) {
            (false, _) => GrantOutcome::NoResponse,
            (true, true) => GrantOutcome::StaleFence,
            (true, false) => GrantOutcome::Granted,
        };
        let leader = match call.caller {
            Caller::Leader(i) => i,
            Caller::Renewer(i) => return self.report_renewal(i, &call.life, granted),
        };
        let leases = &mut self.leaders[leader].leases;
        match call.kind {
            CallKind::Grant { span, fence, .. } => {
                leases.grant_finished(now, &call.life, span, fence, granted);
            }
            CallKind::Release { span, .. } => {
                let outcome = if responded {
                    ReleaseOutcome::Released(Some("token".to_owned()))
                } else {
                    ReleaseOutcome::NoResponse
                };
                leases.release_finished(now, &call.life, span, outcome);
            }
        }
    }
}
