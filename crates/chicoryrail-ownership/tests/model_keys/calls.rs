//! Calls of leaders to servers: late, lost, or applied long after they came.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::GrantEnd;
use chicoryrail_ownership::keys::ReleaseEnd;
use rand::Rng;

use crate::server::What;
use crate::server::apply;
use crate::world::World;
use crate::world::disturbed;

/// A call on its way.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) leader: usize,
    pub(crate) life: Life,
    pub(crate) what: What,
    pub(crate) arrives: u64,
    pub(crate) applies: u64,
    pub(crate) applied: bool,
    pub(crate) refused: bool,
    /// When the leader learns how it ended; without an answer, when it gives up.
    pub(crate) ends: u64,
    pub(crate) answered: bool,
}

impl World {
    pub(crate) fn send(&mut self, leader: usize, life: Life, what: What, limit: u64) {
        let reachable = self.servers.iter().any(|s| s.life == life && s.reachable);
        let arrives = self.now + self.rng.random_range(0..30);
        // Some calls are taken, carried out seconds later, and never answered.
        let late = disturbed(self.now) && self.rng.random_bool(0.05);
        let applies = arrives
            + if late {
                self.rng.random_range(0..4_000)
            } else {
                0
            };
        let answered = reachable && !late && self.rng.random_bool(0.95);
        let answer = applies + self.rng.random_range(0..30);
        let ends = if answered { answer } else { self.now + limit };
        self.calls.push(Call {
            leader,
            life,
            what,
            arrives: if reachable { arrives } else { u64::MAX },
            applies,
            applied: false,
            refused: false,
            ends,
            answered,
        });
    }

    pub(crate) fn deliver(&mut self) {
        let now = self.now;
        let mut calls = std::mem::take(&mut self.calls);
        for call in &mut calls {
            if !call.applied && call.arrives <= now && call.applies <= now {
                call.applied = true;
                let server = self
                    .servers
                    .iter_mut()
                    .find(|s| s.life == call.life && s.up);
                if let Some(server) = server {
                    call.refused = apply(server, &call.what, call.arrives);
                }
            }
        }
        // A process that stands still hears of it when it goes on.
        for call in &mut calls {
            let frozen = self.leaders[call.leader].frozen;
            if call.ends <= now && now < frozen {
                call.ends = frozen;
            }
        }
        for call in calls.iter().filter(|c| c.ends <= now) {
            self.tell(call);
        }
        calls.retain(|c| c.ends > now || (!c.applied && c.arrives != u64::MAX));
        calls.iter_mut().for_each(|c| {
            if c.ends <= now {
                c.ends = u64::MAX;
            }
        });
        self.calls = calls;
    }

    /// Tells the leader how a call ended.
    pub(crate) fn tell(&mut self, call: &Call) {
        let now = Millis(self.now);
        let up = self.servers.iter().any(|s| s.life == call.life && s.up);
        let answered = call.answered && up;
        let leases = &mut self.leaders[call.leader].leases;
        match call.what {
            What::Grant { span, fence, .. } => {
                let end = match (answered, call.refused) {
                    (false, _) => GrantEnd::Silent,
                    (true, true) => GrantEnd::FenceOld,
                    (true, false) => GrantEnd::Held,
                };
                leases.granted(now, &call.life, span, fence, end);
            }
            What::Release { span, .. } => {
                let end = if answered {
                    ReleaseEnd::Free(Some("token".to_owned()))
                } else {
                    ReleaseEnd::Silent
                };
                leases.released(now, &call.life, span, end);
            }
        }
    }
}
