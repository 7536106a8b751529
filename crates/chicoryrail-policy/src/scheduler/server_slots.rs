//! Tracks the requests in flight at one server, and whether it may get another one.

use chicoryrail_core::Millis;

use crate::Failure;
use crate::LoadReport;
use crate::local::server_view::ServerView;
use crate::scheduler::SlotRequest;
use crate::scheduler::break_load::BreakLoad;
use crate::scheduler::byte_limit::ByteLimit;
use crate::scheduler::held_request::HeldRequest;
use crate::scheduler::learned_limit::LearnedLimit;
use crate::scheduler::rate_bucket::RateBucket;
use crate::scheduler::requests_in_flight::RequestsInFlight;
use crate::scheduler::server_status::ServerStatus;
use crate::scheduler::takeover::Takeover;
use crate::scheduler::warmup_rate::WarmupRate;

/// Weight of a new request in the mean work of the requests sent.
const WORK_SMOOTHING: f64 = 0.05;

/// State of one server at the scheduler.
#[derive(Clone, Debug)]
pub(crate) struct ServerSlots {
    pub(crate) state: ServerStatus,
    view: ServerView,
    in_flight: RequestsInFlight,
    warmup_rate: WarmupRate,
    bucket: RateBucket,
    /// Limit on the requests in flight after a request got no response.
    learned: LearnedLimit,
    /// Limit on the bytes of request bodies.
    pub(crate) byte_limit: Option<ByteLimit>,
    /// Most bytes of request bodies that the server held when it responded.
    borne_bytes: u64,
    break_load: BreakLoad,
    /// Queries while another host schedules the server.
    pub(crate) takeover: Takeover,
    /// Mean work of the requests sent, in microseconds; 0 before the first one.
    mean_work_us: f64,
}

impl ServerSlots {
    pub(crate) fn new(now: Millis, state: ServerStatus) -> Self {
        Self {
            state,
            view: ServerView::new(state.slots),
            in_flight: RequestsInFlight::default(),
            warmup_rate: WarmupRate::default(),
            bucket: RateBucket::empty(now),
            learned: LearnedLimit::default(),
            byte_limit: None,
            borne_bytes: 0,
            break_load: BreakLoad::default(),
            takeover: Takeover::default(),
            mean_work_us: 0.0,
        }
    }

    /// Sets the limit on the bytes of request bodies.
    pub(crate) fn with_byte_limit(self, byte_limit: Option<ByteLimit>) -> Self {
        Self { byte_limit, ..self }
    }

    /// Updates the server's state. The bucket is emptied when this host begins to schedule the server, or the server
    /// gets a rate limit.
    pub(crate) fn set(&mut self, now: Millis, state: ServerStatus) {
        // Another host may have scheduled the server since the last update, which comes with a request.
        let continues =
            self.state.scheduled_here && self.state.scheduled_since == state.scheduled_since;
        let starts = state.scheduled_here && !continues;
        if starts || self.state.rate_limit.is_none() {
            self.bucket = RateBucket::empty(now);
        }
        self.state = state;
    }

    /// Returns `true` if the server may get requests, now or later, while its state does not change.
    pub(crate) fn accepts(&self, now: Millis) -> bool {
        self.state.accepting && !WarmupRate::is_withheld(now, &self.state)
    }

    /// Returns `true` if the request is in flight at the server.
    pub(crate) fn has_request(&self, ticket: u64) -> bool {
        self.in_flight.contains(ticket)
    }

    /// Returns the number of requests in flight at the server.
    pub(crate) fn busy(&self) -> usize {
        self.in_flight.count()
    }

    /// Returns the number of requests that the server is given at once: its slots, or fewer after it fell silent.
    pub(crate) fn usable_slots(&self) -> u32 {
        self.learned.apply(self.state.slots)
    }

    /// Returns the same number, or fewer while this host does not know all requests at the server.
    fn assignable_slots(&self, now: Millis) -> u32 {
        let slots = self.usable_slots();
        self.takeover.apply(now, slots, &self.state)
    }

    /// Estimates the time for work here, relative to a usual server.
    pub(crate) fn slowness(&self, now: Millis) -> f64 {
        self.view.slowness(now)
    }

    /// Returns the mean time for work, relative to a usual server, without the momentary slowdown.
    pub(crate) fn mean_slowness(&self) -> f64 {
        self.view.mean_slowness
    }

    /// Estimates the fraction of requests that fail.
    pub(crate) fn failure_rate(&self, now: Millis) -> f64 {
        self.view.failure_rate(now)
    }

    /// Returns `true` if a request may be sent now: the server has a free slot and no limit forbids the request.
    pub(crate) fn has_slot(&self, now: Millis) -> bool {
        self.accepts(now)
            && !self.view.is_paused(now)
            && self.busy() < self.assignable_slots(now) as usize
            && self.warmup_rate.allows_send(now, &self.state)
            && self.is_within_limit(now)
    }

    /// Returns the number of free slots; at most one for a server that warms up or has a rate limit, as the rate may
    /// not allow a second request.
    pub(crate) fn free_slots(&self, now: Millis) -> usize {
        if !self.has_slot(now) {
            0
        } else if now < self.state.warmup_until || self.state.rate_limit.is_some() {
            1
        } else {
            self.assignable_slots(now) as usize - self.busy()
        }
    }

    /// Returns `true` if the server's rate limit allows one more request. If another host schedules the server, only
    /// that host may spend the rate.
    fn is_within_limit(&self, now: Millis) -> bool {
        let within = |rate| self.state.scheduled_here && self.bucket.has_token(now, rate);
        self.state.rate_limit.is_none_or(within)
    }

    /// Returns the capacity in usual slots: the work that the server does in the time in which a usual slot does one
    /// unit.
    pub(crate) fn capacity(&self, now: Millis) -> f64 {
        let slots = f64::from(self.usable_slots()) / self.slowness(now);
        self.limited_slots().map_or(slots, |l| l.min(slots))
    }

    /// Returns the number of usual slots that do as much work as the server's rate limit admits; `None` without a
    /// limit.
    pub(crate) fn limited_slots(&self) -> Option<f64> {
        let rate = self.state.rate_limit?;
        Some(rate * self.mean_work_us / 1_000_000.0)
    }

    /// Estimates the time until a request may be sent, in microseconds; 0 if it may be sent now.
    pub(crate) fn free_in_us(&self, now: Millis) -> f64 {
        let slots = self.usable_slots() as usize;
        let slot = self.in_flight.slot_in_us(now, slots, self.slowness(now));
        let limit = self.state.rate_limit;
        let token = limit.map_or(0.0, |rate| self.bucket.token_in_us(now, rate));
        let wait = self.takeover.wait_left(now, &self.state);
        let wait = wait.max(self.view.pause_left(now)).0 as f64 * 1_000.0;
        slot.max(token).max(wait)
    }

    /// Counts a request that another scheduler assigned; returns `false` if it is known.
    pub(crate) fn adopt(&mut self, now: Millis, request: &HeldRequest) -> bool {
        if self.has_request(request.ticket) {
            return false;
        }
        self.in_flight.insert(now, request);
        true
    }

    /// Frees the slot of a request that was not sent; returns `true` if it had one.
    pub(crate) fn forget(&mut self, ticket: u64) -> bool {
        self.in_flight.remove(ticket).is_some()
    }

    /// Records that a request is sent.
    pub(crate) fn record_send(&mut self, now: Millis, request: &SlotRequest) {
        let work_us = request.work_us;
        let held = HeldRequest {
            ticket: request.ticket,
            deadline: request.deadline,
            work_us,
            body_bytes: request.body_bytes,
        };
        let requests = self.in_flight.insert(now, &held);
        self.learned.record_send(request.ticket, requests);
        if let Some(rate) = self.state.rate_limit {
            self.bucket.take(now, rate);
        }
        let smoothing = if self.mean_work_us > 0.0 {
            WORK_SMOOTHING
        } else {
            1.0
        };
        self.mean_work_us += (work_us - self.mean_work_us) * smoothing;
        self.warmup_rate.record_send(now);
    }

    /// Records the end of a request. A request that is not in flight was sent without this scheduler, or has expired.
    /// Returns the pause of a server whose connections fail.
    pub(crate) fn release(
        &mut self,
        now: Millis,
        ticket: u64,
        response_us: Option<f64>,
        failure: Option<Failure>,
        report: Option<LoadReport>,
    ) -> Option<Millis> {
        if matches!(failure, Some(Failure::Broken | Failure::Ended)) {
            let (requests, bytes) = (self.busy(), self.bytes());
            self.break_load.record(now, requests, bytes);
        }
        let in_flight = self.in_flight.remove(ticket);
        if let Some(report) = report {
            self.view.apply_report(now, report);
        }
        let slots = self.state.slots;
        match (failure, in_flight) {
            (Some(failure), in_flight) => {
                if let Some(in_flight) = in_flight.filter(|_| failure == Failure::Unanswered) {
                    self.learned.record_silence(in_flight.requests, slots);
                }
                return self.view.record_failure(now, failure);
            }
            (None, Some(in_flight)) => {
                if let Some(response_us) = response_us {
                    let bytes = self.bytes() + in_flight.body_bytes;
                    self.borne_bytes = self.borne_bytes.max(bytes);
                    let others = &self.in_flight;
                    self.learned
                        .record_response(slots, |ticket| others.contains(ticket));
                    self.view
                        .record_response(now, response_us, in_flight.work_us, true);
                }
            }
            (None, None) => {}
        }
        None
    }

    /// Returns the number of requests and the bytes of their bodies when the connections began to break; `None` if none
    /// broke within the last second.
    pub(crate) fn load_at_break(&self, now: Millis) -> Option<(usize, u64)> {
        self.break_load.at(now)
    }

    /// Returns the most bytes of request bodies that the server held when it responded.
    pub(crate) const fn borne_bytes(&self) -> u64 {
        self.borne_bytes
    }

    /// Returns the bytes of the bodies of the requests in flight.
    pub(crate) fn bytes(&self) -> u64 {
        self.in_flight.bytes()
    }

    /// Returns the largest body that a request may have now. A server without bytes gets one of any size.
    pub(crate) fn free_bytes(&self, now: Millis) -> u64 {
        let Some(limit) = self.byte_limit else {
            return u64::MAX;
        };
        match self.bytes() {
            0 => u64::MAX,
            bytes => limit.at(now).saturating_sub(bytes),
        }
    }

    /// Returns `true` if the server gets no requests now because it was full or its connections failed.
    pub(crate) fn is_paused(&self, now: Millis) -> bool {
        self.view.is_paused(now)
    }

    /// Removes requests for which no report of their end arrived.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.in_flight.expire(now);
    }
}
