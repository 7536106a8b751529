//! The steps that are possible in a state.

use chicoryrail_ownership::keys::KeyAction;

use crate::Action;
use crate::Cut;
use crate::HostSet;
use crate::Leader;
use crate::Message;
use crate::Model;
use crate::Role;
use crate::State;

impl Model {
    /// Returns the steps that are possible in a state.
    #[must_use]
    pub fn steps(&self, state: &State) -> Vec<Action> {
        let mut steps = vec![Action::Tick];
        for (h, host) in state.hosts.iter().enumerate() {
            if !host.paused {
                self.host_steps(state, h, &mut steps);
            }
        }
        for message in &state.messages {
            let arrives = match message {
                Message::Query { to, .. } | Message::Reply { to, .. } => !state.hosts[*to].paused,
                Message::Grant { .. } => true,
            };
            if arrives {
                steps.push(Action::Deliver(*message));
            }
            if state.messages.len() >= self.config.messages {
                steps.push(Action::Lose(*message));
            }
        }
        self.disruptions(state, &mut steps);
        steps
    }

    fn host_steps(&self, state: &State, h: usize, steps: &mut Vec<Action>) {
        let host = &state.hosts[h];
        let store = state.cut.host_reaches_store(h);
        if store && !host.has_read {
            steps.push(Action::ReadTerm(h));
        }
        match &host.role {
            Role::Follower if store && state.store.leader.is_none() => {
                steps.push(Action::Campaign(h));
            }
            Role::Follower => {}
            Role::Candidate { .. } => {
                steps.push(Action::Elect(h));
                if store && state.disruptions.lost_responses > 0 {
                    steps.push(Action::ElectUnheard(h));
                }
            }
            Role::Leader(leader) => self.leader_steps(state, h, leader, steps),
        }
    }

    fn leader_steps(&self, state: &State, h: usize, leader: &Leader, steps: &mut Vec<Action>) {
        let store = state.cut.host_reaches_store(h);
        if self.must_stop(state, h, leader) {
            steps.push(Action::Stop(h));
        }
        if store && state.store.is_led(leader.term) {
            steps.push(Action::Renew(h));
            if leader.keys.is_none() {
                steps.push(Action::TakeOver(h));
            }
        }
        self.voter_steps(state, h, leader, steps);
        if self.config.hosts > 1 {
            steps.push(Action::QueryAll(h));
        }
        if state.messages.len() < self.config.messages {
            let others = (0..self.config.hosts).filter(|to| *to != h);
            steps.extend(others.map(|to| Action::Query(h, to)));
        }
        let Some(keys) = &leader.keys else {
            return;
        };
        let may_write = store && state.store.is_led(leader.term) || !self.config.whole_writes;
        if state.moves > 0 && !keys.is_write_pending() && may_write {
            steps.push(Action::Move(h));
        }
        if !self.mandate(state, h).holds() {
            return;
        }
        let mut due = keys.as_ref().clone();
        for action in due.due_actions(state.now) {
            match action {
                KeyAction::Commit(_) if store => steps.push(Action::Commit(h)),
                KeyAction::Commit(_) => {}
                KeyAction::Grant { life, .. } => {
                    if state.cut.host_reaches_server(h, self.server(&life)) {
                        steps.push(Action::Grant(h));
                        if state.messages.len() < self.config.messages {
                            steps.push(Action::SendGrant(h));
                        }
                    }
                }
                KeyAction::Release { life, .. } => {
                    if state.cut.host_reaches_server(h, self.server(&life)) {
                        steps.push(Action::Release(h));
                    }
                }
            }
        }
    }

    fn voter_steps(&self, state: &State, h: usize, leader: &Leader, steps: &mut Vec<Action>) {
        let host = &state.hosts[h];
        let stored = state.cut.host_reaches_store(h) && state.store.is_led(leader.term);
        if leader.next_voters.is_some() {
            steps.extend(stored.then_some(Action::WriteVoters(h)));
            return;
        }
        let wanted = host.listed.with(h);
        if wanted == leader.voters {
            return;
        }
        let mut claim = leader.claim.as_ref().clone();
        if !claim.may_change_voters(state.now, host.highest_term) {
            return;
        }
        steps.push(Action::BeginVoters(h));
        let lost = state.disruptions.lost_responses > 0;
        if stored {
            steps.push(Action::WriteVoters(h));
            steps.extend(lost.then_some(Action::WriteVotersUnheard(h)));
        }
    }

    fn disruptions(&self, state: &State, steps: &mut Vec<Action>) {
        for (h, host) in state.hosts.iter().enumerate() {
            if host.paused {
                steps.push(Action::Resume(h));
            }
        }
        if !state.cut.is_healed() {
            steps.push(Action::Heal);
        }
        let all = HostSet::first(self.config.hosts);
        if state.store.listed != all {
            steps.push(Action::Join);
        }
        let left = state.disruptions;
        for (h, host) in state.hosts.iter().enumerate() {
            steps.extend((left.pauses > 0 && !host.paused).then_some(Action::Pause(h)));
            steps.extend((left.restarts > 0).then_some(Action::Restart(h)));
        }
        if left.lapses > 0 && state.store.listed == all {
            let sets = (1..=all.0).map(HostSet);
            steps.extend(sets.map(Action::Lapse));
        }
        if left.cuts == 0 {
            return;
        }
        let cuts = (0..=all.0).flat_map(|hosts| (0..4).map(move |servers| Cut { hosts, servers }));
        let cuts = cuts.filter(|cut| !cut.is_healed() && *cut != state.cut);
        steps.extend(cuts.map(Action::Cut));
    }
}
