//! The state after a step.

use chicoryrail_core::Millis;
use chicoryrail_ownership::term::Mandate;

use crate::Action;
use crate::HostSet;
use crate::Leader;
use crate::Message;
use crate::Model;
use crate::Role;
use crate::Rule;
use crate::State;

impl Model {
    /// Applies a step to a state in which it is possible.
    pub fn apply(&self, state: &mut State, action: Action) {
        if let Some(left) = action.disruption(&mut state.disruptions) {
            *left = left.saturating_sub(1);
        }
        match action {
            Action::Tick => self.tick(state),
            Action::Campaign(h) => {
                self.campaign(state, h);
                if self.config.whole_writes {
                    self.elect(state, h, true);
                }
            }
            Action::Elect(h) => self.elect(state, h, true),
            Action::ElectUnheard(h) => self.elect(state, h, false),
            Action::Renew(h) => self.renew(state, h),
            Action::Stop(h) => state.hosts[h].role = Role::Follower,
            Action::QueryAll(h) => self.query_all(state, h),
            Action::Query(from, to) => self.query(state, from, to),
            Action::Deliver(message) => self.deliver(state, message),
            Action::Lose(message) => self.lose(state, message),
            Action::ReadTerm(h) => self.read_term(state, h),
            Action::TakeOver(h) => {
                self.take_over(state, h);
                if self.config.whole_writes {
                    self.commit(state, h);
                }
            }
            Action::Commit(h) => self.commit(state, h),
            Action::Move(h) => {
                self.plan_move(state, h);
                if self.config.whole_writes {
                    self.commit(state, h);
                }
            }
            Action::Grant(h) => self.grant(state, h),
            Action::SendGrant(h) => self.send_grant(state, h),
            Action::Release(h) => self.release(state, h),
            Action::WriteVoters(h) => self.write_voters(state, h, true, true),
            Action::WriteVotersUnheard(h) => self.write_voters(state, h, true, false),
            Action::BeginVoters(h) => self.write_voters(state, h, false, false),
            Action::Cut(cut) => state.cut = cut,
            Action::Heal => state.cut = Default::default(),
            Action::Pause(h) => state.hosts[h].paused = true,
            Action::Resume(h) => state.hosts[h].paused = false,
            Action::Restart(h) => self.restart(state, h),
            Action::Lapse(hosts) => {
                state.store.listed = HostSet(state.store.listed.0 & !hosts.0);
            }
            Action::Join => state.store.listed = HostSet::first(self.config.hosts),
        }
        let listed = state.store.listed;
        for (h, host) in state.hosts.iter_mut().enumerate() {
            if state.cut.host_reaches_store(h) {
                host.listed = listed;
            }
        }
        let has_news = matches!(
            action,
            Action::Tick
                | Action::Campaign(_)
                | Action::Elect(_)
                | Action::QueryAll(_)
                | Action::Deliver(_)
                | Action::Resume(_)
        );
        for h in 0..state.hosts.len() {
            if !state.hosts[h].paused {
                self.update_leader(state, h, has_news);
            }
        }
    }

    fn tick(&self, state: &mut State) {
        state.now = state.now + Millis(1);
        let now = state.now;
        if state.store.leader.is_some_and(|l| now >= l.until) {
            state.store.leader = None;
        }
        for message in state.messages.clone() {
            if matches!(message, Message::Grant { until, .. } if now > until) {
                self.lose(state, message);
            }
        }
    }

    /// Updates what a leader that runs knows of its term and its predecessor, as it does before it acts.
    fn update_leader(&self, state: &mut State, h: usize, has_news: bool) {
        let now = state.now;
        let host = &mut state.hosts[h];
        // A leader that knows that its term has ended may not act, so it does not matter when it stops.
        let ended = |l: &Leader| host.highest_term > l.term || l.is_deposed();
        if host.leader().is_some_and(ended) {
            host.role = Role::Follower;
        }
        let counted = host.listed.with(h);
        let Role::Leader(leader) = &mut host.role else {
            return;
        };
        if self.config.rule == Rule::CountedHosts && leader.voters != counted {
            leader.voters = counted;
            let voters = self.voters(counted);
            let claim = leader.claim_mut();
            claim.begin_voters(voters);
            claim.voters_written();
        }
        if !has_news {
            return;
        }
        if let Some(keys) = leader.keys_mut() {
            // Leases that have ended are dropped.
            let _ = keys.due_actions(now);
        }
        if leader.stopped_at.is_some() {
            return;
        }
        let stopped = leader.claim_mut().predecessor_stopped(now);
        let needed = |former: HostSet| leader.knowing(h, former) * 2 + 2 >= former.len();
        let at = match self.config.rule {
            Rule::CountedHosts => Some(now),
            Rule::FewerThanHalf if leader.former.is_none_or(needed) => Some(now),
            _ => stopped,
        };
        leader.apply_stop(at);
    }

    /// Returns what the right of a host to act rests on.
    #[must_use]
    pub fn mandate(&self, state: &State, h: usize) -> Mandate {
        let host = &state.hosts[h];
        let leader = host.leader();
        leader.map_or_else(Mandate::default, |l| {
            l.mandate(state.now, host.highest_term)
        })
    }

    /// Returns `true` if a leader learns from the store that its lease has ended.
    pub(crate) fn must_stop(&self, state: &State, h: usize, leader: &Leader) -> bool {
        state.cut.host_reaches_store(h) && !state.store.is_led(leader.term)
    }
}
