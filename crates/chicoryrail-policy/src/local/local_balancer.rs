//! Selects a server for a request without a scheduler.

use std::collections::HashMap;

use chicoryrail_core::Millis;
use rand::Rng;

use crate::Failure;
use crate::LoadReport;
use crate::ServerId;
use crate::local::server_view::ServerView;

/// Maximum number of requests queued at a server in addition to those in its slots. Servers queue a few; beyond that
/// some reset the connection, and a request that must not run twice is lost.
const QUEUE_LENGTH_MAX: f64 = 3.0;

/// Maximum random fraction added to the costs, so that hosts don't all select the same one of several similar servers.
const JITTER: f64 = 0.15;

/// Load of a service's servers as one host sees it.
///
/// Guards against requests that wait behind slow servers and miss their latency target while others have free slots.
/// Servers may be slow, busy with requests of other hosts, or fail a fraction of their requests. The selected server
/// has the least expected time to a successful response, by its slowness, the work queued in front of its slots and its
/// failure rate.
#[derive(Clone, Debug, Default)]
pub struct LocalBalancer {
    views: HashMap<ServerId, ServerView>,
}

impl LocalBalancer {
    /// Adds a server, or updates its number of slots.
    pub fn set(&mut self, server: ServerId, slots: u32) {
        let view = self.views.entry(server);
        view.or_insert_with(|| ServerView::new(slots)).slots = slots;
    }

    /// Removes a server.
    pub fn remove(&mut self, server: ServerId) {
        self.views.remove(&server);
    }

    /// Selects one of `servers` for a request that takes a usual server `work_us`; `None` if none has capacity.
    pub fn pick(
        &self,
        now: Millis,
        rng: &mut impl Rng,
        servers: &[ServerId],
        work_us: f64,
    ) -> Option<ServerId> {
        let available = servers.iter().filter(|s| self.has_capacity(now, **s));
        let costs = available.map(|s| {
            let cost = self.cost(now, *s, work_us);
            (cost * (1.0 + JITTER * rng.random::<f64>()), *s)
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, server)| server)
    }

    /// Returns `true` if a server has capacity for one more request.
    #[must_use]
    pub fn has_capacity(&self, now: Millis, server: ServerId) -> bool {
        self.views.get(&server).is_some_and(|v| {
            let limit = f64::from(v.slots) + QUEUE_LENGTH_MAX;
            !v.is_paused(now) && v.load(now) + 1.0 <= limit
        })
    }

    /// Returns `true` if a server is not known to be full, and one more request is within this host's share of its slots,
    /// which `hosts` divide. The share is at least one request at a time.
    ///
    /// Guards against servers that never respond to requests beyond their slots, while many hosts are without the
    /// scheduler. A share below one is not rounded down: a host that has lost all others would serve nobody.
    #[must_use]
    pub fn has_share(&self, now: Millis, server: ServerId, hosts: usize) -> bool {
        self.views.get(&server).is_some_and(|v| {
            let share = v.slots as usize / hosts.max(1);
            v.load(now) + 1.0 <= f64::from(v.slots) && (v.own_requests as usize) < share.max(1)
        })
    }

    /// Estimates the time until a full server has a free slot; zero for an unknown server.
    #[must_use]
    pub fn capacity_in(&self, now: Millis, server: ServerId, work_us: f64) -> Millis {
        self.views.get(&server).map_or(Millis::ZERO, |v| {
            let excess = (v.load(now) + 1.0 - f64::from(v.slots)).max(0.5);
            let wait_us = excess * work_us * v.slowness(now) / f64::from(v.slots);
            Millis((wait_us / 1_000.0) as u64)
        })
    }

    /// Estimates the time to a successful response of one more request, in microseconds; infinite for an unknown
    /// server.
    fn cost(&self, now: Millis, server: ServerId, work_us: f64) -> f64 {
        let Some(view) = self.views.get(&server) else {
            return f64::INFINITY;
        };
        let slots = f64::from(view.slots);
        let queued = (view.load(now) + 1.0 - slots).max(0.0) / slots;
        // A nearly full server is a little slower than an idle one, even before requests queue.
        let fill_cost = (view.load(now) / slots).min(1.0) * 0.1;
        let success_rate = (1.0 - view.failure_rate(now)).max(0.05);
        // The expected number of tries is squared, as a failure costs the caller more than the time.
        work_us * view.slowness(now) * (1.0 + queued + fill_cost) / (success_rate * success_rate)
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, server: ServerId) {
        if let Some(view) = self.views.get_mut(&server) {
            view.own_requests += 1;
        }
    }

    /// Records that a request is no longer in flight, however it ended.
    pub fn record_end(&mut self, server: ServerId) {
        if let Some(view) = self.views.get_mut(&server) {
            view.own_requests = view.own_requests.saturating_sub(1);
        }
    }

    /// Applies a server's load report.
    pub fn apply_report(&mut self, now: Millis, server: ServerId, report: LoadReport) {
        if let Some(view) = self.views.get_mut(&server) {
            view.apply_report(now, report);
        }
    }

    /// Records how long a response took; `had_slot` is `true` if the request found a free slot.
    pub fn record_response(
        &mut self,
        now: Millis,
        server: ServerId,
        elapsed_us: f64,
        work_us: f64,
        had_slot: bool,
    ) {
        if let Some(view) = self.views.get_mut(&server) {
            view.record_response(now, elapsed_us, work_us, had_slot);
        }
    }

    /// Records a failure.
    pub fn record_failure(&mut self, now: Millis, server: ServerId, failure: Failure) {
        if let Some(view) = self.views.get_mut(&server) {
            view.record_failure(now, failure);
        }
    }

    /// Returns `true` if a request that is sent now is expected to find a free slot.
    #[must_use]
    pub fn has_free_slot(&self, now: Millis, server: ServerId) -> bool {
        self.views
            .get(&server)
            .is_some_and(|v| v.load(now) < f64::from(v.slots))
    }
}
