//! Periodic work of a host that schedules: waiting requests, rendezvous hashing and log lines.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::SchedulerHost;

use crate::control::scheduling::requests::poll;
use crate::messages::PartName;
use crate::messages::ServerPace;
use crate::state::Router;

/// Time between two polls of waiting requests. It covers changes that no message reports to the scheduler: a server
/// warms up, ends a pause, or is granted its keys.
const WAITING_POLL_INTERVAL: Millis = Millis(15);

/// Time between two log lines on each scheduler's utilisation.
const LOG_INTERVAL: Millis = Millis(1_000);

/// Time between two evaluations of which servers this host schedules. It decides the rate of requests to servers that
/// are warming up, and that rate allows for two hosts that schedule for the same server.
const RENDEZVOUS_INTERVAL: Millis = Millis(100);

/// Polls the schedulers for waiting requests, and updates which servers this host schedules.
pub(crate) async fn run_schedulers(router: Rc<Router>) {
    let mut logged = router.now();
    let mut evaluated = (Millis::ZERO, 0);
    loop {
        router.process.clock.sleep(WAITING_POLL_INTERVAL).await;
        if router.now().since(evaluated.0) >= RENDEZVOUS_INTERVAL {
            evaluated = (router.now(), update_scheduled(&router, evaluated.1));
        }
        if router.now().since(logged) >= LOG_INTERVAL {
            logged = router.now();
            log_schedulers(&router);
        }
        for part in waiting_parts(&router) {
            poll(&router, &part);
        }
    }
}

fn waiting_parts(router: &Router) -> Vec<PartName> {
    let schedulers = router.schedulers.by_part.borrow();
    let waiting = schedulers.iter().filter(|(_, s)| s.queue_length() > 0);
    waiting.map(|(part, _)| part.clone()).collect()
}

/// Updates for each server whether this host schedules it, by rendezvous hashing. `previous` identifies the set of
/// schedulers at the last call: while it is unchanged, only new servers are evaluated. Returns the current one.
fn update_scheduled(router: &Router, previous: u64) -> u64 {
    let current = router.peers.borrow().schedulers_hash(router.now());
    let changed = current != previous;
    for service in router.services() {
        for target in service.targets.borrow().values() {
            if changed || target.scheduled_here.get().is_none() {
                let here = router.target_scheduler(&service, target) == SchedulerHost::Here;
                target.scheduled_here.set(Some(here));
            }
        }
    }
    current
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

/// Logs the utilisation of each scheduler.
fn log_schedulers(router: &Router) {
    for (part, scheduler) in router.schedulers.by_part.borrow().iter() {
        let (busy, slots) = scheduler.occupancy();
        log::info!(service:% = part.service, dc:? = part.dc, waiting = scheduler.queue_length(),
            busy = busy, slots = slots; "scheduler");
    }
}
