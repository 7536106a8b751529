//! Queues requests for the servers of one service, and decides where they go or whether they are refused.

use std::collections::BTreeMap;

use chicoryrail_core::Millis;

use crate::ServerId;
use crate::scheduler::CallerEvents;
use crate::scheduler::Decision;
use crate::scheduler::Placement;
use crate::scheduler::ServerStatus;
use crate::scheduler::SlotRelease;
use crate::scheduler::SlotRequest;
use crate::scheduler::byte_limit::ByteLimit;
use crate::scheduler::fair_share::FairShares;
use crate::scheduler::load_view::LoadView;
use crate::scheduler::return_calendar::ReturnCalendar;
use crate::scheduler::server_slots::ServerSlots;
use crate::scheduler::standing_queues::StandingQueues;
use crate::scheduler::waiting_request::WaitingRequest;
use crate::scheduler::work_ahead::WorkAhead;
use crate::scheduler::work_rate::WorkRate;

/// Maximum fraction of a caller's time for which a request may wait. If the request is refused after all, the caller
/// must have time left to retry and be served elsewhere.
const WAIT_TIME_FRACTION: f64 = 0.6;

/// Scheduler of one service.
///
/// If there are more requests than slots, briefly or permanently, this guards against two failures: requests that can
/// still meet their latency target wait behind some that can't, and requests occupy the queue until their callers
/// cancel. Requests that can still meet their latency target go first, by priority and then by that target; the others
/// follow by deadline. A request whose response can't arrive in time is refused as soon as that is known, with the time
/// after which there may be capacity.
///
/// A request that tolerates waiting goes behind all others as soon as the queue ahead of it makes it miss its latency
/// target, and waits there as long as its response is expected before its deadline.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    pub(super) servers: BTreeMap<ServerId, ServerSlots>,
    pub(super) waiting: Vec<WaitingRequest>,
    key_queues: StandingQueues,
    /// Work of the requests that go before late ones, by placement. Empty until a request tolerates waiting.
    pub(super) overtaking: BTreeMap<Placement, WorkRate>,
    /// Places of refused callers, by placement.
    pub(super) calendars: BTreeMap<Placement, ReturnCalendar>,
    /// What was decided about callers since the last [`Scheduler::take_caller_events`].
    pub(super) events: CallerEvents,
    /// Shares of keys, callers and routes; `None` unless callers compete for slots.
    shares: Option<FairShares>,
    /// Whether any request so far tolerated waiting.
    any_tolerant: bool,
    /// Limit on the bytes of request bodies at each server.
    pub(super) byte_limit: Option<ByteLimit>,
    /// Most bytes of request bodies that a server held when it responded, at the last end of a server.
    pub(super) borne_bytes: u64,
}

impl Scheduler {
    /// Returns a scheduler without servers that shares slots fairly among the keys, callers and routes of requests that
    /// tolerate waiting: whoever had more than an equal share in the last second goes behind others of the same
    /// priority.
    #[must_use]
    pub fn with_fair_shares() -> Self {
        Self {
            shares: Some(FairShares::default()),
            ..Self::default()
        }
    }

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
        self.calendars.remove(&Placement::Owner(server));
        self.overtaking.remove(&Placement::Owner(server));
    }

    /// Removes the servers for which `keep` returns `false`.
    pub fn retain_servers(&mut self, keep: impl Fn(ServerId) -> bool) {
        self.servers.retain(|id, _| keep(*id));
        let keep = |placement: &Placement| match placement {
            Placement::Owner(id) => keep(*id),
            Placement::Any | Placement::Unassigned => true,
        };
        self.calendars.retain(|placement, _| keep(placement));
        self.overtaking.retain(|placement, _| keep(placement));
    }

    /// Returns the number of known servers.
    #[must_use]
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Enqueues a request; [`Scheduler::poll`] returns the decision on it. The call is idempotent by ticket, but for an
    /// earlier deadline, which replaces that of a waiting request: its host may have less time than when it asked first.
    ///
    /// Returns the server that the request was assigned to before, as the reply to an earlier query may have been lost.
    pub fn enqueue(&mut self, now: Millis, request: SlotRequest) -> Option<ServerId> {
        let servers = self.servers.iter();
        let assigned = servers
            .filter(|(_, s)| s.has_request(request.ticket))
            .map(|(id, _)| *id)
            .next();
        if assigned.is_some() {
            return assigned;
        }
        let mut waiting = self.waiting.iter_mut();
        match waiting.find(|w| w.request.ticket == request.ticket) {
            Some(known) => known.request.deadline = known.request.deadline.min(request.deadline),
            None => {
                self.any_tolerant |= request.tolerates_waiting;
                self.waiting.push(WaitingRequest::new(now, request));
            }
        }
        None
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
            self.key_queues = StandingQueues::default();
            return Vec::new();
        }
        for slots in self.servers.values_mut() {
            slots.expire(now);
        }
        let servers = self.servers.iter().map(|(id, slots)| (*id, slots));
        let mut view = LoadView::new(now, servers);
        let mut queue = std::mem::take(&mut self.waiting);
        for waiting in &mut queue {
            waiting.placement = waiting.request.key.map_or(Placement::Any, &placement);
            waiting.owner_limited = self.is_limited(waiting.placement);
            if waiting.is_new && waiting.may_wait_late() {
                self.recognise_return(now, waiting);
            }
            waiting.check_target(now, &view);
        }
        if let Some(shares) = &mut self.shares {
            self.events.shares_applied += shares.apply(now, &mut queue);
        }
        let mut decisions = Vec::new();
        let mut work_ahead = WorkAhead::default();
        let (mut late, mut queue): (Vec<_>, Vec<_>) = queue.into_iter().partition(|w| w.is_late);
        queue.sort_by_cached_key(WaitingRequest::order);
        for mut waiting in queue {
            match self.decide(now, &mut waiting, &mut work_ahead, &mut view) {
                Some(decision) => decisions.push((waiting.request.ticket, decision)),
                None if waiting.is_late => late.push(waiting),
                None => self.waiting.push(waiting),
            }
        }
        self.key_queues.track(now, &self.waiting);
        self.decide_late(now, late, &mut work_ahead, &mut view, &mut decisions);
        decisions
    }

    /// Decides on one request behind the work of the requests ahead; `None` if it keeps waiting.
    fn decide(
        &mut self,
        now: Millis,
        waiting: &mut WaitingRequest,
        work_ahead: &mut WorkAhead,
        view: &mut LoadView,
    ) -> Option<Decision> {
        let placement = waiting.placement;
        let ahead_us = work_ahead.of(placement);
        let server = self.try_send(now, waiting, *ahead_us, view);
        if server.is_none() && waiting.may_wait_late() {
            let response_us = view.response_in_us(&waiting.request, placement, *ahead_us);
            let left = waiting.request.target_here().since(now);
            waiting.is_late = response_us.is_none_or(|us| us > left.0 as f64 * 1_000.0);
            if waiting.is_late {
                return None;
            }
        }
        if self.any_tolerant && waiting.is_new && placement != Placement::Unassigned {
            waiting.is_new = false;
            // Returns are in the calendar, which does not count them twice.
            if waiting.returns == 0 {
                let rate = self.overtaking.entry(placement).or_default();
                rate.record(now, waiting.request.work_us);
            }
        }
        if server.is_some() {
            return server.map(Decision::Send);
        }
        if !waiting.may_wait_late()
            && let Err(after) = self.check_wait(now, waiting, *ahead_us, view)
        {
            return Some(Decision::Refuse(after));
        }
        *ahead_us += waiting.request.work_us;
        None
    }

    /// Sends a request behind `ahead_us` microseconds of work if a server is free for it; returns that server.
    pub(super) fn try_send(
        &mut self,
        now: Millis,
        waiting: &WaitingRequest,
        ahead_us: f64,
        view: &mut LoadView,
    ) -> Option<ServerId> {
        let request = &waiting.request;
        let server = view.server_for(request, waiting.placement, ahead_us)?;
        if let Some(slots) = self.servers.get_mut(&server) {
            slots.record_send(now, request);
            view.refresh(server, slots);
        }
        if let Some(shares) = &mut self.shares {
            shares.record(now, waiting.placement, request, request.work_us);
        }
        Some(server)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn queue_length(&self) -> usize {
        self.waiting.len()
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
        if response_us > latency_left && self.key_queues.is_standing(now, waiting.placement) {
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
pub(super) fn millis(us: f64) -> Millis {
    Millis((us / 1_000.0) as u64)
}
