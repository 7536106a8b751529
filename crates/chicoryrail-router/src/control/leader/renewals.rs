//! What this host renews for the leader.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::keys::GrantOutcome;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::KeyTiming;
use chicoryrail_ownership::keys::Renewal;
use chicoryrail_ownership::keys::RenewalOrder;
use chicoryrail_ownership::keys::RenewalTask;
use chicoryrail_ownership::keys::Renewer;
use chicoryrail_runtime::ChangeSignal;

use crate::messages::ConfirmedGrant;
use crate::messages::FailedGrant;
use crate::messages::GrantFailure;
use crate::messages::OrderContent;
use crate::messages::RenewalReply;
use crate::messages::RenewalReport;
use crate::messages::ServiceOrder;

/// Renewals of all services that this host does for the leader.
#[derive(Debug, Default)]
pub(crate) struct Renewals {
    services: RefCell<BTreeMap<ServiceName, ServiceRenewals>>,
    /// Notified when the leader replied to a poll.
    pub(super) replied: ChangeSignal,
}

/// How a renewal ended.
#[derive(Clone, Copy, Debug)]
pub(super) enum RenewalResult {
    /// The permit ended, or the order changed, before it was sent.
    NotSent,
    /// The call ended.
    Ended(GrantOutcome),
    /// The server confirmed it, and said that it is draining.
    Draining,
}

/// Permit to renew the key leases of a service, at one check.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Permit {
    /// Term of the leader that gave it.
    pub(super) term: u64,
    /// Time since the poll that it counts from.
    pub(super) age: Millis,
    /// Whether renewals may be sent.
    pub(super) holds: bool,
}

#[derive(Debug)]
struct ServiceRenewals {
    renewer: Renewer,
    version: u64,
    /// Servers that said in response to a renewal that they are draining.
    draining: BTreeSet<Life>,
}

impl Default for ServiceRenewals {
    fn default() -> Self {
        Self {
            renewer: Renewer::new(KeyTiming::default()),
            version: 0,
            draining: BTreeSet::new(),
        }
    }
}

impl Renewals {
    pub(super) fn has_news(&self) -> bool {
        let services = self.services.borrow();
        services.values().any(|s| s.renewer.has_news())
    }

    /// Returns `true` if most servers of a service leave this host's renewals unanswered.
    pub(super) fn fails_most(&self) -> bool {
        let services = self.services.borrow();
        services.values().any(|s| s.renewer.fails_most())
    }

    pub(super) fn is_permitted(&self, now: Millis) -> bool {
        let services = self.services.borrow();
        services.values().any(|s| s.renewer.is_permitted(now))
    }

    /// Returns the reports on all services since the last call.
    pub(super) fn take_reports(&self, now: Millis) -> Vec<RenewalReport> {
        let mut services = self.services.borrow_mut();
        let reports = services.iter_mut().map(|(service, s)| RenewalReport {
            service: service.clone(),
            term: s.renewer.term(),
            version: s.version,
            confirmed: confirmed_grants(now, &mut s.renewer),
            failed: failed_grants(&s.renewer),
            draining: s.draining.iter().cloned().collect(),
        });
        reports.collect()
    }

    /// Applies the leader's reply to a poll that was sent at `asked_at`. A service without an order is renewed no more.
    pub(super) fn apply(&self, asked_at: Millis, reply: RenewalReply) {
        let mut services = self.services.borrow_mut();
        services.retain(|service, _| reply.orders.iter().any(|o| o.service == *service));
        for ordered in reply.orders {
            let ServiceOrder {
                service,
                version,
                order,
            } = ordered;
            let renewals = services.entry(service).or_default();
            match order {
                Some(content) => {
                    let ordered = |life: &Life| content.servers.iter().any(|s| s.server == *life);
                    renewals.draining.retain(ordered);
                    let order = renewal_order(reply.term, content);
                    renewals.renewer.apply_order(asked_at, order);
                    renewals.version = version;
                }
                None if renewals.renewer.term() == reply.term && renewals.version == version => {
                    renewals.renewer.extend(asked_at);
                }
                None => {}
            }
        }
        self.replied.notify();
    }

    /// Drops the orders of earlier terms.
    pub(super) fn drop_before(&self, term: u64) {
        let mut services = self.services.borrow_mut();
        for renewals in services.values_mut() {
            if renewals.renewer.term() < term {
                renewals.renewer.clear();
            }
        }
    }

    pub(super) fn take_due(&self, now: Millis, max: usize) -> Vec<(ServiceName, Renewal)> {
        let mut services = self.services.borrow_mut();
        let due = services.iter_mut().flat_map(|(service, s)| {
            let due = s.renewer.take_due(now, max);
            due.into_iter().map(|renewal| (service.clone(), renewal))
        });
        due.collect()
    }

    /// Returns the permit at `now` for a renewal of a service that was due.
    pub(super) fn permit(&self, now: Millis, service: &ServiceName, renewal: &Renewal) -> Permit {
        let services = self.services.borrow();
        let renewer = services.get(service).map(|s| &s.renewer);
        renewer.map_or_else(Permit::default, |renewer| Permit {
            term: renewer.term(),
            age: renewer.permit_age(now),
            holds: renewer.may_send(now, renewal),
        })
    }

    pub(super) fn record(&self, service: &ServiceName, renewal: &Renewal, result: RenewalResult) {
        let mut services = self.services.borrow_mut();
        let Some(renewals) = services.get_mut(service) else {
            return;
        };
        match result {
            RenewalResult::NotSent => renewals.renewer.not_sent(renewal),
            RenewalResult::Ended(outcome) => renewals.renewer.finished(renewal, outcome),
            RenewalResult::Draining => {
                renewals.draining.insert(renewal.life.clone());
                renewals.renewer.finished(renewal, GrantOutcome::Granted);
            }
        }
    }
}

fn confirmed_grants(now: Millis, renewer: &mut Renewer) -> Vec<ConfirmedGrant> {
    let confirmed = renewer.take_confirmed().into_iter();
    let grants = confirmed.map(|c| ConfirmedGrant {
        server: c.life,
        first: c.span.first,
        last: c.span.last,
        fence: c.fence,
        age_ms: now.since(c.sent_at).0,
    });
    grants.collect()
}

fn failed_grants(renewer: &Renewer) -> Vec<FailedGrant> {
    let failed = renewer.failed().into_iter();
    let grants = failed.map(|f| FailedGrant {
        server: f.life,
        fence: f.fence,
        failure: match f.outcome {
            GrantOutcome::StaleFence => GrantFailure::StaleFence,
            GrantOutcome::OtherServer => GrantFailure::OtherServer,
            GrantOutcome::Granted | GrantOutcome::NoResponse => GrantFailure::NoResponse,
        },
    });
    grants.collect()
}

fn renewal_order(term: u64, content: OrderContent) -> RenewalOrder {
    let tasks = content.servers.into_iter().map(|server| {
        let spans = server.spans.into_iter();
        RenewalTask {
            life: server.server,
            addr: server.addr,
            spans: spans
                .map(|(first, last)| KeyRange { first, last })
                .collect(),
        }
    });
    RenewalOrder {
        term,
        fence: content.fence,
        lease: Millis(content.lease_ms),
        tasks: tasks.collect(),
    }
}
