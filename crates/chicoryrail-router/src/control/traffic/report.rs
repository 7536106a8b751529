//! Reports the traffic of watched services to the leader, which writes it to the store.

use std::collections::BTreeMap;
use std::rc::Rc;

use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::store_key::traffic_state_key;
use chicoryrail_platform::OWN_PREFIX;
use chicoryrail_platform::Txn;

use crate::control::config_feed::store_call;
use crate::control::leader::LeaderTerm;
use crate::control::traffic::board::LISTED_MAX;
use crate::control::traffic::tally::Tally;
use crate::messages::Packet;
use crate::messages::TrafficReport;
use crate::state::Router;
use crate::state::Service;

/// Time between two reports, and between two writes of the state.
const REPORT_INTERVAL: Millis = Millis(1_000);

/// Counts of each watched service at the last report, and when that was.
type Tallies = BTreeMap<ServiceName, (Millis, Tally)>;

/// Reports the traffic of watched services of the configuration each second, and writes their state while this host
/// leads. Does nothing while no service is watched, and while the store is down: an operator could not read the result.
pub(crate) async fn report_traffic(router: Rc<Router>, leadership: Rc<LeaderTerm>) {
    let mut tallies = Tallies::new();
    loop {
        let seen = router.traffic.watch_changed.version();
        let mut watched = router.traffic.watched();
        let site = router.site();
        watched.retain(|s, _| site.as_ref().is_some_and(|site| site.service(s).is_some()));
        tallies.retain(|service, _| watched.contains_key(service));
        leadership.traffic.retain(|s| watched.contains_key(s));
        if router.traffic.watched().is_empty() {
            router.traffic.watch_changed.wait_past(seen).await;
            continue;
        }
        if router.store_up.get() {
            for (service, watch) in &watched {
                report(&router, &leadership, &mut tallies, (service, *watch)).await;
            }
            if router.leading_term.get() > 0 {
                for service in watched.keys() {
                    write_state(&router, &leadership, service).await;
                }
            }
        }
        router.process.clock.sleep(REPORT_INTERVAL).await;
    }
}

/// Reports what was counted since the last report on a service; the first look only sets where counting begins.
async fn report(
    router: &Rc<Router>,
    leadership: &LeaderTerm,
    tallies: &mut Tallies,
    (service, watch): (&ServiceName, u64),
) {
    let now = router.now();
    let tally = Tally::read(&router.counters, service);
    let former = tallies.insert(service.clone(), (now, tally.clone()));
    let Some((at, before)) = former else {
        return;
    };
    let counted = tally.since(&before);
    let mut report = TrafficReport {
        host: router.boot().host.clone(),
        service: service.clone(),
        window: now.since(at).0 as u32,
        requests: counted.requests as u32,
        causes: narrow(counted.causes),
        kinds: narrow(counted.kinds),
        slots: 0,
        busy: 0,
        waiting: 0,
        servers: Vec::new(),
    };
    add_schedulers(router, &router.service(service), &mut report);
    report.fit();
    if router.leading_term.get() > 0 {
        leadership.traffic.record(now, watch, report);
        return;
    }
    let leader = router.peers.borrow().leader_addr();
    if let Some(leader) = leader {
        let packet = Packet::Traffic(report);
        router.peer_socket.send(&packet, leader).await;
    }
}

/// Adds the state of the service's schedulers on this host.
fn add_schedulers(router: &Router, service: &Service, report: &mut TrafficReport) {
    let schedulers = router.schedulers.by_part.borrow();
    let own = schedulers
        .iter()
        .filter(|(part, _)| part.service == service.name);
    let targets = service.targets.borrow();
    let scheduled = targets
        .values()
        .filter(|t| t.scheduled_here.get() == Some(true) && t.is_ready());
    report.slots = scheduled.clone().map(|t| t.usable_slots()).sum();
    for (part, scheduler) in own {
        report.busy += scheduler.occupancy().0 as u32;
        report.waiting += scheduler.queue_length() as u32;
        let servers = scheduled.clone().filter(|t| part.contains(&t.dc));
        let servers = servers.map(|t| (t.life.name.clone(), scheduler.slowness(t.id) as f32));
        report.servers.extend(servers);
    }
    let slowest = |a: &(ServerName, f32), b: &(ServerName, f32)| b.1.total_cmp(&a.1);
    report.servers.sort_by(slowest);
    report.servers.truncate(LISTED_MAX);
}

fn narrow(counts: BTreeMap<String, u64>) -> Vec<(String, u32)> {
    let counts = counts.into_iter();
    counts.map(|(name, count)| (name, count as u32)).collect()
}

/// Writes the state of a service to the store. A failed write is repeated with the next state.
async fn write_state(router: &Router, leadership: &LeaderTerm, service: &ServiceName) {
    let now = router.now();
    let keys = leadership.busiest_keys(service, LISTED_MAX);
    let Some(state) = leadership.traffic.state(now, service, keys) else {
        return;
    };
    let value = serde_json::to_vec(&state).unwrap_or_default();
    let key = format!("{OWN_PREFIX}{}", traffic_state_key(service));
    let txn = Txn::default().put(&key, &value);
    if let Err(e) = store_call(router, "traffic", router.store.commit(&txn)).await {
        log::info!(service:% = service, error:% = e; "traffic_unwritten");
    }
}
