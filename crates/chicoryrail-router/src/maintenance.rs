//! Periodic maintenance of the process: readiness, paths to other hosts and servers, and the log.

use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_runtime::LogSink;
use rand::seq::IteratorRandom;

use crate::state::Router;
use crate::state::check_path;

/// Interval of the periodic maintenance.
const MAINTENANCE_INTERVAL: Millis = Millis(100);

/// Delay of a maintenance round from which a pause of the process is logged.
const PAUSE_LOGGED_MIN: Millis = Millis(300);

/// Periodic maintenance: updates readiness, flushes the log, logs pauses of the process, and removes servers whose
/// missing entries have expired.
pub(crate) async fn run_maintenance(router: Rc<Router>, sink: LogSink) {
    let mut last = router.now();
    loop {
        router.process.clock.sleep(MAINTENANCE_INTERVAL).await;
        let now = router.now();
        let late = now.since(last + MAINTENANCE_INTERVAL);
        if late > PAUSE_LOGGED_MIN {
            router.counters.pauses.inc();
            router.counters.paused_time.inc_by(late.0);
            log::warn!(late_ms = late.0; "paused");
        }
        last = now;
        router.apply_view_changes(&[]);
        update_config_age(&router);
        router.counters.held_bytes.set(router.budget.held() as i64);
        maintain_paths(&router);
        let ready = can_serve(&router);
        if ready != router.process.is_ready() && !router.process.stop.is_cancelled() {
            log::info!(ready = ready; "readiness");
            router.process.set_ready(ready);
        }
        sink.flush();
    }
}

/// Closes unused connections to other hosts. While this host finds no way to servers it gets no requests that would
/// show when there is one again, so it checks a random server of each service.
fn maintain_paths(router: &Rc<Router>) {
    let now = router.now();
    let misses = router.misses_key_paths();
    router.reach.borrow_mut().set_misses_servers(misses);
    if !router.forwarders.is_empty() {
        let addrs = router.peers.borrow().addrs();
        router.forwarders.tidy(now, |addr| addrs.contains(&addr));
    }
    if !router.server_reach.is_blocked(now) {
        return;
    }
    for service in router.services() {
        let targets = service.targets.borrow();
        if let Some(target) = targets.values().choose(&mut rand::rng()) {
            check_path(router, &service, target);
        }
    }
}

fn update_config_age(router: &Router) {
    let age = router.organisations.freshness().age(router.now());
    router
        .counters
        .config_age
        .set(age.map_or(-1, |a| a.0 as i64));
}

/// Returns `true` if this host can serve callers: it has a configuration, and some service has a server that may
/// receive requests. It can't if it may have missed revocations of API keys and is isolated from the other hosts.
fn can_serve(router: &Router) -> bool {
    let now = router.now();
    let known = router.has_first_content();
    // If all hosts have lost the store, another host would refuse requests with API keys too: the host stays ready.
    let needs_keys = router.site().is_some_and(|s| s.organisations().is_some());
    let refuses_callers =
        needs_keys && !router.is_config_fresh(now) && !router.has_peer_contact(now);
    known
        && !refuses_callers
        && !router.server_reach.is_blocked(now)
        && router
            .services()
            .iter()
            .any(|s| s.has_accepting_target(now))
}
