//! Periodic work of a host that schedules: waiting requests, rendezvous hashing and log lines.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::SchedulerHost;
use monoio::time::timeout;

use crate::control::scheduling::decisions::assign_waiting;
use crate::control::scheduling::request_reports::report_requests;
use crate::control::scheduling::server_bytes::log_bytes;
use crate::messages::PartName;
use crate::messages::ServerPace;
use crate::state::Router;
use crate::state::Service;

/// Time between two attempts to assign waiting requests. It covers changes that no message reports to the scheduler: a
/// server warms up, ends a pause, or is granted its keys.
const WAITING_POLL_INTERVAL: Millis = Millis(15);

/// Time between two log lines on each scheduler's utilisation.
const LOG_INTERVAL: Millis = Millis(1_000);

/// Time between two evaluations of which servers this host schedules. Which host schedules a server also decides
/// the rate of requests to it during its warm-up, and that rate allows for two hosts that schedule the same server.
const RENDEZVOUS_INTERVAL: Millis = Millis(100);

/// Time after the start of the process in which all servers may have been scheduled by another host.
const START_TIME: Millis = Millis(3_000);

/// Largest number of servers that are evaluated at once. More would delay requests for longer than the hosts that query
/// this one wait.
const EVALUATED_MAX: usize = 2_000;

/// Assigns waiting requests at intervals, and updates which servers this host schedules.
pub(crate) async fn run_schedulers(router: Rc<Router>) {
    let mut logged = router.now();
    let mut rendezvous = Rendezvous::default();
    loop {
        await_waiting(&router).await;
        if router.now().since(rendezvous.evaluated_at) >= RENDEZVOUS_INTERVAL {
            rendezvous.evaluate(&router);
            report_requests(&router);
        }
        if router.now().since(logged) >= LOG_INTERVAL {
            logged = router.now();
            log_schedulers(&router);
            log_bytes(&router);
        }
        for part in waiting_parts(&router) {
            assign_waiting(&router, &part);
        }
    }
}

/// Waits until the waiting requests are due to be looked at, or the next evaluation if none waits.
async fn await_waiting(router: &Router) {
    let seen = router.schedulers.enqueued.version();
    if !waiting_parts(router).is_empty() {
        router.process.clock.sleep(WAITING_POLL_INTERVAL).await;
        return;
    }
    let enqueued = router.schedulers.enqueued.wait_past(seen);
    let _ = timeout(RENDEZVOUS_INTERVAL.to_duration(), enqueued).await;
}

fn waiting_parts(router: &Router) -> Vec<PartName> {
    let schedulers = router.schedulers.by_part.borrow();
    let waiting = schedulers.iter().filter(|(_, s)| s.queue_length() > 0);
    waiting.map(|(part, _)| part.clone()).collect()
}

/// The evaluation of which servers this host schedules.
#[derive(Debug, Default)]
struct Rendezvous {
    evaluated_at: Millis,
    /// Hash of the set of schedulers at the last evaluation; 0 on a leaf host.
    schedulers: u64,
    /// Number of different sets of schedulers so far.
    generation: u64,
}

impl Rendezvous {
    /// Evaluates by rendezvous hashing which servers this host schedules: new ones, and all after a change of the set of
    /// schedulers, at most [`EVALUATED_MAX`] at once.
    fn evaluate(&mut self, router: &Router) {
        self.evaluated_at = router.now();
        // A leaf host schedules nothing unless it knows no core host.
        let knows_others = router
            .peers
            .borrow()
            .recent_peers(router.now())
            .next()
            .is_some();
        if knows_others && !router.source.is_core_host.get() {
            self.schedulers = 0;
            return;
        }
        let schedulers = router.peers.borrow().schedulers_hash(router.now());
        if self.schedulers != schedulers {
            self.schedulers = schedulers;
            self.generation += 1;
        }
        let mut left = EVALUATED_MAX;
        for service in router.services() {
            for target in service.targets.borrow().values() {
                let is_current = target.scheduled_generation.get() == self.generation;
                if is_current && target.scheduled_here.get().is_some() {
                    continue;
                }
                if left == 0 {
                    return;
                }
                left -= 1;
                let here = router.target_scheduler(&service, target) == SchedulerHost::Here;
                let before = target.scheduled_here.replace(Some(here));
                if before != Some(here) {
                    target.scheduled_since.set(self.evaluated_at);
                    if here && may_have_requests(router, &service, before) {
                        target.taken_over_at.set(Some(self.evaluated_at));
                    }
                    service.record_change(target);
                }
                target.scheduled_generation.set(self.generation);
            }
        }
    }
}

/// Returns `true` if a server that this host begins to schedule may have requests that another host assigned, which are
/// reported to this one. `before` is whether this host scheduled the server; `None` if it did not know the server.
fn may_have_requests(router: &Router, service: &Service, before: Option<bool>) -> bool {
    // A process that has just started can't tell new servers from those that another host scheduled.
    let was_scheduled = before.is_some()
        || router.now() < START_TIME && router.peers.borrow().core_host_count() > 1;
    let site = router.site();
    was_scheduled && site.is_some_and(|site| site.tolerates_waiting(&service.name))
}

/// Returns the slowness reports on the servers with keys that this host schedules.
pub(crate) fn slowness_reports(router: &Router) -> Vec<ServerPace> {
    let schedulers = router.schedulers.by_part.borrow();
    let mut reports = Vec::new();
    // The leader uses the rates only to plan the assignment of keys.
    let keyed = router.services().into_iter().filter(|s| s.is_keyed());
    for service in keyed {
        let Some(scheduler) = schedulers.get(&PartName::unpartitioned(&service.name)) else {
            continue;
        };
        let targets = service.targets.borrow();
        let scheduled = targets
            .values()
            .filter(|t| t.scheduled_here.get() == Some(true));
        reports.extend(scheduled.map(|t| ServerPace {
            server: t.life.clone(),
            speed: scheduler.slowness(t.id) as f32,
            limited_slots: scheduler.limited_slots(t.id).map(|s| s as f32),
        }));
    }
    reports
}

/// Logs the utilisation of each scheduler, and counts what it decided about callers that have time to wait or to return.
fn log_schedulers(router: &Router) {
    for (part, scheduler) in router.schedulers.by_part.borrow_mut().iter_mut() {
        let (busy, slots) = scheduler.occupancy();
        log::info!(service:% = part.service, dc:? = part.dc, waiting = scheduler.queue_length(),
            busy = busy, slots = slots; "scheduler");
        let events = scheduler.take_caller_events();
        if events.is_empty() {
            continue;
        }
        router.counters.count_caller_events(&part.service, events);
        log::info!(service:% = part.service, dc:? = part.dc, booked = events.booked,
            honoured = events.honoured, too_early = events.too_early, too_late = events.too_late,
            shares = events.shares_applied, places = scheduler.booked_places(); "returns");
    }
}
