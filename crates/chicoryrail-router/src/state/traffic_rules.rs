//! An operator's rules for traffic, as far as this host has read them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;

use chicoryrail_core::Millis;
use chicoryrail_core::Route;
use chicoryrail_core::ServerName;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::Pin;
use chicoryrail_policy::LimitRule;
use chicoryrail_policy::PinRule;
use chicoryrail_policy::ServerRule;
use chicoryrail_policy::Share;
use chicoryrail_policy::ShareCounter;
use chicoryrail_policy::TrafficRule;
use chicoryrail_runtime::ChangeSignal;

use crate::state::TrafficLimit;

/// The rules in force. Without any, each question costs one look at an empty list.
#[derive(Debug, Default)]
pub(crate) struct TrafficRules {
    limits: RefCell<Vec<TrafficLimit>>,
    servers: RefCell<BTreeMap<String, ServerRule>>,
    pins: RefCell<BTreeMap<String, PinRule>>,
    /// Services whose traffic an operator watches, with the revision of the entry that says so.
    watched: RefCell<BTreeMap<ServiceName, u64>>,
    /// Notified when `watched` changes.
    pub(crate) watch_changed: ChangeSignal,
}

impl TrafficRules {
    /// Puts a rule into force, in place of the one with this id. `start`, from 0 to below 1, is where the count of a new
    /// limit begins.
    pub(super) fn set(&self, id: &str, rule: TrafficRule, start: f64) {
        match rule {
            TrafficRule::Limit(rule) => self.set_limit(id, rule, start),
            TrafficRule::Server(rule) => {
                self.remove(id);
                self.servers.borrow_mut().insert(id.to_owned(), rule);
            }
            TrafficRule::Pin(rule) => {
                self.remove(id);
                self.pins.borrow_mut().insert(id.to_owned(), rule);
            }
        }
    }

    /// A limit with another share continues the count of the former one.
    fn set_limit(&self, id: &str, rule: LimitRule, start: f64) {
        let limits = self.limits.borrow();
        let former = limits.iter().find(|l| l.id == id);
        let counter = former.map_or_else(|| ShareCounter::new(start), |l| l.counter.clone());
        drop(limits);
        self.remove(id);
        let mut limits = self.limits.borrow_mut();
        limits.push(TrafficLimit::new(id.to_owned(), rule, counter));
        limits.sort_by(|a, b| a.id.cmp(&b.id));
    }

    /// Ends a rule; returns `true` if it was in force.
    pub(super) fn remove(&self, id: &str) -> bool {
        let mut limits = self.limits.borrow_mut();
        let before = limits.len();
        limits.retain(|l| l.id != id);
        let server = self.servers.borrow_mut().remove(id);
        let pin = self.pins.borrow_mut().remove(id);
        limits.len() < before || server.is_some() || pin.is_some()
    }

    /// Returns `true` if any limit is in force.
    pub(crate) fn has_limits(&self) -> bool {
        !self.limits.borrow().is_empty()
    }

    /// Counts a request, and returns the id of the first limit that refuses it.
    ///
    /// A limit counts only the requests that those before it admit, so the shares of several limits multiply.
    pub(crate) fn refuse(
        &self,
        now: Millis,
        service: &ServiceName,
        route: &Route,
        caller: IpAddr,
    ) -> Option<String> {
        let mut limits = self.limits.borrow_mut();
        let limits = limits
            .iter_mut()
            .filter(|l| l.rule.service == *service && l.rule.limited.matches(route, caller));
        for limit in limits {
            if !limit.admit() {
                limit.log(now);
                return Some(limit.id.clone());
            }
        }
        None
    }

    /// Records that an operator watches a service, with the revision of the entry, or no longer does.
    pub(super) fn set_watched(&self, service: &ServiceName, revision: Option<u64>) {
        let mut watched = self.watched.borrow_mut();
        let former = match revision {
            Some(revision) => watched.insert(service.clone(), revision),
            None => watched.remove(service),
        };
        drop(watched);
        if former != revision {
            self.watch_changed.notify();
        }
    }

    /// Returns the services whose traffic an operator watches, with the revisions of their watch entries.
    pub(crate) fn watched(&self) -> BTreeMap<ServiceName, u64> {
        self.watched.borrow().clone()
    }

    /// Returns the revision of the watch entry of a service; `None` if no operator watches it.
    pub(crate) fn watch_revision(&self, service: &ServiceName) -> Option<u64> {
        self.watched.borrow().get(service).copied()
    }

    /// Returns the share of its slots and key weight that a server is left; the smallest if several rules name it.
    pub(super) fn server_share(&self, server: &ServerName) -> Share {
        let servers = self.servers.borrow();
        let named = servers.values().filter(|r| r.server == *server);
        named
            .map(|r| r.share)
            .fold(Share::ALL, |a, b| if b < a { b } else { a })
    }

    /// Returns the pins of a service's keys, in the order of the rules' ids.
    pub(crate) fn pins(&self, service: &ServiceName) -> Vec<Pin> {
        let pins = self.pins.borrow();
        let pins = pins.values().filter(|r| r.service == *service);
        pins.map(|r| Pin {
            span: KeyRange {
                first: r.first,
                last: r.last,
            },
            server: r.server.clone(),
        })
        .collect()
    }
}
