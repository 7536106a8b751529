//! Queues requests for the servers of one service, and decides where they go or whether they are refused.

use std::collections::BTreeMap;

use chicoryrail_core::Millis;

use crate::ServerId;
use crate::scheduler::Decision;
use crate::scheduler::Placement;
use crate::scheduler::ServerStatus;
use crate::scheduler::SlotRelease;
use crate::scheduler::SlotRequest;
use crate::scheduler::byte_limit::ByteLimit;
use crate::scheduler::load_view::LoadView;
use crate::scheduler::server_slots::ServerSlots;

/// Maximum fraction of a caller's time for which a request may wait. If the request is refused after all, the caller
/// must have time left to retry and be served elsewhere.
const WAIT_TIME_FRACTION: f64 = 0.6;

/// Time for which requests must have waited without a break before a queue counts as standing: a burst is over by then,
/// and a longer wait means overload.
const STANDING_QUEUE_TIME: Millis = Millis(1_000);

/// Scheduler of one service.
///
/// If there are more requests than slots, briefly or permanently, this guards against two failures: requests that can
/// still meet their latency target wait behind some that can't, and requests occupy the queue until their callers
/// cancel. Requests that can still meet their latency target go first, by priority and then by that target; the others
/// follow by deadline. A request whose response can't arrive in time is refused as soon as that is known, with the time
/// after which there may be capacity.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    pub(super) servers: BTreeMap<ServerId, ServerSlots>,
    waiting: Vec<WaitingRequest>,
    /// Owners with waiting requests for their keys, and the time since which at least one request has been waiting.
    key_queues: Vec<(Placement, Millis)>,
    /// Limit on the bytes of request bodies at each server.
    pub(super) byte_limit: Option<ByteLimit>,
    /// Most bytes of request bodies that a server held when it responded, at the last end of a server.
    pub(super) borne_bytes: u64,
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    request: SlotRequest,
    enqueued_at: Millis,
    /// Servers that the request may be sent to, at the last poll.
    placement: Placement,
}

impl Scheduler {
    /// Adds a server, or updates its state.
    pub fn update_server(&mut self, now: Millis, server: ServerId, state: ServerStatus) {
        self.servers
            .entry(server)
            .or_insert_with(|| ServerSlots::new(now, state).with_byte_limit(self.byte_limit))
            .set(now, state);
    }

    /// Removes a server.
    pub fn remove_server(&mut self, server: ServerId) {
        self.servers.remove(&server);
    }

    /// Removes the servers for which `keep` returns `false`.
    pub fn retain_servers(&mut self, keep: impl Fn(ServerId) -> bool) {
        self.servers.retain(|id, _| keep(*id));
    }

    /// Returns the number of known servers.
    #[must_use]
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Enqueues a request; [`Scheduler::poll`] returns the decision on it. The call is idempotent by ticket.
    ///
    /// Returns the server that the request was assigned to before, as the reply to an earlier query may have been lost.
    pub fn enqueue(&mut self, now: Millis, request: SlotRequest) -> Option<ServerId> {
        let servers = self.servers.iter();
        let assigned = servers
            .filter(|(_, s)| s.has_request(request.ticket))
            .map(|(id, _)| *id)
            .next();
        if assigned.is_none()
            && !self
                .waiting
                .iter()
                .any(|w| w.request.ticket == request.ticket)
        {
            self.waiting.push(WaitingRequest {
                request,
                enqueued_at: now,
                placement: Placement::Any,
            });
        }
        assigned
    }

    /// Removes a request whose caller has cancelled.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|w| w.request.ticket != ticket);
    }

    /// Removes a request whose host did not take the decision on it: it waits no more, and the slot that it may have been
    /// assigned is free.
    pub fn withdraw(&mut self, ticket: u64) {
        self.cancel(ticket);
        let mut servers = self.servers.values_mut();
        servers.any(|slots| slots.forget(ticket));
    }

    /// Iterates over the tickets and keys of the waiting requests that have a key.
    pub fn queued_keys(&self) -> impl Iterator<Item = (u64, u16)> {
        let waiting = self.waiting.iter();
        waiting.filter_map(|w| Some((w.request.ticket, w.request.key?)))
    }

    /// Records how a send ended. Returns how long the server is paused if its connections fail repeatedly.
    pub fn release(&mut self, now: Millis, end: &SlotRelease) -> Option<Millis> {
        let slots = self.servers.get_mut(&end.server)?;
        slots.release(now, end.ticket, end.elapsed_us, end.failure, end.report)
    }

    /// Returns the decisions that are due, each with the ticket of its request. `placement` returns where the requests
    /// of a key may go.
    pub fn poll(
        &mut self,
        now: Millis,
        placement: impl Fn(u16) -> Placement,
    ) -> Vec<(u64, Decision)> {
        if self.waiting.is_empty() {
            self.key_queues.clear();
            return Vec::new();
        }
        for slots in self.servers.values_mut() {
            slots.expire(now);
        }
        let servers = self.servers.iter().map(|(id, slots)| (*id, slots));
        let mut view = LoadView::new(now, servers);
        for waiting in &mut self.waiting {
            waiting.placement = waiting.request.key.map_or(Placement::Any, &placement);
        }
        self.sort_queue(now, &view);
        let mut decisions = Vec::new();
        // Work of the requests ahead, in microseconds, by placement.
        let mut work_ahead: Vec<(Placement, f64)> = Vec::new();
        let queue = std::mem::take(&mut self.waiting);
        for waiting in queue {
            match self.decide(now, &waiting, &mut work_ahead, &mut view) {
                Some(decision) => decisions.push((waiting.request.ticket, decision)),
                None => self.waiting.push(waiting),
            }
        }
        self.track_key_queues(now);
        decisions
    }

    /// Decides on one request behind the work of the requests ahead; `None` if it keeps waiting.
    fn decide(
        &mut self,
        now: Millis,
        waiting: &WaitingRequest,
        work_ahead: &mut Vec<(Placement, f64)>,
        view: &mut LoadView,
    ) -> Option<Decision> {
        let WaitingRequest {
            request, placement, ..
        } = waiting;
        let at = work_ahead.iter().position(|(p, _)| p == placement);
        let at = at.unwrap_or_else(|| {
            work_ahead.push((*placement, 0.0));
            work_ahead.len() - 1
        });
        if let Some(server) = view.server_for(request, *placement, work_ahead[at].1) {
            if let Some(slots) = self.servers.get_mut(&server) {
                slots.record_send(now, request);
                view.refresh(server, slots);
            }
            return Some(Decision::Send(server));
        }
        if let Err(after) = self.check_wait(now, waiting, work_ahead[at].1, view) {
            return Some(Decision::Refuse(after));
        }
        work_ahead[at].1 += request.work_us;
        None
    }

    /// Updates `key_queues` for the requests that wait now.
    fn track_key_queues(&mut self, now: Millis) {
        let waits = |placement: Placement| self.waiting.iter().any(|w| w.placement == placement);
        self.key_queues.retain(|(placement, _)| waits(*placement));
        for waiting in &self.waiting {
            let keyed = matches!(waiting.placement, Placement::Owner(_));
            if keyed
                && !self
                    .key_queues
                    .iter()
                    .any(|(placement, _)| *placement == waiting.placement)
            {
                self.key_queues.push((waiting.placement, now));
            }
        }
    }

    /// Returns `true` if requests have waited for this owner of keys without a break for [`STANDING_QUEUE_TIME`], so
    /// that the owner is overloaded. The queue for any server never counts as standing.
    fn has_standing_queue(&self, now: Millis, placement: Placement) -> bool {
        let mut key_queues = self.key_queues.iter().filter(|(p, _)| *p == placement);
        key_queues.any(|(_, since)| now.since(*since) >= STANDING_QUEUE_TIME)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn queue_length(&self) -> usize {
        self.waiting.len()
    }

    /// Sorts the queue in the order that [`Scheduler`] describes.
    fn sort_queue(&mut self, now: Millis, view: &LoadView) {
        let key = |w: &WaitingRequest| {
            let earliest = view.response_in_us(&w.request, w.placement, 0.0);
            let in_time = earliest.is_some_and(|us| now + millis(us) <= w.request.latency_target);
            if in_time {
                (0, w.request.priority, w.request.latency_target)
            } else {
                (1, 0, w.request.deadline)
            }
        };
        self.waiting.sort_by_cached_key(key);
    }

    /// Checks whether a request may keep waiting behind `ahead_us` microseconds of work.
    ///
    /// # Errors
    ///
    /// Returns the time after which there may be capacity.
    fn check_wait(
        &self,
        now: Millis,
        waiting: &WaitingRequest,
        ahead_us: f64,
        view: &LoadView,
    ) -> Result<(), Millis> {
        let request = &waiting.request;
        let left_us = request.deadline.since(now).0 as f64 * 1_000.0;
        let Some(response_us) = view.response_in_us(request, waiting.placement, ahead_us) else {
            return Err(millis(request.work_us));
        };
        // In a standing queue, requests that can still meet their latency target overtake those that can't, so the
        // latter would wait in vain. They are refused at once.
        let latency_left = request.latency_target.since(now).0 as f64 * 1_000.0;
        if response_us > latency_left && self.has_standing_queue(now, waiting.placement) {
            return Err(millis(
                (response_us - latency_left).max(request.work_us * 0.5),
            ));
        }
        let total = request.deadline.since(waiting.enqueued_at).0 as f64;
        let waited = now.since(waiting.enqueued_at).0 as f64;
        if response_us <= left_us && waited <= total * WAIT_TIME_FRACTION {
            return Ok(());
        }
        Err(millis((response_us - left_us).max(request.work_us * 0.5)))
    }
}

/// Converts microseconds to whole milliseconds.
fn millis(us: f64) -> Millis {
    Millis((us / 1_000.0) as u64)
}
