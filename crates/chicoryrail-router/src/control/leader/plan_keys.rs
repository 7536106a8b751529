//! Plans the assignment of a service's keys to servers: when it changes, and which servers are candidates.

use std::collections::BTreeSet;
use std::sync::Arc;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::Route;
use chicoryrail_ownership::keys::KeyCandidate;
use chicoryrail_ownership::keys::KeyLoad;
use chicoryrail_ownership::keys::Moves;
use chicoryrail_ownership::keys::Plan;
use chicoryrail_ownership::keys::PlanPolicy;

use crate::control::leader::key_leader::KeyLeader;
use crate::state::Target;

/// Least time between two moves of range boundaries that balance load. A plan uses the load of the last few seconds,
/// and each move delays the moved keys' requests until the running work on these keys has ended.
const BALANCE_INTERVAL: Millis = Millis(2_500);

/// Least time between two moves that relieve an overloaded server. Only a part of the load is visible just after a
/// range of keys became busy; the next move handles the rest.
const RELIEF_INTERVAL: Millis = Millis(400);

/// Time after a change at which the record is rewritten without the former owners whose key leases have ended. If
/// they stayed in it, the next leader would wait for them as for any owner, and keys without an owner would stay
/// unserved.
const MERGE_INTERVAL: Millis = Millis(1_000);

/// Least weight of a server whose limit is close to zero. It keeps a few keys, and the responses to their requests
/// show when its limit rises again.
const LIMITED_WEIGHT_MIN: f64 = 0.05;

/// Time for which a server must be known before it is assigned keys. Servers start in groups, at the first start
/// and with each release, and every change of the record is sent to every host.
const SERVER_SETTLE_TIME: Millis = Millis(400);

/// Time without a further server after which servers are assigned keys while nobody requests any. Thousands of servers
/// take many seconds to register, and each group that is assigned keys takes them from the groups before.
const IDLE_SETTLE_TIME: Millis = Millis(1_500);

/// Longest time for which a server waits for others while nobody requests keys.
const IDLE_SETTLE_MAX: Millis = Millis(15_000);

/// Time until the next plan after one that moved nothing, such as one for servers that may not be assigned keys yet. Such
/// plans are not written: each write is sent to every host and delays the moves that balance load.
const UNMOVED_INTERVAL: Millis = Millis(100);

/// Number of recent requests from which on keys count as requested.
const REQUESTED_MIN: f64 = 1.0;

impl KeyLeader {
    /// Plans a new assignment if the set of candidates changed or the load is unbalanced. Not while the store does not
    /// answer: the change could not be written, and would be outdated when it can.
    pub(super) fn plan(&self) {
        let now = self.router.now();
        let may_write = self.router.store_up.get() && !self.leases.borrow().is_write_pending();
        if !may_write || self.doubts_reach(now) {
            return;
        }
        let service_time = self.service_time();
        // Keys leave a server with a rate limit at once: its capacity is a matter of record, not of estimates.
        let steady = self.callers_tolerate_waiting() && !self.has_limited_server();
        if steady && now.since(self.unmoved_at.get()) < UNMOVED_INTERVAL {
            return;
        }
        let candidates = self.candidates(now, self.awaits_servers(now, service_time), steady);
        // After an outage, former owners that can't be reached keep their key leases for many seconds. The load of the
        // others is balanced meanwhile; otherwise a range that becomes busy would overload its server for that time.
        let moves = match now.since(self.last_change_at.get()) {
            since if since >= BALANCE_INTERVAL => Moves::Balance,
            since if since >= RELIEF_INTERVAL => Moves::Urgent,
            _ => Moves::Required,
        };
        let mut history = self.history.borrow_mut();
        let plan = self
            .leadership
            .with_load(now, &self.service, service_time, |load| {
                let leases = self.leases.borrow();
                let policy = if steady {
                    history.observe(now, leases.record(), &candidates, load);
                    PlanPolicy::Steady(&history)
                } else {
                    PlanPolicy::Immediate
                };
                Plan::compute(leases.record(), &candidates, load, moves, policy)
            });
        let plan = self.pinned(plan, &candidates, now);
        if let Plan::Change(spans, reason) = plan {
            let moved = self.leases.borrow().record().moved_ranges(&spans);
            if steady {
                history.adopt(candidates.len(), reason, &moved);
                if moved.is_empty() {
                    self.unmoved_at.set(now);
                    return;
                }
            }
            self.last_change_at.set(now);
            let services = self.router.services();
            let is_known = |life: &Life| services.iter().any(|s| s.target(life).is_some());
            self.leadership.retain_slowness_reports(is_known);
            history.retain_servers(is_known);
            let moved_keys: u32 = moved.iter().map(|range| range.len()).sum();
            self.router
                .counters
                .moved_keys
                .with_label_values(&[self.service.as_str(), reason.name()])
                .inc_by(u64::from(moved_keys));
            log::info!(service:% = self.service, servers = candidates.len(),
                spans = spans.len(), reason = reason.name(), moved_ranges = moved.len(),
                moved_keys = moved_keys, fence = self.leases.borrow().record().fence; "keys_planned");
            self.leases.borrow_mut().begin_change(spans, rand::random());
        } else if now.since(self.last_change_at.get()) >= MERGE_INTERVAL
            && self.leases.borrow().has_stale_former_owners()
        {
            self.last_change_at.set(now);
            let spans = self.leases.borrow().record().spans.clone();
            self.leases.borrow_mut().begin_change(spans, rand::random());
        }
    }

    /// Returns `true` if a server of the service advertises a rate limit.
    fn has_limited_server(&self) -> bool {
        let service = self.router.service(&self.service);
        let targets = service.targets.borrow();
        let mut reports = targets
            .values()
            .filter_map(|t| self.leadership.slowness_report(&t.life));
        reports.any(|report| report.limited_slots.is_some())
    }

    /// Returns `true` if callers of a route to the service have time to wait or to return.
    fn callers_tolerate_waiting(&self) -> bool {
        let site = self.router.site();
        site.is_some_and(|site| site.tolerates_waiting(&self.service))
    }

    /// Returns `true` if most of the registered servers with keys leave grants unanswered: the paths of this host have
    /// then failed rather than the servers, whose keys must not go to the few that it reaches. Servers that have really
    /// ended lose their registrations.
    fn doubts_reach(&self, now: Millis) -> bool {
        let service = self.router.service(&self.service);
        let leases = self.leases.borrow();
        if !self.doubts.get() && !leases.has_unanswered() {
            return false;
        }
        let owners: BTreeSet<Life> = leases.lease_owners().into_iter().collect();
        let registered = owners.iter().filter(|life| service.target(life).is_some());
        let (lost, reached): (Vec<_>, Vec<_>) = registered.partition(|o| leases.is_lost(now, o));
        let doubts = lost.len() > reached.len();
        if doubts != self.doubts.replace(doubts) {
            log::warn!(service:% = self.service, term = self.term, doubts = doubts,
                unanswered = lost.len(), reached = reached.len(); "leader_reach");
        }
        doubts
    }

    /// Returns the mean service time of the slowest route in use; of all routes while none is.
    fn service_time(&self) -> Millis {
        let Some(site) = self.router.site() else {
            return Millis::ZERO;
        };
        let leads_here = |r: &&Arc<Route>| r.services.iter().any(|s| s.service == self.service);
        let routes = site.routes().iter().filter(leads_here);
        let observed = routes
            .clone()
            .filter_map(|r| self.router.route_stats.observed_work_us(&r.name));
        let expected = routes.map(|r| {
            self.router
                .route_stats
                .expected_work_us(&r.name, r.latency_target)
        });
        let slowest = observed
            .reduce(f64::max)
            .or_else(|| expected.reduce(f64::max));
        Millis((slowest.unwrap_or_default() / 1_000.0) as u64)
    }

    /// Returns `true` if servers are still registering and nobody requests keys meanwhile.
    fn awaits_servers(&self, now: Millis, service_time: Millis) -> bool {
        let with_load = |load: &KeyLoad| load.total() >= REQUESTED_MIN;
        if self
            .leadership
            .with_load(now, &self.service, service_time, with_load)
        {
            return false;
        }
        let service = self.router.service(&self.service);
        let targets = service.targets.borrow();
        let leases = self.leases.borrow();
        let owners: BTreeSet<&Life> = leases.record().spans.iter().map(|s| &s.owner).collect();
        let ready = targets
            .values()
            .filter(|t| t.is_ready() && !owners.contains(&t.life));
        let waits = ready.map(|t| now.since(t.first_seen));
        let (newest, oldest) = waits.fold((IDLE_SETTLE_TIME, Millis::ZERO), |(min, max), wait| {
            (min.min(wait), max.max(wait))
        });
        newest < IDLE_SETTLE_TIME && oldest < IDLE_SETTLE_MAX
    }

    /// Returns the servers that may be assigned keys, sorted: those that are ready, have not said that they drain,
    /// respond and are warmed up. If there are none, servers that are warming up are included. With `owners_only`,
    /// servers without keys are left out; with `steady`, weights follow the slowness of many seconds.
    fn candidates(&self, now: Millis, owners_only: bool, steady: bool) -> Vec<KeyCandidate> {
        let service = self.router.service(&self.service);
        let targets = service.targets.borrow();
        let leases = self.leases.borrow();
        let owners: BTreeSet<&Life> = leases.record().spans.iter().map(|s| &s.owner).collect();
        let select = |include_warmup: bool| -> Vec<KeyCandidate> {
            let ready = targets.values().filter(|t| t.is_ready());
            let ready = ready.filter(|t| !t.notices.get().is_draining());
            let ready = ready.filter(|t| !leases.is_lost(now, &t.life));
            let owns = |life: &Life| owners.contains(life);
            let has_settled =
                |t: &Target| !owners_only && now.since(t.first_seen) >= SERVER_SETTLE_TIME;
            let ready = ready.filter(|t| owns(&t.life) || has_settled(t));
            let warm = ready.filter(|t| include_warmup || !t.is_warming_up(now) || owns(&t.life));
            let mut candidates: Vec<_> = warm
                .map(|t| KeyCandidate {
                    life: t.life.clone(),
                    weight: self.weight(now, t, steady),
                })
                .collect();
            candidates.sort_by(|a, b| a.life.cmp(&b.life));
            candidates
        };
        let warm = select(false);
        if warm.is_empty() { select(true) } else { warm }
    }

    /// Returns the capacity of a server, in slots of a server of usual speed, by the slowness that the hosts which
    /// schedule for it report. A slow server with as many requests as the others would have the longest queue, and a
    /// rate-limited one refuses requests beyond its limit.
    fn weight(&self, now: Millis, target: &Target, steady: bool) -> f64 {
        let slots = f64::from(target.slots.get()) * target.share.get().fraction();
        let Some(report) = self.leadership.slowness_report(&target.life) else {
            return slots;
        };
        let mut slowness = f64::from(report.speed);
        if steady {
            let mut history = self.history.borrow_mut();
            slowness = history.smooth_slowness(now, &target.life, slowness);
        }
        let weight = slots / slowness.clamp(0.5, 2.0);
        let limited = report.limited_slots.map_or(weight, f64::from);
        limited.max(LIMITED_WEIGHT_MIN).min(weight)
    }
}
