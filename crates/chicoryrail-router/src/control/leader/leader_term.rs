//! The state of this host's leadership, and the check whether it is still confirmed.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::keys::KeyLoad;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::term::Basis;
use chicoryrail_ownership::term::LeaderClaim;
use chicoryrail_ownership::term::Mandate;
use chicoryrail_runtime::ChangeSignal;

use crate::control::traffic::TrafficBoard;
use crate::messages::ServerPace;
use crate::state::Router;

/// Minimum time between two step-downs of a host for servers that it can't reach. Where each host has lost some path,
/// the leadership would otherwise go round all the time.
const STEP_DOWN_INTERVAL: Millis = Millis(10_000);

/// State of this host as the leader, shared by the tasks that act as one.
#[derive(Debug, Default)]
pub(crate) struct LeaderTerm {
    /// Current term; 0 while this host does not lead.
    pub(crate) term: Cell<u64>,
    /// What this host knows of its right to act; `None` while it does not lead.
    claim: RefCell<Option<LeaderClaim>>,
    /// What the right to act rested on at the last check.
    basis: Cell<Basis>,
    /// Whether this host is about to step down in favour of one to which more data centres are reachable.
    pub(crate) steps_down: Cell<bool>,
    /// When this host last decided to step down because it had lost the path to a server with keys.
    stepped_down_at: Cell<Option<Millis>>,
    /// Record of each keyed service, with the ranges that are not granted yet.
    pub(crate) key_updates: RefCell<BTreeMap<ServiceName, (KeyRecord, Vec<KeyRange>)>>,
    /// Notified when `key_updates` or the leadership changes.
    pub(crate) changed: ChangeSignal,
    /// Load of each service by key.
    key_loads: RefCell<BTreeMap<ServiceName, KeyLoad>>,
    /// Slowness and rate limits of servers, as reported by the hosts that schedule for them.
    slowness_reports: RefCell<BTreeMap<Life, ServerPace>>,
    /// Reports on the services that an operator watches.
    pub(crate) traffic: TrafficBoard,
}

impl LeaderTerm {
    /// Returns `true` if this host may step down because it has lost the path to a server with keys.
    pub(super) fn may_step_down_for_reach(&self, now: Millis) -> bool {
        let last = self.stepped_down_at.get();
        !self.steps_down.get() && last.is_none_or(|at| now.since(at) >= STEP_DOWN_INTERVAL)
    }

    /// Requests that this host steps down because it has lost the path to a server with keys.
    pub(super) fn step_down_for_reach(&self, now: Millis) {
        self.stepped_down_at.set(Some(now));
        self.steps_down.set(true);
    }

    /// Records keys that callers requested in the service's load.
    pub(crate) fn record_key_demand(&self, service: &ServiceName, keys: &[u16]) {
        let mut loads = self.key_loads.borrow_mut();
        let load = loads.entry(service.clone()).or_default();
        for key in keys {
            load.record(*key);
        }
    }

    /// Records slowness reports that a host sent.
    pub(crate) fn record_slowness_reports(&self, reports: Vec<ServerPace>) {
        let mut known = self.slowness_reports.borrow_mut();
        known.extend(reports.into_iter().map(|r| (r.server.clone(), r)));
    }

    /// Returns the slowness report on a server; `None` if none was reported.
    pub(crate) fn slowness_report(&self, life: &Life) -> Option<ServerPace> {
        self.slowness_reports.borrow().get(life).cloned()
    }

    /// Removes the slowness reports on servers for which `is_known` returns `false`.
    pub(crate) fn retain_slowness_reports(&self, is_known: impl Fn(&Life) -> bool) {
        self.slowness_reports
            .borrow_mut()
            .retain(|life, _| is_known(life));
    }

    /// Calls `f` with the load of a service's keys, decayed to `now`. `service_time` is the mean service time of a
    /// request.
    pub(crate) fn with_load<T>(
        &self,
        now: Millis,
        service: &ServiceName,
        service_time: Millis,
        f: impl FnOnce(&KeyLoad) -> T,
    ) -> T {
        let mut loads = self.key_loads.borrow_mut();
        let load = loads.entry(service.clone()).or_default();
        load.decay(now);
        load.set_service_time(service_time);
        f(load)
    }

    /// Returns the keys of a service with the most requests and their rates, at most `count`.
    pub(crate) fn busiest_keys(&self, service: &ServiceName, count: usize) -> Vec<(u16, f64)> {
        let loads = self.key_loads.borrow();
        let load = loads.get(service);
        load.map(|l| l.busiest_keys(count)).unwrap_or_default()
    }

    /// Begins a term.
    pub(super) fn begin(&self, claim: LeaderClaim) {
        self.term.set(claim.term());
        self.claim.replace(Some(claim));
    }

    /// Ends the term.
    pub(super) fn end(&self) {
        self.term.set(0);
        self.claim.replace(None);
        self.key_updates.borrow_mut().clear();
    }

    /// Calls `f` with the claim of the current term; returns `None` while this host does not lead.
    pub(super) fn with_claim<T>(&self, f: impl FnOnce(&mut LeaderClaim) -> T) -> Option<T> {
        self.claim.borrow_mut().as_mut().map(f)
    }

    /// Returns `true` if this host may send grants and releases to servers as the leader.
    pub(crate) fn may_act(&self, router: &Router) -> bool {
        self.mandate(router).holds()
    }

    /// Returns what the right of this host to act as the leader rests on, and logs a change of its basis.
    pub(super) fn mandate(&self, router: &Router) -> Mandate {
        let mandate = self.current_mandate(router);
        let (from, to) = (self.basis.replace(mandate.basis), mandate.basis);
        if from != to && self.term.get() > 0 {
            log::info!(term = self.term.get(), from = from.name(), to = to.name(),
                lease_age_ms = mandate.lease_age.0, hosts = mandate.support.hosts,
                voters = mandate.support.voters, oldest_ms = mandate.support.oldest.0,
                complete_age_ms = mandate.complete_age.0; "leader_basis");
        }
        mandate
    }

    fn current_mandate(&self, router: &Router) -> Mandate {
        if self.term.get() == 0 {
            return Mandate::default();
        }
        let highest_term = router.peers.borrow().highest_term();
        let mandate = self.with_claim(|claim| claim.mandate(router.now(), highest_term));
        mandate.unwrap_or_default()
    }

    /// Returns when it was found that no earlier leader is supported any longer; `None` if one may still act.
    pub(super) fn predecessor_stopped(&self, now: Millis) -> Option<Millis> {
        self.with_claim(|claim| claim.predecessor_stopped(now))?
    }

    /// Returns `true` if this host and every other one report that the store is down. A successor that votes did not report
    /// that, so it may assume that no key lease of the longer duration for outages was granted.
    pub(super) fn store_down_everywhere(&self, router: &Router) -> bool {
        if router.store_up.get() {
            return false;
        }
        let peers = router.peers.borrow();
        let lost = self.with_claim(|claim| claim.all_lost_store(router.now(), peers.names()));
        lost.unwrap_or(false)
    }
}
