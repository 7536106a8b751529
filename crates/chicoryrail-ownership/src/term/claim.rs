//! A leader's right to act in its term.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;

use crate::term::Basis;
use crate::term::Mandate;
use crate::term::Support;
use crate::term::TermReply;
use crate::term::TermTiming;
use crate::term::Voters;

/// An election that a host has won.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Campaign {
    /// The host.
    pub host: HostName,
    /// Number of the term.
    pub term: u64,
    /// When the host asked for the lease under which it was elected. It has replied to no query since.
    pub sent_at: Millis,
    /// Voters of the predecessor by the record that the campaign replaced; `None` if there was no record.
    pub former_voters: Option<Voters>,
    /// Voters of the new term. They are those of the predecessor if there was a record.
    pub voters: Voters,
}

/// What a host knows of its right to act as the leader of a term, and of an earlier leader's.
///
/// **At most one term acts.** Without the store, a leader acts by replies of a majority of its voters to queries that are
/// at most [`TermTiming::reply_age_max`] old. A voter that has heard of a later term supports no earlier one again. So once
/// half of the voters have told the successor that they know its term, no earlier leader gets a new majority of these
/// voters, and what it has counted so far is too old after `reply_age_max`. The voters are the same for both, as the
/// successor reads them from the record that its election replaced, and a leader that changes them counts those of before
/// as well until the change is certainly stored; it may change them only once its own predecessor has stopped.
///
/// If half of the voters can't be reached, an earlier leader still ends: it goes on by a majority alone for
/// [`TermTiming::support_max`] after its lease was confirmed or *every* voter supported it. A successor that is a voter
/// itself has supported nobody since its campaign, so it takes the time from its election. Any other waits for
/// [`TermTiming::outage_max`], the end of every leader that the store does not confirm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderClaim {
    timing: TermTiming,
    campaign: Campaign,
    /// When the host learnt that it was elected.
    elected_at: Millis,
    voters: Voters,
    /// Voters that are being written to the store, or that an indeterminate write may have stored.
    next_voters: Option<Voters>,
    /// When the last confirmed renewal of the store lease was sent.
    confirmed_at: Millis,
    /// When the oldest query was sent that the last complete round of replies, by every voter, answers.
    complete_at: Millis,
    /// Each host's reply to the last query that it replied to.
    replies: BTreeMap<HostName, TermReply>,
    /// When it was found that no majority supports an earlier leader.
    predecessor_stopped: Option<Millis>,
}

impl LeaderClaim {
    /// Builds the claim of a host that learns at `now` that it was elected.
    #[must_use]
    pub fn new(campaign: Campaign, timing: TermTiming, now: Millis) -> Self {
        let mut this = Self {
            timing,
            voters: campaign.voters.clone(),
            next_voters: None,
            confirmed_at: campaign.sent_at,
            complete_at: campaign.sent_at,
            replies: BTreeMap::new(),
            predecessor_stopped: None,
            elected_at: now,
            campaign,
        };
        this.update_predecessor(now);
        this
    }

    /// Returns the number of the term.
    #[must_use]
    pub const fn term(&self) -> u64 {
        self.campaign.term
    }

    /// Returns the voters that the store records.
    #[must_use]
    pub const fn voters(&self) -> &Voters {
        &self.voters
    }

    /// Returns `true` if this host was a voter of the earlier leader, or there was none.
    #[must_use]
    pub fn voted_before(&self) -> bool {
        let former = self.campaign.former_voters.as_ref();
        former.is_none_or(|voters| voters.contains(&self.campaign.host))
    }

    /// Returns the addresses of the voters other than `own`, of an earlier term's and of a change that is being written too.
    #[must_use]
    pub fn voter_addrs(&self, own: &HostName) -> Vec<SocketAddr> {
        let former = self.campaign.former_voters.iter();
        let sets = self.voter_sets().chain(former);
        sets.flat_map(|voters| voters.addrs(own)).collect()
    }

    /// Iterates over the sets of voters of which each must support this leader.
    fn voter_sets(&self) -> impl Iterator<Item = &Voters> {
        std::iter::once(&self.voters).chain(&self.next_voters)
    }

    /// Records that the store confirmed the renewal of the lease that was sent at `sent_at`.
    pub fn lease_confirmed(&mut self, sent_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    /// Records a host's reply to a query of this host. A reply to an earlier query than the last one that the host replied
    /// to is ignored, and so is one to a query from the future, which an earlier process at this address sent.
    pub fn record_reply(&mut self, now: Millis, host: &HostName, reply: TermReply) {
        if reply.asked_at > now || reply.asked_at < self.campaign.sent_at {
            return;
        }
        let known = self.replies.entry(host.clone()).or_insert(reply);
        if known.asked_at <= reply.asked_at {
            *known = reply;
        }
        if let Some(at) = self.oldest_of_all() {
            self.complete_at = self.complete_at.max(at);
        }
        self.update_predecessor(now);
    }

    /// Returns when the oldest query was sent to which the last replies of the other voters are replies that support this
    /// leader; `None` if one of them has not replied.
    fn oldest_of_all(&self) -> Option<Millis> {
        let names = self.voter_sets().flat_map(Voters::names);
        let others = names.filter(|name| **name != self.campaign.host);
        let asked = others.map(|name| {
            let reply = self.replies.get(name)?;
            (reply.term == self.term()).then_some(reply.asked_at)
        });
        asked.min()?
    }

    /// Returns `true` if this leader is the only voter, so that no other voter can be elected.
    fn is_only_voter(&self) -> bool {
        let mut names = self.voter_sets().flat_map(Voters::names);
        names.all(|name| *name == self.campaign.host)
    }

    /// Returns the age of the evidence that a voter supports this leader, if there is any that counts.
    fn support_age(&self, now: Millis, host: &HostName) -> Option<Millis> {
        if *host == self.campaign.host {
            return Some(Millis::ZERO);
        }
        let reply = self.replies.get(host)?;
        let counts = reply.term == self.term() && reply.is_within(now, self.timing.reply_age_max);
        counts.then(|| now.since(reply.asked_at))
    }

    fn support(&self, now: Millis, voters: &Voters) -> Support {
        let ages = voters
            .names()
            .filter_map(|name| self.support_age(now, name));
        let none = Support {
            voters: voters.len(),
            ..Support::default()
        };
        ages.fold(none, Support::with)
    }

    /// Returns what the right of this host to act rests on; `highest_term` is the highest term that it knows.
    #[must_use]
    pub fn mandate(&self, now: Millis, highest_term: u64) -> Mandate {
        let lease_age = now.since(self.confirmed_at);
        let complete_age = now.since(self.confirmed_at.max(self.complete_at));
        let mandate = |basis, support| Mandate {
            basis,
            lease_age,
            support,
            complete_age,
        };
        if highest_term > self.term() {
            return mandate(Basis::Nothing, Support::default());
        }
        if lease_age < self.timing.lease_trusted {
            return mandate(Basis::StoreLease, Support::default());
        }
        let support = self.support(now, &self.voters);
        let supports = |name: &HostName| self.support_age(now, name).is_some();
        let supported = self.voter_sets().all(|voters| voters.is_majority(supports));
        let is_in_time = self.is_only_voter() || complete_age <= self.timing.support_max;
        if supported && is_in_time && lease_age <= self.timing.outage_max {
            mandate(Basis::Support, support)
        } else {
            mandate(Basis::Nothing, support)
        }
    }

    /// Returns `true` if every voter, and every host of `others`, replied to a query at most [`TermTiming::reply_age_max`]
    /// old that the store is unavailable to it. A host without such a reply may still reach the store, and may be elected.
    pub fn all_lost_store<'a>(
        &self,
        now: Millis,
        mut others: impl Iterator<Item = &'a HostName>,
    ) -> bool {
        let lost = |name: &HostName| {
            let reply = self.replies.get(name);
            reply.is_some_and(|r| !r.store_reachable && self.support_age(now, name).is_some())
        };
        let mut voters = self.voter_sets().flat_map(Voters::names);
        voters.all(|name| *name == self.campaign.host || lost(name)) && others.all(lost)
    }

    /// Returns when it was found that no majority of the voters supports an earlier leader, or `None` if one may still
    /// act. An earlier leader may count replies for [`TermTiming::reply_age_max`] after that.
    pub fn predecessor_stopped(&mut self, now: Millis) -> Option<Millis> {
        self.update_predecessor(now);
        self.predecessor_stopped
    }

    fn update_predecessor(&mut self, now: Millis) {
        if self.predecessor_stopped.is_none() && self.is_predecessor_stopped(now) {
            self.predecessor_stopped = Some(now);
        }
    }

    fn is_predecessor_stopped(&self, now: Millis) -> bool {
        let campaign = &self.campaign;
        let Some(former) = &campaign.former_voters else {
            return true;
        };
        let knows = |name: &HostName| {
            let reply = self.replies.get(name);
            *name == campaign.host || reply.is_some_and(|r| r.term >= campaign.term)
        };
        let predecessor_max = self.timing.predecessor_max(former.contains(&campaign.host));
        former.prevents_majority(knows) || now.since(self.elected_at) >= predecessor_max
    }

    /// Returns `true` if the voters may be changed: the lease was confirmed recently, no earlier leader is supported, and no
    /// change is under way.
    pub fn may_change_voters(&mut self, now: Millis, highest_term: u64) -> bool {
        let by_store = self.mandate(now, highest_term).basis == Basis::StoreLease;
        by_store && self.next_voters.is_none() && self.predecessor_stopped(now).is_some()
    }

    /// Records that a write of these voters is about to be sent.
    pub fn begin_voters(&mut self, voters: Voters) {
        self.next_voters = Some(voters);
    }

    /// Returns the voters whose write has no known outcome yet.
    #[must_use]
    pub const fn next_voters(&self) -> Option<&Voters> {
        self.next_voters.as_ref()
    }

    /// Records that the write of the voters was stored.
    pub fn voters_written(&mut self) {
        if let Some(voters) = self.next_voters.take() {
            self.voters = voters;
        }
    }

    /// Records that the write of the voters certainly was not and will not be stored.
    pub fn voters_discarded(&mut self) {
        self.next_voters = None;
    }
}
