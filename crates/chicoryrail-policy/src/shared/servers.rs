//! Which server of a service gets a request.

use std::collections::HashMap;

use chicoryrail_core::Millis;
use rand::Rng;

use crate::Failure;
use crate::LoadReport;
use crate::ServerId;
use crate::shared::server_view::ServerView;

/// Requests that may wait at a server beside those in its slots. Servers queue a few; beyond that some
/// reset the connection, and a request that may run only once is lost.
const QUEUE: f64 = 3.0;

/// Chance in the comparison: of servers that look alike, hosts must not all pick the same one.
const JITTER: f64 = 0.15;

/// What one host knows of a service's servers.
///
/// Load: some of a service's servers are slow, busy with other hosts' requests, or fail a part of their
/// work while others have free slots. Harm prevented: requests wait behind the slow ones and miss their
/// aim. Picked is the server with the least expected time to a good answer: its speed and pace, the work
/// ahead of its slots, and the share of requests that it fails.
#[derive(Clone, Debug, Default)]
pub struct SharedServers {
    views: HashMap<ServerId, ServerView>,
}

impl SharedServers {
    /// Adds a server, or takes in its number of slots.
    pub fn set(&mut self, server: ServerId, slots: u32) {
        let view = self.views.entry(server);
        view.or_insert_with(|| ServerView::new(slots)).slots = slots;
    }

    /// Forgets a server that left.
    pub fn forget(&mut self, server: ServerId) {
        self.views.remove(&server);
    }

    /// Picks among `servers` for a request that takes a usual server `work_us`; `None` where none has
    /// room.
    pub fn pick(
        &self,
        now: Millis,
        rng: &mut impl Rng,
        servers: &[ServerId],
        work_us: f64,
    ) -> Option<ServerId> {
        let room = servers.iter().filter(|s| self.has_room(now, **s));
        let costs = room.map(|s| {
            let cost = self.cost(now, *s, work_us);
            (cost * (1.0 + JITTER * rng.random::<f64>()), *s)
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, server)| server)
    }

    /// Tells whether a server has room for one more request.
    #[must_use]
    pub fn has_room(&self, now: Millis, server: ServerId) -> bool {
        self.views.get(&server).is_some_and(|v| {
            let limit = f64::from(v.slots) + QUEUE;
            !v.rests(now) && v.load(now) + 1.0 <= limit
        })
    }

    /// Estimates the time until a server that has no room has some.
    #[must_use]
    pub fn room_in(&self, now: Millis, server: ServerId, work_us: f64) -> Millis {
        self.views.get(&server).map_or(Millis::ZERO, |v| {
            let over = (v.load(now) + 1.0 - f64::from(v.slots)).max(0.5);
            let us = over * work_us * v.slowness(now) / f64::from(v.slots);
            Millis((us / 1_000.0) as u64)
        })
    }

    /// Estimates the time to a good answer of one more request, in microseconds.
    fn cost(&self, now: Millis, server: ServerId, work_us: f64) -> f64 {
        let Some(view) = self.views.get(&server) else {
            return f64::INFINITY;
        };
        let slots = f64::from(view.slots);
        let ahead = (view.load(now) + 1.0 - slots).max(0.0) / slots;
        // A nearly full server is a little slower than an idle one, also before anything waits.
        let filled = (view.load(now) / slots).min(1.0) * 0.1;
        let good = (1.0 - view.fails(now)).max(0.05);
        work_us * view.slowness(now) * (1.0 + ahead + filled) / (good * good)
    }

    /// Takes in that a request is sent.
    pub fn sent(&mut self, server: ServerId) {
        if let Some(view) = self.views.get_mut(&server) {
            view.own += 1;
        }
    }

    /// Takes in that a request is no longer in flight, however it ended.
    pub fn ended(&mut self, server: ServerId) {
        if let Some(view) = self.views.get_mut(&server) {
            view.own = view.own.saturating_sub(1);
        }
    }

    /// Takes in what a server said of its load.
    pub fn heard(&mut self, now: Millis, server: ServerId, report: LoadReport) {
        if let Some(view) = self.views.get_mut(&server) {
            view.heard(now, report);
        }
    }

    /// Takes in how long an answer took; `alone` tells whether the request found a free slot.
    pub fn answered(&mut self, now: Millis, server: ServerId, us: f64, work_us: f64, alone: bool) {
        if let Some(view) = self.views.get_mut(&server) {
            view.took(now, us, work_us, alone);
        }
    }

    /// Takes in a failure.
    pub fn failed(&mut self, now: Millis, server: ServerId, failure: Failure) {
        if let Some(view) = self.views.get_mut(&server) {
            view.failed(now, failure);
        }
    }

    /// Tells whether a request that is sent now is thought to find a free slot.
    #[must_use]
    pub fn is_free(&self, now: Millis, server: ServerId) -> bool {
        self.views
            .get(&server)
            .is_some_and(|v| v.load(now) < f64::from(v.slots))
    }
}
