//! What a host that schedules does at intervals, whatever is asked of it.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_ownership::SchedulerHost;

use crate::control::scheduling::requests::poll;
use crate::state::Router;
use crate::talk::PartName;
use crate::talk::ServerPace;

/// Time between two looks at requests that wait for what no message tells the scheduler: a server that warms up,
/// rests, or gets its keys.
const WAITING_POLL_INTERVAL: Millis = Millis(15);

/// Time between two log lines on how full the schedulers are.
const LOG_INTERVAL: Millis = Millis(1_000);

/// Time between two looks for which servers this host schedules: what it decides by that, the pace of cold servers,
/// reckons with two schedulers.
const RENDEZVOUS_INTERVAL: Millis = Millis(100);

/// Looks at the requests that wait here.
pub(crate) async fn tend(router: Rc<Router>) {
    let mut logged = router.now();
    let mut drawn = (Millis::ZERO, 0);
    loop {
        router.process.clock.sleep(WAITING_POLL_INTERVAL).await;
        if router.now().since(drawn.0) >= RENDEZVOUS_INTERVAL {
            drawn = (router.now(), draw(&router, drawn.1));
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
    let waiting = schedulers.iter().filter(|(_, s)| s.waiting() > 0);
    waiting.map(|(part, _)| part.clone()).collect()
}

/// Notes for which servers this host schedules, where hosts or servers changed since the hosts were `before`; returns
/// the hosts' mark.
fn draw(router: &Router, before: u64) -> u64 {
    let mark = router.peers.borrow().schedulers_mark(router.now());
    let changed = mark != before;
    for service in router.services() {
        for target in service.targets.borrow().values() {
            if changed || target.ours.get().is_none() {
                let ours = router.target_scheduler(&service, target) == SchedulerHost::Here;
                target.ours.set(Some(ours));
            }
        }
    }
    mark
}

/// Returns how much the servers do for which this host schedules.
pub(crate) fn paces(router: &Router) -> Vec<ServerPace> {
    let schedulers = router.schedulers.by_part.borrow();
    let mut paces = Vec::new();
    // The leader weighs servers that hold keys, and no others.
    let keyed = router.services().into_iter().filter(|s| s.is_keyed());
    for service in keyed {
        let Some(scheduler) = schedulers.get(&PartName::whole(&service.name)) else {
            continue;
        };
        let targets = service.targets.borrow();
        let ours = targets.values().filter(|t| t.ours.get() == Some(true));
        paces.extend(ours.map(|t| ServerPace {
            server: t.life.clone(),
            speed: scheduler.speed(t.id) as f32,
            limited_slots: scheduler.limited_slots(t.id).map(|s| s as f32),
        }));
    }
    paces
}

/// Logs how full the schedulers are.
fn log_schedulers(router: &Router) {
    for (part, scheduler) in router.schedulers.by_part.borrow().iter() {
        let (busy, slots) = scheduler.filled();
        log::info!(service:% = part.service, dc:? = part.dc, waiting = scheduler.waiting(), busy = busy, slots = slots; "scheduler");
    }
}
