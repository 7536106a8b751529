//! Load of all servers of a scheduler at one moment.

use std::cell::RefCell;

use chicoryrail_core::Millis;

use crate::ServerId;
use crate::scheduler::Placement;
use crate::scheduler::SlotRequest;
use crate::scheduler::server_slots::ServerSlots;

/// Cost of a server in another data centre, as a fraction of the work, because traffic between data centres is paid
/// for. It is small against the differences between servers, so it decides only between similar ones.
const REMOTE_COST: f64 = 0.1;

/// The same cost for a request with a large response. Traffic between data centres is expensive, so such a request
/// waits for a server in its own data centre as long as the work itself takes, which is well within its latency target.
const REMOTE_DOWNLOAD_COST: f64 = 1.0;

/// Load of all servers of a scheduler at one moment, computed once for a whole queue.
///
/// Each request in the queue is compared with each server several times. If the load were computed each time, a host
/// with many requests waiting for many full servers would be late for every request.
pub(crate) struct LoadView {
    now: Millis,
    /// Servers that accept work, sorted by identifier.
    servers: Vec<ServerLoad>,
    /// Number of servers with a free slot.
    free_servers: usize,
    /// Capacity of all servers, and of those without a free slot, in usual slots.
    capacity: f64,
    full_capacity: f64,
    /// Cache of the earliest response of any server by the work of a request. Sending a request invalidates it.
    response_cache: RefCell<Vec<(u64, f64)>>,
}

/// Load of one server at one moment.
struct ServerLoad {
    id: ServerId,
    slowness: f64,
    /// Time until a slot is free, in microseconds.
    free_in_us: f64,
    has_slot: bool,
    warming_up: bool,
    /// Expected number of tries until a successful response, squared: a failure costs the caller more than the time.
    retry_factor: f64,
    /// Cost of its filled slots, as a fraction of the work.
    fill_cost: f64,
    /// Capacity in usual slots: the work that it does in the time in which a usual slot does one unit.
    capacity: f64,
    dc: u32,
}

impl LoadView {
    /// Computes the load of the servers that accept work.
    pub(crate) fn new<'a>(
        now: Millis,
        servers: impl Iterator<Item = (ServerId, &'a ServerSlots)>,
    ) -> Self {
        let open = servers.filter(|(_, s)| s.state.accepting);
        let mut view = Self {
            now,
            servers: open.map(|(id, s)| ServerLoad::new(now, id, s)).collect(),
            free_servers: 0,
            capacity: 0.0,
            full_capacity: 0.0,
            response_cache: RefCell::default(),
        };
        view.capacity = view.servers.iter().map(|g| g.capacity).sum();
        view.recount();
        view
    }

    fn recount(&mut self) {
        let full = self.servers.iter().filter(|g| !g.has_slot);
        self.full_capacity = full.map(|g| g.capacity).sum();
        self.free_servers = self.servers.iter().filter(|g| g.has_slot).count();
        self.response_cache.borrow_mut().clear();
    }

    /// Updates the load of a server after a request was sent to it.
    pub(crate) fn refresh(&mut self, id: ServerId, slots: &ServerSlots) {
        if let Ok(at) = self.servers.binary_search_by_key(&id, |g| g.id) {
            self.servers[at] = ServerLoad::new(self.now, id, slots);
            self.recount();
        }
    }

    fn server(&self, id: ServerId) -> Option<&ServerLoad> {
        let at = self.servers.binary_search_by_key(&id, |g| g.id).ok()?;
        Some(&self.servers[at])
    }

    /// Returns the server to send a request to now, if any, where `ahead_us` microseconds of work wait in front of it.
    ///
    /// A slow server is left free if the request finishes earlier by waiting for a faster one. This holds at most for
    /// the first requests in the queue: without counting the work ahead, all requests would wait for the one fast
    /// server.
    pub(crate) fn server_for(
        &self,
        request: &SlotRequest,
        placement: Placement,
        ahead_us: f64,
    ) -> Option<ServerId> {
        match placement {
            Placement::Any => {}
            Placement::Unassigned => return None,
            Placement::Owner(owner) => return self.server(owner)?.has_slot.then_some(owner),
        }
        if self.free_servers == 0 {
            return None;
        }
        // The requests ahead wait for the full servers, too.
        let excluded = request.excluded.iter().filter_map(|id| self.server(*id));
        let excluded: f64 = excluded.filter(|g| !g.has_slot).map(|g| g.capacity).sum();
        let queue_wait = ahead_us / (self.full_capacity - excluded).max(CAPACITY_MIN);
        let mut best: Option<(f64, ServerId)> = None;
        let mut min_wait = f64::INFINITY;
        for load in self
            .servers
            .iter()
            .filter(|g| !request.excluded.contains(&g.id))
        {
            let cost = load.cost(request);
            if load.has_slot {
                if best.is_none_or(|(c, _)| cost < c) {
                    best = Some((cost, load.id));
                }
            } else if !load.warming_up {
                min_wait = min_wait.min(load.free_in_us + cost);
            }
        }
        let (cost, id) = best?;
        (cost <= min_wait + queue_wait).then_some(id)
    }

    /// Estimates the time until a request is answered, in microseconds, behind `ahead_us` microseconds of work. Returns
    /// `None` if no server can take it.
    pub(crate) fn response_in_us(
        &self,
        request: &SlotRequest,
        placement: Placement,
        ahead_us: f64,
    ) -> Option<f64> {
        if let Placement::Owner(owner) = placement {
            let load = self.server(owner)?;
            return Some(
                load.response_in_us(request.work_us) + ahead_us / load.capacity.max(CAPACITY_MIN),
            );
        }
        // The next owner of a moving key is assumed to be about as fast as any server.
        let excluded: &[ServerId] = match placement {
            Placement::Any => &request.excluded,
            _ => &[],
        };
        if !excluded.is_empty() {
            let eligible = self.servers.iter().filter(|g| !excluded.contains(&g.id));
            let earliest = eligible.clone().map(|g| g.response_in_us(request.work_us));
            let earliest = earliest.reduce(f64::min)?;
            let capacity: f64 = eligible.map(|g| g.capacity).sum();
            return Some(earliest + ahead_us / capacity.max(CAPACITY_MIN));
        }
        Some(self.earliest_response(request.work_us)? + ahead_us / self.capacity.max(CAPACITY_MIN))
    }

    fn earliest_response(&self, work_us: f64) -> Option<f64> {
        let mut cached = self.response_cache.borrow_mut();
        let bits = work_us.to_bits();
        if let Some((_, earliest)) = cached.iter().find(|(work, _)| *work == bits) {
            return Some(*earliest);
        }
        let earliest = self.servers.iter().map(|g| g.response_in_us(work_us));
        let earliest = earliest.reduce(f64::min)?;
        cached.push((bits, earliest));
        Some(earliest)
    }
}

/// Capacity assumed if there are no servers, so that the estimated wait for them is long.
const CAPACITY_MIN: f64 = 0.01;

impl ServerLoad {
    fn new(now: Millis, id: ServerId, slots: &ServerSlots) -> Self {
        let success_rate = (1.0 - slots.failure_rate(now)).max(0.05);
        // Of two equal servers, prefers the emptier one: some servers slow down as they fill.
        let fill_cost = slots.busy() as f64 / f64::from(slots.state.slots.max(1)) * 0.05;
        let slowness = slots.slowness(now);
        Self {
            id,
            slowness,
            free_in_us: slots.free_in_us(now),
            has_slot: slots.has_slot(now),
            warming_up: now < slots.state.warmup_until,
            retry_factor: 1.0 / (success_rate * success_rate),
            fill_cost,
            capacity: slots.capacity(now),
            dc: slots.state.dc_index,
        }
    }

    /// Estimates the time to a successful response at a free server, in microseconds.
    fn cost(&self, request: &SlotRequest) -> f64 {
        let remote_cost = match (self.dc == request.dc_index, request.large_response) {
            (true, _) => 0.0,
            (false, false) => REMOTE_COST,
            (false, true) => REMOTE_DOWNLOAD_COST,
        };
        request.work_us * self.slowness * (1.0 + self.fill_cost + remote_cost) * self.retry_factor
    }

    fn response_in_us(&self, work_us: f64) -> f64 {
        self.free_in_us + work_us * self.slowness
    }
}
