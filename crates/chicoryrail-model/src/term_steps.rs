//! Steps that concern the term and its voters.

use std::rc::Rc;

use chicoryrail_ownership::term::Campaign;
use chicoryrail_ownership::term::LeaderClaim;
use chicoryrail_ownership::term::Supporter;

use crate::Host;
use crate::Leader;
use crate::LeaderKey;
use crate::Model;
use crate::Role;
use crate::Rule;
use crate::State;

impl Model {
    pub(crate) fn campaign(&self, state: &mut State, h: usize) {
        let host = &mut state.hosts[h];
        if self.config.rule != Rule::ReplyCampaigning {
            host.supporter.begin_campaign();
        }
        host.role = Role::Candidate {
            sent_at: state.now,
            revision: state.store.revision,
            voters: state.store.voters,
        };
    }

    pub(crate) fn elect(&self, state: &mut State, h: usize, heard: bool) {
        let Role::Candidate {
            sent_at,
            revision,
            voters,
        } = state.hosts[h].role
        else {
            return;
        };
        state.hosts[h].supporter.end_campaign();
        state.hosts[h].role = Role::Follower;
        let until = sent_at + self.config.store_lease;
        let store = &mut state.store;
        let unchanged = store.leader.is_none() && store.revision == revision;
        if !state.cut.host_reaches_store(h) || !unchanged || state.now >= until {
            return;
        }
        let former = (revision > 0).then_some(voters);
        let voters = former.unwrap_or(store.listed.with(h));
        store.revision += 1;
        let term = store.revision;
        store.term = term;
        store.voters = voters;
        store.leader = Some(LeaderKey {
            host: h,
            term,
            until,
        });
        if !heard {
            return;
        }
        let campaign = Campaign {
            host: self.names[h].clone(),
            term,
            sent_at,
            former_voters: former.map(|set| self.voters(set)),
            voters: self.voters(voters),
        };
        let host = &mut state.hosts[h];
        host.highest_term = host.highest_term.max(term);
        host.role = Role::Leader(Leader {
            term,
            elected_at: state.now,
            former,
            voters,
            next_voters: None,
            revision: term,
            replies: Default::default(),
            stopped_at: None,
            claim: Rc::new(LeaderClaim::new(campaign, self.config.terms, state.now)),
            keys: None,
        });
    }

    pub(crate) fn renew(&self, state: &mut State, h: usize) {
        let until = state.now + self.config.store_lease;
        if let Some(key) = &mut state.store.leader {
            key.until = until;
        }
        if let Role::Leader(leader) = &mut state.hosts[h].role {
            leader.claim_mut().lease_confirmed(state.now);
        }
    }

    pub(crate) fn read_term(&self, state: &mut State, h: usize) {
        let term = state.store.term;
        let host = &mut state.hosts[h];
        host.highest_term = host.highest_term.max(term);
        host.has_read = true;
        host.supporter.record_read();
    }

    pub(crate) fn restart(&self, state: &mut State, h: usize) {
        let has_read = self.config.rule == Rule::ReplyUnread;
        let mut supporter = Supporter::default();
        if has_read {
            supporter.record_read();
        }
        state.hosts[h] = Host {
            has_read,
            supporter,
            listed: state.hosts[h].listed,
            ..Host::default()
        };
    }

    pub(crate) fn write_voters(&self, state: &mut State, h: usize, stored: bool, heard: bool) {
        let listed = state.hosts[h].listed.with(h);
        let Role::Leader(leader) = &mut state.hosts[h].role else {
            return;
        };
        let next = leader.next_voters.unwrap_or(listed);
        leader.claim_mut().begin_voters(self.voters(next));
        leader.next_voters = Some(next);
        // A conflict with an earlier write of the same voters is recognised by reading the record.
        if stored && state.store.voters != next {
            state.store.voters = next;
            state.store.revision += 1;
        }
        if heard || self.config.rule == Rule::NewVotersOnly {
            leader.claim_mut().voters_written();
            leader.voters = next;
            leader.next_voters = None;
            leader.revision = state.store.revision;
        }
    }
}
