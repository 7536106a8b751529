//! The leader's collection of the hosts' reports.

use std::cell::RefCell;
use std::collections::BTreeMap;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_policy::BusyKey;
use chicoryrail_policy::SlowServer;
use chicoryrail_policy::TrafficState;

use crate::messages::TrafficReport;

/// Age from which a report no longer counts. Hosts report each second, and a report may be lost.
const REPORT_AGE_MAX: Millis = Millis(2_500);

/// Number of busy keys and of slow servers that an operator sees.
pub(super) const LISTED_MAX: usize = 10;

/// The last report of each host on each watched service, at the leader.
#[derive(Debug, Default)]
pub(crate) struct TrafficBoard {
    services: RefCell<BTreeMap<ServiceName, Watched>>,
}

/// Reports on a watched service.
#[derive(Debug)]
struct Watched {
    /// Revision of the watch entry. A further watch begins a new collection: some hosts may have stopped in between.
    watch: u64,
    /// When the first report arrived.
    since: Millis,
    reports: BTreeMap<HostName, (Millis, TrafficReport)>,
}

impl TrafficBoard {
    /// Records a host's report; `watch` is the revision of the service's watch entry.
    pub(crate) fn record(&self, now: Millis, watch: u64, report: TrafficReport) {
        let mut services = self.services.borrow_mut();
        services.retain(|service, w| *service != report.service || w.watch == watch);
        let watched = services.entry(report.service.clone());
        let watched = watched.or_insert_with(|| Watched {
            watch,
            since: now,
            reports: BTreeMap::new(),
        });
        watched.reports.insert(report.host.clone(), (now, report));
    }

    /// Drops the reports on services for which `is_watched` returns `false`.
    pub(super) fn retain(&self, is_watched: impl Fn(&ServiceName) -> bool) {
        let mut services = self.services.borrow_mut();
        services.retain(|service, _| is_watched(service));
    }

    /// Returns the traffic of a service by the reports that are not too old; `None` if there are none. `keys` are the
    /// busiest ones.
    pub(super) fn state(
        &self,
        now: Millis,
        service: &ServiceName,
        keys: Vec<(u16, f64)>,
    ) -> Option<TrafficState> {
        let mut services = self.services.borrow_mut();
        let watched = services.get_mut(service)?;
        watched
            .reports
            .retain(|_, (at, _)| now.since(*at) < REPORT_AGE_MAX);
        if watched.reports.is_empty() {
            services.remove(service);
            return None;
        }
        let keys = keys.into_iter().map(|(key, rate)| BusyKey { key, rate });
        let mut state = TrafficState {
            watched_ms: now.since(watched.since).0,
            hosts: watched.reports.len(),
            keys: keys.collect(),
            ..TrafficState::default()
        };
        for (_, report) in watched.reports.values() {
            add(&mut state, report);
        }
        state
            .servers
            .sort_by(|a, b| b.slowness.total_cmp(&a.slowness));
        state.servers.truncate(LISTED_MAX);
        Some(state)
    }
}

fn add(state: &mut TrafficState, report: &TrafficReport) {
    let rate = |count: u32| f64::from(count) * 1_000.0 / f64::from(report.window.max(1));
    state.demand += rate(report.requests);
    for (cause, count) in &report.causes {
        *state.causes.entry(cause.clone()).or_default() += rate(*count);
    }
    for (kind, count) in &report.kinds {
        *state.kinds.entry(kind.clone()).or_default() += rate(*count);
    }
    state.slots += u64::from(report.slots);
    state.busy += u64::from(report.busy);
    state.waiting += u64::from(report.waiting);
    let servers = report.servers.iter().map(|(server, slowness)| SlowServer {
        server: server.clone(),
        slowness: f64::from(*slowness),
    });
    state.servers.extend(servers);
}
