//! All servers of a scheduler at one moment.

use std::cell::RefCell;

use chicoryrail_core::Millis;

use crate::ServerId;
use crate::scheduler::Placement;
use crate::scheduler::SlotRequest;
use crate::scheduler::server_slots::ServerSlots;

/// Cost of a server in another data centre, as a part of the work: traffic between data centres is paid for.
/// Small against the differences between servers, so that it decides only between those alike.
const REMOTE_COST: f64 = 0.1;

/// The same for a request whose answer is large: traffic between data centres is dear, so one waits for a near server
/// for as long as the work takes, well within its aim.
const REMOTE_DOWNLOAD_COST: f64 = 1.0;

/// All servers of a scheduler at one moment, worked out once for a whole queue.
///
/// Each request of the queue is weighed against each server several times. Worked out each time, a host would be late
/// for every request as soon as many wait for many full servers.
pub(crate) struct LoadView {
    now: Millis,
    /// The servers that take work, by id.
    servers: Vec<ServerLoad>,
    /// Servers with a free slot.
    free: usize,
    /// Pace of all, and of those without a free slot.
    pace: f64,
    full_pace: f64,
    /// The soonest answer of any server by the work of a request, as long as nothing is sent.
    soonest: RefCell<Vec<(u64, f64)>>,
}

/// One server at one moment.
struct ServerLoad {
    id: ServerId,
    slow: f64,
    /// Time until a slot is free, in microseconds.
    free_in: f64,
    has_slot: bool,
    cold: bool,
    /// How many tries a good answer takes, squared: a failure costs the caller more than the time.
    tries: f64,
    /// Cost of its filled slots, as a part of the work.
    filled: f64,
    /// The work that it does in the time in which one usual slot does one.
    pace: f64,
    near: u32,
}

impl LoadView {
    /// Works out the servers that take work.
    pub(crate) fn of<'a>(
        now: Millis,
        servers: impl Iterator<Item = (ServerId, &'a ServerSlots)>,
    ) -> Self {
        let open = servers.filter(|(_, s)| s.state.open);
        let mut all = Self {
            now,
            servers: open.map(|(id, s)| ServerLoad::of(now, id, s)).collect(),
            free: 0,
            pace: 0.0,
            full_pace: 0.0,
            soonest: RefCell::default(),
        };
        all.pace = all.servers.iter().map(|g| g.pace).sum();
        all.count();
        all
    }

    fn count(&mut self) {
        let full = self.servers.iter().filter(|g| !g.has_slot);
        self.full_pace = full.map(|g| g.pace).sum();
        self.free = self.servers.iter().filter(|g| g.has_slot).count();
        self.soonest.borrow_mut().clear();
    }

    /// Takes in that a request was sent to a server.
    pub(crate) fn sent(&mut self, id: ServerId, slots: &ServerSlots) {
        if let Ok(at) = self.servers.binary_search_by_key(&id, |g| g.id) {
            self.servers[at] = ServerLoad::of(self.now, id, slots);
            self.count();
        }
    }

    fn server(&self, id: ServerId) -> Option<&ServerLoad> {
        let at = self.servers.binary_search_by_key(&id, |g| g.id).ok()?;
        Some(&self.servers[at])
    }

    /// Returns the server that a request should go to now, if any, where `ahead` microseconds of work wait
    /// before it.
    ///
    /// A slow server is left free where waiting for a faster one ends sooner. That is so for the first in
    /// the queue at most: were it asked without those ahead, all would wait for the one fast server.
    pub(crate) fn server_for(
        &self,
        ask: &SlotRequest,
        place: Placement,
        ahead: f64,
    ) -> Option<ServerId> {
        match place {
            Placement::Any => {}
            Placement::Moving => return None,
            Placement::Owner(owner) => return self.server(owner)?.has_slot.then_some(owner),
        }
        if self.free == 0 {
            return None;
        }
        // Those ahead wait for the full ones, too.
        let shunned = ask.not.iter().filter_map(|id| self.server(*id));
        let shunned: f64 = shunned.filter(|g| !g.has_slot).map(|g| g.pace).sum();
        let behind = ahead / (self.full_pace - shunned).max(PACE_MIN);
        let mut best: Option<(f64, ServerId)> = None;
        let mut wait = f64::INFINITY;
        for load in self.servers.iter().filter(|g| !ask.not.contains(&g.id)) {
            let cost = load.cost(ask);
            if load.has_slot {
                if best.is_none_or(|(c, _)| cost < c) {
                    best = Some((cost, load.id));
                }
            } else if !load.cold {
                wait = wait.min(load.free_in + cost);
            }
        }
        let (cost, id) = best?;
        (cost <= wait + behind).then_some(id)
    }

    /// Estimates when a request would be answered, in microseconds, if `ahead` microseconds of work went before
    /// it; `None` where no server can take it.
    pub(crate) fn answer_in(&self, ask: &SlotRequest, place: Placement, ahead: f64) -> Option<f64> {
        if let Placement::Owner(owner) = place {
            let load = self.server(owner)?;
            return Some(load.answer_in(ask.work_us) + ahead / load.pace.max(PACE_MIN));
        }
        // Whoever holds a moving key next is about as fast as any.
        let not: &[ServerId] = match place {
            Placement::Any => &ask.not,
            _ => &[],
        };
        if !not.is_empty() {
            let fits = self.servers.iter().filter(|g| !not.contains(&g.id));
            let first = fits.clone().map(|g| g.answer_in(ask.work_us));
            let first = first.reduce(f64::min)?;
            let pace: f64 = fits.map(|g| g.pace).sum();
            return Some(first + ahead / pace.max(PACE_MIN));
        }
        Some(self.soonest(ask.work_us)? + ahead / self.pace.max(PACE_MIN))
    }

    fn soonest(&self, work_us: f64) -> Option<f64> {
        let mut known = self.soonest.borrow_mut();
        let bits = work_us.to_bits();
        if let Some((_, first)) = known.iter().find(|(work, _)| *work == bits) {
            return Some(*first);
        }
        let first = self.servers.iter().map(|g| g.answer_in(work_us));
        let first = first.reduce(f64::min)?;
        known.push((bits, first));
        Some(first)
    }
}

/// Pace that is assumed of no servers at all, so that what waits for them waits long.
const PACE_MIN: f64 = 0.01;

impl ServerLoad {
    fn of(now: Millis, id: ServerId, slots: &ServerSlots) -> Self {
        let good = (1.0 - slots.fails(now)).max(0.05);
        // Of two servers alike, the emptier one: some slow down as they fill.
        let filled = slots.busy() as f64 / f64::from(slots.state.slots.max(1)) * 0.05;
        let slow = slots.slowness(now);
        Self {
            id,
            slow,
            free_in: slots.free_in(now),
            has_slot: slots.has_slot(now),
            cold: now < slots.state.cold_until,
            tries: 1.0 / (good * good),
            filled,
            pace: slots.pace(now),
            near: slots.state.near,
        }
    }

    /// Estimates the time to a good answer at a free server, in microseconds.
    fn cost(&self, ask: &SlotRequest) -> f64 {
        let far = match (self.near == ask.near, ask.large) {
            (true, _) => 0.0,
            (false, false) => REMOTE_COST,
            (false, true) => REMOTE_DOWNLOAD_COST,
        };
        ask.work_us * self.slow * (1.0 + self.filled + far) * self.tries
    }

    fn answer_in(&self, work_us: f64) -> f64 {
        self.free_in + work_us * self.slow
    }
}
