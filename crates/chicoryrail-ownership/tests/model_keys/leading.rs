//! What leaders do in a step.

use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::Holder;
use chicoryrail_ownership::keys::KeyAction;
use chicoryrail_ownership::keys::KeyLoad;
use chicoryrail_ownership::keys::Moves;
use chicoryrail_ownership::keys::Plan;
use rand::Rng;

use crate::server::What;
use crate::world::World;
use crate::world::disturbed;

impl World {
    pub(crate) fn lead(&mut self) {
        let now = Millis(self.now);
        for i in 0..self.leaders.len() {
            let leader = &self.leaders[i];
            let acts = self.now <= leader.until && self.now >= leader.frozen;
            if !acts || leader.leases.is_deposed() {
                continue;
            }
            let registered = self.servers.iter().filter(|s| s.up);
            let registered: Vec<_> = registered.map(|s| (s.life.clone(), s.leaving)).collect();
            let leader = &mut self.leaders[i];
            leader.leases.store_away(self.away);
            let named = leader.leases.named();
            for (life, _) in &registered {
                leader
                    .leases
                    .server_at(now, life, ([127, 0, 0, 1], 80).into());
                for old in named.iter().filter(|old| life.succeeds(old)) {
                    leader.leases.ended(old);
                }
            }
            if !leader.leases.is_writing() {
                let open = registered
                    .iter()
                    .filter(|(l, leaving)| !*leaving && !leader.leases.is_lost(now, l));
                let mut holders: Vec<_> = open
                    .map(|(life, _)| Holder {
                        life: life.clone(),
                        weight: 1.0,
                    })
                    .collect();
                holders.sort_by(|a, b| a.life.cmp(&b.life));
                let calm = !leader.leases.is_changing();
                let balance = calm && disturbed(self.now) && self.rng.random_bool(0.01);
                let mut load = KeyLoad::default();
                if balance {
                    let hot: u16 = self.rng.random();
                    (0..200).for_each(|i| load.seen(hot.wrapping_add(i)));
                }
                let moves = match (balance, self.rng.random_bool(0.5)) {
                    (true, true) => Moves::Urgent,
                    (true, false) => Moves::Balance,
                    (false, _) => Moves::Needed,
                };
                let plan = Plan::of(leader.leases.record(), &holders, &load, moves);
                if let Plan::Change(spans) = plan {
                    leader.leases.change(spans, self.rng.random());
                }
            }
            let duties = leader.leases.due(now);
            for duty in duties {
                self.perform(i, duty);
            }
        }
    }

    pub(crate) fn perform(&mut self, leader: usize, duty: KeyAction) {
        let now = Millis(self.now);
        match duty {
            KeyAction::Commit(record) => {
                // The store takes it only from the latest leader, and only over what that one has read.
                let latest = leader + 1 == self.leaders.len();
                let away = self.away || self.now < self.leaders[leader].turned_away;
                if !away && latest && self.leaders[leader].revision == self.revision {
                    self.record = record;
                    self.revision += 1;
                    self.leaders[leader].revision = self.revision;
                    self.leaders[leader].leases.committed(now);
                }
            }
            KeyAction::Grant {
                life, span, fence, ..
            } => {
                self.leaders[leader].leases.granting(now, &life, span);
                let limit = self.granted.grant_limit.0;
                let long = self.leaders[leader].leases.hold() == self.reckoned.outage_hold;
                let granted = &self.granted;
                let hold = if long {
                    granted.outage_hold
                } else {
                    granted.hold
                };
                let what = What::Grant { span, fence, hold };
                self.send(leader, life, what, limit);
            }
            KeyAction::Release {
                life, span, fence, ..
            } => {
                self.leaders[leader].leases.releasing(&life, span);
                let limit = self.granted.release_limit.0;
                self.send(leader, life, What::Release { span, fence }, limit);
            }
        }
    }
}
