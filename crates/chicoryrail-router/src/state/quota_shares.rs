//! Rate-limit tokens of organisations that the leader granted to this host as a scheduler.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;

use chicoryrail_core::Millis;
use chicoryrail_core::OrganisationName;
use chicoryrail_core::QuotaLimit;
use chicoryrail_core::Site;
use chicoryrail_policy::QUOTA_LEADER_TIMEOUT;
use chicoryrail_policy::QuotaGrant;
use chicoryrail_policy::QuotaReport;
use chicoryrail_policy::QuotaShare;
use chicoryrail_policy::ShareParams;
use chicoryrail_runtime::ChangeSignal;

use crate::state::Router;

/// Longest time for which a request waits for a token; it tries again within that time.
const TOKEN_WAIT_MAX: Millis = Millis(100);

/// Time after which the record of a waiting request is removed: its caller has disconnected.
const TOKEN_WAIT_EXPIRY: Millis = Millis(2_000);

/// Rate-limit tokens of organisations that the leader granted to this host as a scheduler.
#[derive(Debug, Default)]
pub(crate) struct QuotaShares {
    shares: RefCell<BTreeMap<OrganisationName, Share>>,
    /// When the leader last replied to a report; `None` if it has not since this process started.
    last_reply: Cell<Option<Millis>>,
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
    /// A token is expected within a moment; the request tries again.
    Wait,
    /// The request is refused; a token may be available after this time.
    Refused(Millis),
}

#[derive(Debug)]
struct Share {
    limit: QuotaLimit,
    tokens: QuotaShare,
}

impl QuotaShares {
    /// Replaces the organisations that have a limit; the tokens of those that remain are kept.
    pub(crate) fn set(&self, site: &Site) {
        let mut old = self.shares.take();
        let all = site.organisations().unwrap_or_default().iter();
        let limited = all.filter_map(|o| Some((&o.name, o.limit?)));
        let shares = limited.map(|(name, limit)| {
            let old = old.remove(name);
            let before = old.as_ref().map(|s| s.limit);
            if before.is_some_and(|b| b != limit) {
                log::info!(organisation:% = name, rate = limit.rate, burst = limit.burst,
                    version = site.version; "limit_changed");
            }
            let tokens = old.map(|s| s.tokens).unwrap_or_default();
            (name.clone(), Share { limit, tokens })
        });
        *self.shares.borrow_mut() = shares.collect();
        for name in old.keys() {
            log::info!(organisation:% = name, version = site.version; "limit_gone");
        }
    }

    /// Returns whether any organisation has a limit.
    pub(crate) fn has_limits(&self) -> bool {
        !self.shares.borrow().is_empty()
    }

    /// Returns the limit of an organisation; `None` if it has none.
    pub(crate) fn limit(&self, name: &OrganisationName) -> Option<QuotaLimit> {
        self.shares.borrow().get(name).map(|s| s.limit)
    }

    fn params(&self, router: &Router, limit: QuotaLimit) -> ShareParams {
        ShareParams {
            limit,
            schedulers: router.peers.borrow().core_host_count(),
            standalone: self.is_standalone(router.now()),
            tolerance: router.quota_tolerance(),
        }
    }

    /// Takes a token for a request.
    ///
    /// With many schedulers that each see few requests of an organisation, a small limit has too few tokens for each
    /// scheduler to keep one. A request that finds none therefore waits once, up to [`TOKEN_WAIT_MAX`], for the leader
    /// to grant one.
    pub(crate) fn take(
        &self,
        router: &Router,
        name: &OrganisationName,
        ticket: u64,
    ) -> TokenOutcome {
        let now = router.now();
        let mut shares = self.shares.borrow_mut();
        let Some(share) = shares.get_mut(name) else {
            return TokenOutcome::Taken;
        };
        let params = self.params(router, share.limit);
        let taken = share.tokens.try_take(now, &params);
        if share.tokens.is_low(&params) {
            self.low_tokens.notify();
        }
        match taken {
            Ok(()) => {
                self.waiting.borrow_mut().remove(&ticket);
                TokenOutcome::Taken
            }
            Err(_) if share.tokens.can_wait(&params) && self.record_wait(now, ticket) => {
                TokenOutcome::Wait
            }
            Err(after) => {
                self.waiting.borrow_mut().remove(&ticket);
                TokenOutcome::Refused(after)
            }
        }
    }

    /// Records that a request waits for a token. Returns whether it may wait longer.
    fn record_wait(&self, now: Millis, ticket: u64) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|_, since| now.since(*since) <= TOKEN_WAIT_EXPIRY);
        let since = *waiting.entry(ticket).or_insert(now);
        now.since(since) < TOKEN_WAIT_MAX
    }

    /// Returns whether this host is standalone: the leader has not replied for [`QUOTA_LEADER_TIMEOUT`], so that this
    /// host spends its own share of each limit without grants.
    pub(crate) fn is_standalone(&self, now: Millis) -> bool {
        let last_reply = self.last_reply.get();
        last_reply.is_none_or(|at| now.since(at) > QUOTA_LEADER_TIMEOUT)
    }

    /// Returns the token of a request that did not run.
    pub(crate) fn return_token(&self, name: &OrganisationName) {
        if let Some(share) = self.shares.borrow_mut().get_mut(name) {
            share.tokens.refund();
        }
    }

    /// Returns the reports to the leader that are due, one per organisation.
    pub(crate) fn reports(&self, router: &Router) -> Vec<(OrganisationName, QuotaReport)> {
        let now = router.now();
        let mut reports = Vec::new();
        for (name, share) in self.shares.borrow_mut().iter_mut() {
            let params = self.params(router, share.limit);
            if share.tokens.is_due(now, &params) {
                reports.push((name.clone(), share.tokens.report(now, &params)));
            }
        }
        reports
    }

    /// Applies the grants that the leader sent.
    pub(crate) fn apply_grants(&self, now: Millis, grants: &[(OrganisationName, QuotaGrant)]) {
        self.last_reply.set(Some(now));
        let mut shares = self.shares.borrow_mut();
        for (name, grant) in grants {
            if let Some(share) = shares.get_mut(name) {
                share.tokens.apply_grant(*grant);
            }
        }
    }
}
