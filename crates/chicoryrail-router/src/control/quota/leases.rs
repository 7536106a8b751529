//! Leases of organisations' quota tokens from the leader to the hosts that schedule.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::OrganisationName;
use chicoryrail_policy::PoolParams;
use chicoryrail_policy::QUOTA_LEADER_TIMEOUT;
use chicoryrail_policy::QuotaPool;
use monoio::time::timeout;

use crate::messages::Packet;
use crate::messages::QuotaGrants;
use crate::messages::QuotaReports;
use crate::state::Router;

/// Time between two reports of a host to the leader.
const REPORT_INTERVAL: Millis = Millis(100);

/// Minimum time between two reports when an organisation's tokens run low.
const REPORT_INTERVAL_LOW: Millis = Millis(20);

/// Time between two checks whether there is a limit to report on.
const IDLE_INTERVAL: Millis = Millis(250);

/// Largest number of organisations in one report, so that the datagram fits into one packet.
const ORGANISATIONS_PER_REPORT: usize = 24;

/// Token pools of all limited organisations, from which this host grants tokens while it leads.
#[derive(Debug, Default)]
pub(crate) struct QuotaPools {
    state: RefCell<PoolState>,
}

#[derive(Debug, Default)]
struct PoolState {
    term: u64,
    /// When the first report of the term was received.
    started: Millis,
    pools: BTreeMap<OrganisationName, QuotaPool>,
    /// When each host last reported. Standalone hosts, which spend their own share of the limits, are left out.
    last_reports: BTreeMap<HostName, Millis>,
}

impl QuotaPools {
    /// Applies a host's report and returns the tokens granted to it; `None` while this host does not lead.
    ///
    /// A new leader starts with empty pools, since tokens that its predecessor granted may still be spent.
    pub(crate) fn handle_report(
        &self,
        router: &Router,
        reports: &QuotaReports,
    ) -> Option<QuotaGrants> {
        let term = router.leading_term.get();
        if term == 0 || router.site().is_none() {
            return None;
        }
        let now = router.now();
        let mut state = self.state.borrow_mut();
        if state.term != term {
            *state = PoolState {
                term,
                started: now,
                ..PoolState::default()
            };
        }
        if reports.lone {
            state.last_reports.remove(&reports.host);
        } else {
            state.last_reports.insert(reports.host.clone(), now);
        }
        state
            .last_reports
            .retain(|_, at| now.since(*at) <= QUOTA_LEADER_TIMEOUT);
        let schedulers = router.peers.borrow().core_host_count();
        let connected_fraction = state.last_reports.len() as f64 / schedulers as f64;
        let tolerance = router.quota_tolerance();
        let mut grants = Vec::new();
        for (name, report) in &reports.reports {
            let Some(limit) = router.quota.limit(name) else {
                continue;
            };
            let params = PoolParams {
                term,
                limit,
                tolerance,
                schedulers,
                connected_fraction,
            };
            let started = state.started;
            let pools = &mut state.pools;
            let pool = pools
                .entry(name.clone())
                .or_insert_with(|| QuotaPool::new(started));
            let grant = pool.report(now, &reports.host, *report, &params);
            grants.push((name.clone(), grant));
        }
        Some(QuotaGrants {
            term,
            grants,
            instance: reports.instance,
        })
    }
}

/// Reports this host's use of tokens to the leader at intervals, and sooner when an organisation's tokens run low.
pub(crate) async fn report_quota_use(router: Rc<Router>, pools: Rc<QuotaPools>) {
    loop {
        if !router.source.is_core_host.get() || !router.quota.has_limits() {
            router.process.clock.sleep(IDLE_INTERVAL).await;
            continue;
        }
        let low = router.quota.low_tokens.version();
        router.process.clock.sleep(REPORT_INTERVAL_LOW).await;
        let left = REPORT_INTERVAL - REPORT_INTERVAL_LOW;
        let _ = timeout(left.to_duration(), router.quota.low_tokens.wait_past(low)).await;
        send_reports(&router, &pools).await;
    }
}

async fn send_reports(router: &Rc<Router>, pools: &QuotaPools) {
    let mut reports = router.quota.take_due_reports(router);
    let leader = router.peers.borrow().leader_addr();
    // Sent even if it is empty: the report shows the leader that this host receives its grants.
    loop {
        let rest = reports.split_off(reports.len().min(ORGANISATIONS_PER_REPORT));
        let packet = QuotaReports {
            host: router.boot().host.clone(),
            lone: router.quota.is_standalone(router.now()),
            reports,
            instance: router.process.instance_id,
        };
        if let Some(grants) = pools.handle_report(router, &packet) {
            router.quota.apply_grants(router.now(), &grants);
        } else if let Some(leader) = leader {
            let packet = Packet::QuotaReports(packet);
            router.peer_socket.send(&packet, leader).await;
        }
        if rest.is_empty() {
            return;
        }
        reports = rest;
    }
}

/// Replies to another host's report with grants while this host leads.
pub(crate) fn reply_to_report(
    router: &Rc<Router>,
    pools: &QuotaPools,
    reports: &QuotaReports,
    from: SocketAddr,
) {
    if let Some(grants) = pools.handle_report(router, reports) {
        router
            .peer_socket
            .send_detached(Packet::QuotaGrants(grants), from);
    }
}

/// Applies the leader's grants. Grants of an older term are ignored: a leader that was replaced may not know it yet,
/// and the new leader would grant the same tokens again. So are those to an earlier process at this address.
pub(crate) fn apply_grants(router: &Router, grants: &QuotaGrants) {
    let is_current = grants.term >= router.peers.borrow().highest_term();
    if is_current && grants.instance == router.process.instance_id {
        router.quota.apply_grants(router.now(), grants);
    }
}
