//! Tracks the requests in flight at one server, and whether it may get another one.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::collections::hash_map::Entry;

use chicoryrail_core::Millis;

use crate::Failure;
use crate::LoadReport;
use crate::local::server_view::ServerView;
use crate::scheduler::HeldRequest;
use crate::scheduler::SlotRequest;
use crate::scheduler::byte_limit::ByteLimit;
use crate::scheduler::learned_limit::LearnedLimit;
use crate::scheduler::rate_bucket::RateBucket;
use crate::scheduler::takeover::Takeover;

/// Fraction of the warm-up rate that is used. While hosts disagree about which hosts are alive, two of them may
/// schedule the same server.
const WARMUP_RATE_FRACTION: f64 = 0.5;

/// Window of the warm-up rate. It is a little longer than the second of the rate, because requests are counted where
/// they arrive.
const WARMUP_WINDOW: Millis = Millis(1_120);

/// Time after its deadline at which a request counts as ended without a [`SlotRelease`](crate::SlotRelease): the
/// release, or the host that should have sent it, was lost.
const RELEASE_TIMEOUT: Millis = Millis(300);

/// Time in which the connections of a server that ends break. They break one after the other.
const BREAK_TIME: Millis = Millis(1_000);

/// Weight of a new request in the mean work of the requests sent.
const WORK_SMOOTHING: f64 = 0.05;

/// State of a server that a scheduler needs to assign requests to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerStatus {
    /// Maximum number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub accepting: bool,
    /// End of its warm-up; in the past for a warm server.
    pub warmup_until: Millis,
    /// Requests per second, from all hosts together, that it can process during its warm-up.
    pub warmup_rate_max: f64,
    /// Requests per second that it accepts from all hosts together; `None` without a limit.
    pub rate_limit: Option<f64>,
    /// Index of its data centre.
    pub dc_index: u32,
    /// Whether this host schedules the server. Another host may schedule it too while hosts disagree about which hosts
    /// are alive.
    pub scheduled_here: bool,
    /// When this host began to schedule the server in place of another one, if hosts then report their requests there.
    pub taken_over_at: Option<Millis>,
}

impl ServerStatus {
    /// Returns a warm server without a rate limit that this host schedules.
    #[must_use]
    pub const fn warm(slots: u32) -> Self {
        Self {
            slots,
            accepting: true,
            warmup_until: Millis::ZERO,
            warmup_rate_max: 0.0,
            rate_limit: None,
            dc_index: 0,
            scheduled_here: true,
            taken_over_at: None,
        }
    }
}

/// A request in flight at a server.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    sent_at: Millis,
    deadline: Millis,
    work_us: f64,
    /// Number of requests at the server when this one was sent, itself included.
    requests: u32,
    body_bytes: u64,
}

/// Requests at a server when its connections began to break.
#[derive(Clone, Copy, Debug)]
struct Break {
    at: Millis,
    requests: usize,
    bytes: u64,
}

/// State of one server at the scheduler.
#[derive(Clone, Debug)]
pub(crate) struct ServerSlots {
    pub(crate) state: ServerStatus,
    view: ServerView,
    /// Requests in flight, by their tickets.
    in_flight: HashMap<u64, InFlight>,
    /// Times of the sends within [`WARMUP_WINDOW`].
    warmup_sends: VecDeque<Millis>,
    bucket: RateBucket,
    /// Limit on the requests in flight after a request got no response.
    learned: LearnedLimit,
    /// Limit on the bytes of request bodies.
    pub(crate) byte_limit: Option<ByteLimit>,
    /// Most bytes of request bodies that the server held when it responded.
    borne_bytes: u64,
    /// The first of the connections that broke lately.
    broke: Option<Break>,
    /// Queries while another host schedules the server.
    pub(crate) takeover: Takeover,
    /// Mean work of the requests sent, in microseconds; 0 before the first one.
    mean_work_us: f64,
    /// Time at which this host began to schedule the server. Sends before it are unknown.
    scheduling_since: Millis,
}

impl ServerSlots {
    pub(crate) fn new(now: Millis, state: ServerStatus) -> Self {
        Self {
            state,
            view: ServerView::new(state.slots),
            in_flight: HashMap::new(),
            warmup_sends: VecDeque::new(),
            bucket: RateBucket::empty(now),
            learned: LearnedLimit::default(),
            byte_limit: None,
            borne_bytes: 0,
            broke: None,
            takeover: Takeover::default(),
            mean_work_us: 0.0,
            scheduling_since: now,
        }
    }

    /// Sets the limit on the bytes of request bodies.
    pub(crate) fn with_byte_limit(self, byte_limit: Option<ByteLimit>) -> Self {
        Self { byte_limit, ..self }
    }

    /// Updates the server's state. The bucket is emptied when this host begins to schedule the server, or the server
    /// gets a rate limit.
    pub(crate) fn set(&mut self, now: Millis, state: ServerStatus) {
        let starts = state.scheduled_here && !self.state.scheduled_here;
        if starts {
            self.scheduling_since = now;
        }
        if starts || self.state.rate_limit.is_none() {
            self.bucket = RateBucket::empty(now);
        }
        self.state = state;
    }

    /// Returns `true` if the request is in flight at the server.
    pub(crate) fn has_request(&self, ticket: u64) -> bool {
        self.in_flight.contains_key(&ticket)
    }

    /// Returns the number of requests in flight at the server.
    pub(crate) fn busy(&self) -> usize {
        self.in_flight.len()
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
        self.state.accepting
            && !self.view.is_paused(now)
            && self.busy() < self.assignable_slots(now) as usize
            && self.is_within_warmup_rate(now)
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

    /// Returns `true` if the warm-up rate allows one more request.
    fn is_within_warmup_rate(&self, now: Millis) -> bool {
        if now >= self.state.warmup_until {
            return true;
        }
        // Other hosts may have sent requests in the second before this host began to schedule the server.
        if !self.state.scheduled_here || now.since(self.scheduling_since) < WARMUP_WINDOW {
            return false;
        }
        let recent = self
            .warmup_sends
            .iter()
            .filter(|t| now.since(**t) < WARMUP_WINDOW);
        ((recent.count() + 1) as f64) <= self.state.warmup_rate_max * WARMUP_RATE_FRACTION
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
        let limit = self.state.rate_limit;
        let token = limit.map_or(0.0, |rate| self.bucket.token_in_us(now, rate));
        let wait = self.takeover.wait_left(now, &self.state).0 as f64 * 1_000.0;
        self.slot_in_us(now).max(token).max(wait)
    }

    /// Estimates the time until a slot is free, in microseconds, without regard to limits.
    fn slot_in_us(&self, now: Millis) -> f64 {
        let slots = self.usable_slots() as usize;
        if self.busy() < slots {
            return 0.0;
        }
        let slowness = self.slowness(now);
        let remaining = self.in_flight.values().map(|r| {
            let elapsed_us = now.since(r.sent_at).0 as f64 * 1_000.0;
            // Work that exceeds its estimate is assumed to take another quarter of the estimate.
            (r.work_us * slowness - elapsed_us).max(r.work_us * 0.25)
        });
        let mut remaining: Vec<f64> = remaining.collect();
        remaining.sort_by(f64::total_cmp);
        remaining[self.busy() - slots]
    }

    /// Counts a request that another scheduler assigned; returns `false` if it is known.
    pub(crate) fn adopt(&mut self, now: Millis, request: &HeldRequest) -> bool {
        let requests = self.in_flight.len() as u32 + 1;
        let Entry::Vacant(entry) = self.in_flight.entry(request.ticket) else {
            return false;
        };
        entry.insert(InFlight {
            sent_at: now,
            deadline: request.deadline,
            work_us: request.work_us,
            requests,
            body_bytes: request.body_bytes,
        });
        true
    }

    /// Frees the slot of a request that was not sent; returns `true` if it had one.
    pub(crate) fn forget(&mut self, ticket: u64) -> bool {
        self.in_flight.remove(&ticket).is_some()
    }

    /// Records that a request is sent.
    pub(crate) fn record_send(&mut self, now: Millis, request: &SlotRequest) {
        let work_us = request.work_us;
        let requests = self.in_flight.len() as u32 + 1;
        let in_flight = InFlight {
            sent_at: now,
            deadline: request.deadline,
            work_us,
            requests,
            body_bytes: request.body_bytes,
        };
        self.in_flight.insert(request.ticket, in_flight);
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
        while self
            .warmup_sends
            .front()
            .is_some_and(|t| now.since(*t) >= WARMUP_WINDOW)
        {
            self.warmup_sends.pop_front();
        }
        self.warmup_sends.push_back(now);
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
            self.record_break(now);
        }
        let in_flight = self.in_flight.remove(&ticket);
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
                        .record_response(slots, |ticket| others.contains_key(&ticket));
                    self.view
                        .record_response(now, response_us, in_flight.work_us, true);
                }
            }
            (None, None) => {}
        }
        None
    }

    /// Records that a connection broke. What the server held at the first one is kept for a second.
    fn record_break(&mut self, now: Millis) {
        if self.load_at_break(now).is_none() {
            self.broke = Some(Break {
                at: now,
                requests: self.busy(),
                bytes: self.bytes(),
            });
        }
    }

    /// Returns the number of requests and the bytes of their bodies when the connections began to break; `None` if none
    /// broke within the last second.
    pub(crate) fn load_at_break(&self, now: Millis) -> Option<(usize, u64)> {
        let lately = self.broke.filter(|b| now.since(b.at) <= BREAK_TIME);
        lately.map(|b| (b.requests, b.bytes))
    }

    /// Returns the most bytes of request bodies that the server held when it responded.
    pub(crate) const fn borne_bytes(&self) -> u64 {
        self.borne_bytes
    }

    /// Returns the bytes of the bodies of the requests in flight.
    pub(crate) fn bytes(&self) -> u64 {
        self.in_flight.values().map(|r| r.body_bytes).sum()
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
        self.in_flight
            .retain(|_, r| now < r.deadline + RELEASE_TIMEOUT);
    }
}
