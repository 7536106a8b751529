//! What gates see of servers: ramps, and moves for balance.

use chicoryrail_core::HostName;
use chicoryrail_core::Kind;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;

use super::Section;
use super::moves::Handoff;
use super::moves::Stage;
use crate::Candidate;
use crate::Health;
use crate::Placement;
use crate::Seen;

impl Section {
    /// Takes in what the server's one gate has seen of it; others are not listened to, since only
    /// the one sees every request.
    pub fn seen(
        &mut self,
        now: Millis,
        gate: &HostName,
        server: &ServerName,
        instance: u64,
        seen: Seen,
    ) {
        let seat = self.seats.get(server).and_then(|s| s.gate.as_ref());
        let Some(session) = self.sessions.get_mut(server).filter(|_| seat == Some(gate)) else {
            return;
        };
        if instance != 0 && session.instance() != 0 && session.instance() != instance {
            // The gate met the new run first: the session's answer will say the same.
            session.hurry();
        }
        let ramp = self.ramps.entry(server.clone()).or_default();
        ramp.seen(now, seen, self.service.slots);
        self.balance.seen(now, server, seen);
    }

    /// Goes on with a cold server's budget as an earlier holder had it.
    pub fn resume(&mut self, now: Millis, server: &ServerName, budget: u32) {
        self.ramps
            .entry(server.clone())
            .or_default()
            .resume(now, budget);
    }

    /// Starts ramps of servers that come back from silence or from being out.
    pub(super) fn chill_returned(&mut self, now: Millis) {
        for name in self.sessions.keys() {
            let up = self.sessions[name].health(now, &self.timing) == Health::Up;
            let away = self.outs.contains(name)
                || self.sessions[name].health(now, &self.timing) == Health::Lost;
            if away {
                self.away.insert(name.clone());
            } else if up && self.away.remove(name) {
                self.ramps.entry(name.clone()).or_default().chill(now);
            }
        }
    }

    /// Returns the servers that may own slices, with weights lowered for the slow.
    pub(super) fn candidates(&self, now: Millis) -> Vec<Candidate> {
        let eligible = self
            .servers
            .values()
            .filter(|s| self.is_eligible(now, &s.name));
        let mut servers: Vec<Candidate> = eligible
            .map(|s| Candidate {
                name: s.name.clone(),
                dc: s.data_centre.clone(),
                weight: s.weight,
            })
            .collect();
        self.balance.weigh(&mut servers);
        servers
    }

    /// Starts at most one move for balance, while nothing else moves.
    pub(super) fn rebalance(&mut self, now: Millis, store: bool) {
        let quiet = self.moves.is_empty() && !self.writing;
        let cold = self.ramps.values().any(crate::Ramp::is_cold);
        if self.service.kind == Kind::Free || !quiet || cold || !self.balance.may_move(now) {
            return;
        }
        let servers = self.candidates(now);
        let loads = self.balance.slices(&self.table);
        let plan = Placement::new(&servers, &self.service, loads).plan(&self.table, 1);
        if !store && !plan.is_empty() {
            self.asks = true;
            self.balance.put_off();
            return;
        }
        for shift in plan {
            self.balance.planned(&self.table, &shift);
            let handoff = Handoff {
                stage: Stage::Draining { fence: None },
                shift: Some(shift.to),
                since: now,
            };
            self.moves.insert(shift.index, handoff);
        }
    }
}
