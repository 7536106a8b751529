//! Rate limits of organisations at a scheduler, which spends tokens that the leader grants.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;

use chicoryrail_core::Millis;
use chicoryrail_core::OrganisationName;
use chicoryrail_core::QuotaLimit;
use chicoryrail_core::Site;
use chicoryrail_policy::QUOTA_LEADER_TIMEOUT;
use chicoryrail_policy::QuotaReport;
use chicoryrail_policy::QuotaShare;
use chicoryrail_policy::ShareParams;
use chicoryrail_runtime::ChangeSignal;

use crate::messages::QuotaGrants;
use crate::state::Router;

/// Time since a request's first attempt after which it is refused if there is still no token. Its host repeats the
/// query after 120 ms (`QUEUED_POLL_INTERVAL`), so a request usually tries twice.
const TOKEN_WAIT_MAX: Millis = Millis(100);

/// Time after which the record of a waiting request is removed: no query for it has arrived for so long that it is
/// gone.
const TOKEN_WAIT_EXPIRY: Millis = Millis(2_000);

/// Quota tokens of organisations that the leader granted to this host as a scheduler.
#[derive(Debug, Default)]
pub(crate) struct QuotaShares {
    /// Organisations that have a limit.
    organisations: RefCell<BTreeMap<OrganisationName, LimitedOrganisation>>,
    /// When the leader last replied to a report; `None` if it has not since this process started.
    last_leader_reply: Cell<Option<Millis>>,
    /// Notified when an organisation runs low on tokens.
    pub(crate) low_tokens: ChangeSignal,
    /// When each waiting request began to wait for a token, by ticket.
    waiting: RefCell<HashMap<u64, Millis>>,
}

/// Outcome of taking a token for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenOutcome {
    /// The request has a token.
    Taken,
    /// The leader may grant a token shortly; the host repeats the query.
    Wait,
    /// The request is refused; a token may be available after this time.
    Refused(Millis),
}

/// An organisation with a limit, and the tokens that this host has of it.
#[derive(Debug)]
struct LimitedOrganisation {
    limit: QuotaLimit,
    share: QuotaShare,
}

impl QuotaShares {
    /// Applies the limits of a configuration. Organisations that keep a limit keep their tokens. `instance` identifies
    /// this process.
    pub(crate) fn apply_site(&self, site: &Site, instance: u64) {
        let mut old = self.organisations.take();
        let all = site.organisations().unwrap_or_default().iter();
        let limited = all.filter_map(|o| Some((&o.name, o.limit?)));
        let organisations = limited.map(|(name, limit)| {
            let old = old.remove(name);
            let before = old.as_ref().map(|s| s.limit);
            if before.is_some_and(|b| b != limit) {
                log::info!(organisation:% = name, rate = limit.rate, burst = limit.burst,
                    version = site.version; "limit_changed");
            }
            let share = old.map_or_else(|| QuotaShare::new(instance), |s| s.share);
            (name.clone(), LimitedOrganisation { limit, share })
        });
        *self.organisations.borrow_mut() = organisations.collect();
        for name in old.keys() {
            log::info!(organisation:% = name, version = site.version; "limit_gone");
        }
    }

    /// Returns `true` if any organisation has a limit.
    pub(crate) fn has_limits(&self) -> bool {
        !self.organisations.borrow().is_empty()
    }

    /// Returns the limit of an organisation; `None` if it has none.
    pub(crate) fn limit(&self, name: &OrganisationName) -> Option<QuotaLimit> {
        self.organisations.borrow().get(name).map(|s| s.limit)
    }

    fn params(&self, router: &Router, limit: QuotaLimit) -> ShareParams {
        // A leaf host schedules for itself if it sees no core host, and so may all others.
        let schedulers = match router.schedules() {
            true => router.peers.borrow().core_host_count(),
            false => router.standalone_hosts(),
        };
        ShareParams {
            limit,
            schedulers,
            standalone: self.is_standalone(router.now()),
            tolerance: router.quota_tolerance(),
        }
    }

    /// Takes a token for a request.
    ///
    /// With many schedulers that each see few requests of an organisation, a small limit has too few tokens for each
    /// scheduler to keep one. A request that finds none is therefore queried a second time, when the leader may have
    /// granted one, before it is refused.
    pub(crate) fn take(
        &self,
        router: &Router,
        name: &OrganisationName,
        ticket: u64,
    ) -> TokenOutcome {
        let now = router.now();
        let mut organisations = self.organisations.borrow_mut();
        let Some(organisation) = organisations.get_mut(name) else {
            return TokenOutcome::Taken;
        };
        let params = self.params(router, organisation.limit);
        let taken = organisation.share.try_take(now, &params);
        if organisation.share.is_low(&params) {
            self.low_tokens.notify();
        }
        match taken {
            Ok(()) => {
                self.waiting.borrow_mut().remove(&ticket);
                TokenOutcome::Taken
            }
            Err(_) if organisation.share.can_wait(&params) && self.record_wait(now, ticket) => {
                TokenOutcome::Wait
            }
            Err(after) => {
                self.waiting.borrow_mut().remove(&ticket);
                TokenOutcome::Refused(after)
            }
        }
    }

    /// Records that a request waits for a token. Returns `true` if it has waited for less than [`TOKEN_WAIT_MAX`].
    fn record_wait(&self, now: Millis, ticket: u64) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|_, since| now.since(*since) <= TOKEN_WAIT_EXPIRY);
        let since = *waiting.entry(ticket).or_insert(now);
        now.since(since) < TOKEN_WAIT_MAX
    }

    /// Returns `true` if this host is standalone: the leader has not replied for [`QUOTA_LEADER_TIMEOUT`], so that this
    /// host spends its own share of each limit without grants.
    pub(crate) fn is_standalone(&self, now: Millis) -> bool {
        let last_leader_reply = self.last_leader_reply.get();
        last_leader_reply.is_none_or(|at| now.since(at) > QUOTA_LEADER_TIMEOUT)
    }

    /// Gives back the token of a request that did not run.
    pub(crate) fn refund_token(&self, name: &OrganisationName) {
        if let Some(organisation) = self.organisations.borrow_mut().get_mut(name) {
            organisation.share.refund();
        }
    }

    /// Returns the reports to the leader that are due, one per organisation. This gives back surplus tokens and resets
    /// the counts of demand, so each report must be sent.
    pub(crate) fn take_due_reports(&self, router: &Router) -> Vec<(OrganisationName, QuotaReport)> {
        let now = router.now();
        let mut reports = Vec::new();
        for (name, organisation) in self.organisations.borrow_mut().iter_mut() {
            let params = self.params(router, organisation.limit);
            if organisation.share.is_due(now, &params) {
                reports.push((name.clone(), organisation.share.report(now, &params)));
            }
        }
        reports
    }

    /// Applies the grants that the leader sent to this process.
    pub(crate) fn apply_grants(&self, now: Millis, grants: &QuotaGrants) {
        self.last_leader_reply.set(Some(now));
        let mut organisations = self.organisations.borrow_mut();
        for (name, grant) in &grants.grants {
            if let Some(organisation) = organisations.get_mut(name) {
                organisation.share.apply_grant(grants.instance, *grant);
            }
        }
    }
}
