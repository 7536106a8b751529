//! Compares the servers of a scheduler for each request by their expected response times.

use std::cell::RefCell;

use chicoryrail_core::Millis;

use crate::ServerId;
use crate::scheduler::Placement;
use crate::scheduler::SlotRequest;
use crate::scheduler::server_slots::ServerSlots;

/// Cost of a server in another data centre, as a fraction of the work, because traffic between data centres is paid
/// for. The cost is small against the differences between servers, so it decides only between similar servers.
const REMOTE_COST: f64 = 0.1;

/// Cost of a server in another data centre for a request with a large response, as a fraction of the work. Traffic
/// between data centres is expensive, so such a request waits for a server in its own data centre as long as the work
/// itself takes, which is well within its latency target.
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
    /// Capacity of all servers, in usual slots.
    capacity: f64,
    /// Capacity of the servers without a free slot, in usual slots.
    full_capacity: f64,
    /// Cache of the time until the earliest response of any server, by the bits of the request's work. Sending a
    /// request clears it.
    response_cache: RefCell<Vec<(u64, f64)>>,
}

/// Load of one server at one moment.
struct ServerLoad {
    id: ServerId,
    slowness: f64,
    /// Time until a request may be sent, in microseconds.
    free_in_us: f64,
    /// Whether a request may be sent now.
    has_slot: bool,
    /// Largest body that a request may have.
    free_bytes: u64,
    warming_up: bool,
    /// Expected number of tries until a successful response, squared: a failure costs the caller more than the time.
    retry_factor: f64,
    /// Cost of the filled slots, as a fraction of the work.
    fill_cost: f64,
    /// Capacity in usual slots: the work that the server does in the time in which a usual slot does one unit.
    capacity: f64,
    dc_index: u32,
}

impl LoadView {
    /// Computes the load of the servers that accept work.
    pub(crate) fn new<'a>(
        now: Millis,
        servers: impl Iterator<Item = (ServerId, &'a ServerSlots)>,
    ) -> Self {
        let accepting = servers.filter(|(_, s)| s.accepts(now));
        let mut view = Self {
            now,
            servers: accepting
                .map(|(id, s)| ServerLoad::new(now, id, s))
                .collect(),
            free_servers: 0,
            capacity: 0.0,
            full_capacity: 0.0,
            response_cache: RefCell::default(),
        };
        view.capacity = view.servers.iter().map(|s| s.capacity).sum();
        view.recount();
        view
    }

    /// Updates the totals after a change of a server's load.
    fn recount(&mut self) {
        let full = self.servers.iter().filter(|s| !s.has_slot);
        self.full_capacity = full.map(|s| s.capacity).sum();
        self.free_servers = self.servers.iter().filter(|s| s.has_slot).count();
        self.response_cache.borrow_mut().clear();
    }

    /// Updates the load of a server after a request was sent to it.
    pub(crate) fn refresh(&mut self, id: ServerId, slots: &ServerSlots) {
        if let Ok(at) = self.servers.binary_search_by_key(&id, |s| s.id) {
            self.servers[at] = ServerLoad::new(self.now, id, slots);
            self.recount();
        }
    }

    fn server(&self, id: ServerId) -> Option<&ServerLoad> {
        let at = self.servers.binary_search_by_key(&id, |s| s.id).ok()?;
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
            Placement::Owner(owner) => {
                let load = self.server(owner)?;
                return (load.has_slot && load.fits(request)).then_some(owner);
            }
        }
        if self.free_servers == 0 {
            return None;
        }
        // The requests ahead wait for the full servers, too.
        let excluded = request.excluded.iter().filter_map(|id| self.server(*id));
        let excluded: f64 = excluded.filter(|s| !s.has_slot).map(|s| s.capacity).sum();
        let queue_wait = ahead_us / (self.full_capacity - excluded).max(CAPACITY_MIN);
        let mut best: Option<(f64, ServerId)> = None;
        let mut min_wait = f64::INFINITY;
        for load in self
            .servers
            .iter()
            .filter(|s| !request.excluded.contains(&s.id))
        {
            let cost = load.cost(request);
            if load.has_slot {
                if load.fits(request) && best.is_none_or(|(c, _)| cost < c) {
                    best = Some((cost, load.id));
                }
            } else if !load.warming_up {
                min_wait = min_wait.min(load.free_in_us + cost);
            }
        }
        let (cost, id) = best?;
        (cost <= min_wait + queue_wait).then_some(id)
    }

    /// Estimates the time until the response to a request, in microseconds, behind `ahead_us` microseconds of work.
    /// Returns `None` if no server can process the request.
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
            let eligible = self.servers.iter().filter(|s| !excluded.contains(&s.id));
            let earliest = eligible.clone().map(|s| s.response_in_us(request.work_us));
            let earliest = earliest.reduce(f64::min)?;
            let capacity: f64 = eligible.map(|s| s.capacity).sum();
            return Some(earliest + ahead_us / capacity.max(CAPACITY_MIN));
        }
        Some(self.earliest_response(request.work_us)? + ahead_us / self.capacity.max(CAPACITY_MIN))
    }

    /// Estimates the time until the response to a late request, in microseconds, behind `ahead_us` microseconds of work
    /// and the work that arrives and overtakes it while it waits, which occupies `overtaking` usual slots.
    /// Returns `None` if no server can process the request.
    pub(crate) fn late_response_in_us(
        &self,
        request: &SlotRequest,
        placement: Placement,
        ahead_us: f64,
        overtaking: f64,
    ) -> Option<f64> {
        let response_us = self.response_in_us(request, placement, ahead_us)?;
        let wait_us = (response_us - self.work_us(request, placement)?).max(0.0);
        // Only the capacity that the overtaking work leaves shortens the wait.
        let spare = 1.0 - overtaking / self.capacity(placement).max(CAPACITY_MIN);
        Some(response_us + wait_us * (1.0 / spare.max(SPARE_MIN) - 1.0))
    }

    /// Estimates the time until a request may be sent, in microseconds, behind `ahead_us` microseconds of work.
    /// Returns `None` if no server can process the request.
    pub(crate) fn wait_in_us(
        &self,
        request: &SlotRequest,
        placement: Placement,
        ahead_us: f64,
    ) -> Option<f64> {
        let response_us = self.response_in_us(request, placement, ahead_us)?;
        Some((response_us - self.work_us(request, placement)?).max(0.0))
    }

    /// Estimates the time that a request takes once it is sent, in microseconds; `None` if its owner is unknown.
    fn work_us(&self, request: &SlotRequest, placement: Placement) -> Option<f64> {
        match placement {
            Placement::Owner(owner) => Some(request.work_us * self.server(owner)?.slowness),
            Placement::Any | Placement::Unassigned => Some(request.work_us),
        }
    }

    /// Returns the capacity of the servers that requests with this placement may be sent to, in usual slots.
    pub(crate) fn capacity(&self, placement: Placement) -> f64 {
        match placement {
            Placement::Owner(owner) => self.server(owner).map_or(0.0, |s| s.capacity),
            Placement::Any | Placement::Unassigned => self.capacity,
        }
    }

    /// Estimates the time until the earliest response of any server, in microseconds; `None` without servers.
    fn earliest_response(&self, work_us: f64) -> Option<f64> {
        let mut cached = self.response_cache.borrow_mut();
        let bits = work_us.to_bits();
        if let Some((_, earliest)) = cached.iter().find(|(work, _)| *work == bits) {
            return Some(*earliest);
        }
        let earliest = self.servers.iter().map(|s| s.response_in_us(work_us));
        let earliest = earliest.reduce(f64::min)?;
        cached.push((bits, earliest));
        Some(earliest)
    }
}

/// Minimum capacity in estimates of a wait. Without servers it makes the estimated wait long.
const CAPACITY_MIN: f64 = 0.01;

/// Minimum fraction of the capacity that is left to late requests in estimates of their wait. With less, a request
/// waits only if it is nearly the next one.
const SPARE_MIN: f64 = 0.02;

impl ServerLoad {
    fn new(now: Millis, id: ServerId, slots: &ServerSlots) -> Self {
        let success_rate = (1.0 - slots.failure_rate(now)).max(0.05);
        // Of two equal servers, prefers the emptier one: some servers slow down as they fill.
        let fill_cost = slots.busy() as f64 / f64::from(slots.usable_slots().max(1)) * 0.05;
        let slowness = slots.slowness(now);
        Self {
            id,
            slowness,
            free_in_us: slots.free_in_us(now),
            has_slot: slots.has_slot(now),
            free_bytes: slots.free_bytes(now),
            warming_up: now < slots.state.warmup_until,
            retry_factor: 1.0 / (success_rate * success_rate),
            fill_cost,
            capacity: slots.capacity(now),
            dc_index: slots.state.dc_index,
        }
    }

    /// Returns `true` if the body of a request may be added to those at the server.
    const fn fits(&self, request: &SlotRequest) -> bool {
        request.body_bytes == 0 || request.body_bytes <= self.free_bytes
    }

    /// Estimates the time to a successful response from a free slot on, in microseconds, with the costs of the server.
    fn cost(&self, request: &SlotRequest) -> f64 {
        let remote_cost = match (self.dc_index == request.dc_index, request.large_response) {
            (true, _) => 0.0,
            (false, false) => REMOTE_COST,
            (false, true) => REMOTE_DOWNLOAD_COST,
        };
        request.work_us * self.slowness * (1.0 + self.fill_cost + remote_cost) * self.retry_factor
    }

    /// Estimates the time until the response to a request that goes to this server next, in microseconds.
    fn response_in_us(&self, work_us: f64) -> f64 {
        self.free_in_us + work_us * self.slowness
    }
}
