//! What the scheduler knows of one server.

use std::collections::HashMap;
use std::collections::VecDeque;

use chicoryrail_core::Millis;

use crate::Failure;
use crate::LoadReport;
use crate::scheduler::rate_bucket::RateBucket;
use crate::shared::server_view::ServerView;

/// Part of what a cold server bears that is used. While hosts hear different others, two of them may schedule
/// for it.
const COLD_BOUND_PART: f64 = 0.5;

/// Window of a cold server's bound, a little more than its second: requests are counted where they arrive.
const COLD_WINDOW: Millis = Millis(1_120);

/// Time after its deadline at which a request is taken for ended although nobody said so: the message of its
/// end was lost, or its host was.
const END_MESSAGE_TIMEOUT: Millis = Millis(300);

/// Part of a new request in the mean work of those sent.
const WORK_SMOOTHING: f64 = 0.05;

/// What a server may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotState {
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub open: bool,
    /// Until when it is cold.
    pub cold_until: Millis,
    /// Requests a second that it bears while it is cold.
    pub cold_bound: f64,
    /// Requests a second that it takes from all hosts together; `None` where it takes any.
    pub limit: Option<f64>,
    /// Its data centre, by number.
    pub near: u32,
    /// Whether this host is the one that schedules for it. Another host may do so as well for a moment.
    pub ours: bool,
}

impl SlotState {
    /// Returns a warm server that takes any rate, and for which this host schedules.
    #[must_use]
    pub const fn open(slots: u32) -> Self {
        Self {
            slots,
            open: true,
            cold_until: Millis::ZERO,
            cold_bound: 0.0,
            limit: None,
            near: 0,
            ours: true,
        }
    }
}

/// A request at a server.
#[derive(Clone, Copy, Debug)]
struct Held {
    sent: Millis,
    deadline: Millis,
    work_us: f64,
}

/// What the scheduler knows of one server.
#[derive(Clone, Debug)]
pub(crate) struct ServerSlots {
    pub(crate) state: SlotState,
    view: ServerView,
    held: HashMap<u64, Held>,
    cold_sends: VecDeque<Millis>,
    bucket: RateBucket,
    /// Mean work of the requests sent, in microseconds.
    mean_work: f64,
    /// Since when this host schedules for the server: what was sent before, it does not know.
    since: Millis,
}

impl ServerSlots {
    pub(crate) fn new(now: Millis, state: SlotState) -> Self {
        Self {
            state,
            view: ServerView::new(state.slots),
            held: HashMap::new(),
            cold_sends: VecDeque::new(),
            bucket: RateBucket::empty(now),
            mean_work: 0.0,
            since: now,
        }
    }

    /// Takes in what the server may get.
    pub(crate) fn set(&mut self, now: Millis, state: SlotState) {
        let begins = state.ours && !self.state.ours;
        if begins {
            self.since = now;
        }
        if begins || self.state.limit.is_none() {
            self.bucket = RateBucket::empty(now);
        }
        self.state = state;
    }

    /// Tells whether the server has the request.
    pub(crate) fn holds(&self, ticket: u64) -> bool {
        self.held.contains_key(&ticket)
    }

    /// Returns the number of requests at the server.
    pub(crate) fn busy(&self) -> usize {
        self.held.len()
    }

    /// Estimates how long work takes here, relative to a usual server.
    pub(crate) fn slowness(&self, now: Millis) -> f64 {
        self.view.slowness(now)
    }

    /// Returns the mean speed alone, without the pace of the moment.
    pub(crate) fn speed(&self) -> f64 {
        self.view.speed
    }

    /// Estimates the share of requests that fail.
    pub(crate) fn fails(&self, now: Millis) -> f64 {
        self.view.fails(now)
    }

    /// Tells whether a request may be sent now.
    pub(crate) fn has_slot(&self, now: Millis) -> bool {
        self.state.open
            && !self.view.rests(now)
            && self.busy() < self.state.slots as usize
            && self.bears(now)
            && self.is_in_limit(now)
    }

    /// Returns the slots that are free; of a cold or limited server one, since it may bear no second.
    pub(crate) fn free(&self, now: Millis) -> usize {
        if !self.has_slot(now) {
            0
        } else if now < self.state.cold_until || self.state.limit.is_some() {
            1
        } else {
            self.state.slots as usize - self.busy()
        }
    }

    /// Tells whether the server's coldness leaves room for one more.
    fn bears(&self, now: Millis) -> bool {
        if now >= self.state.cold_until {
            return true;
        }
        // Others may have sent to it in the second before this host began to schedule for it.
        if !self.state.ours || now.since(self.since) < COLD_WINDOW {
            return false;
        }
        let recent = self
            .cold_sends
            .iter()
            .filter(|t| now.since(**t) < COLD_WINDOW);
        ((recent.count() + 1) as f64) <= self.state.cold_bound * COLD_BOUND_PART
    }

    /// Tells whether the rate that the server takes leaves room for one more. Where another host schedules for it,
    /// that one deals the rate out.
    fn is_in_limit(&self, now: Millis) -> bool {
        let within = |rate| self.state.ours && self.bucket.has_token(now, rate);
        self.state.limit.is_none_or(within)
    }

    /// Returns the work that the server does in the time in which one usual slot does one.
    pub(crate) fn pace(&self, now: Millis) -> f64 {
        let slots = f64::from(self.state.slots) / self.slowness(now);
        self.limited_slots().map_or(slots, |l| l.min(slots))
    }

    /// Returns the usual slots that do as much work as the server's limit lets through; `None` where it has none.
    pub(crate) fn limited_slots(&self) -> Option<f64> {
        let rate = self.state.limit?;
        Some(rate * self.mean_work / 1_000_000.0)
    }

    /// Estimates the time until a request may be sent, in microseconds; 0 where it may now.
    pub(crate) fn free_in(&self, now: Millis) -> f64 {
        let limit = self.state.limit;
        let token = limit.map_or(0.0, |rate| self.bucket.token_in(now, rate));
        self.slot_in(now).max(token)
    }

    fn slot_in(&self, now: Millis) -> f64 {
        let slots = self.state.slots as usize;
        if self.busy() < slots {
            return 0.0;
        }
        let slow = self.slowness(now);
        let left = self.held.values().map(|h| {
            let passed = now.since(h.sent).0 as f64 * 1_000.0;
            // Work that outlasts its estimate lasts a while longer.
            (h.work_us * slow - passed).max(h.work_us * 0.25)
        });
        let mut left: Vec<f64> = left.collect();
        left.sort_by(f64::total_cmp);
        left[self.busy() - slots]
    }

    pub(crate) fn send(&mut self, now: Millis, ticket: u64, deadline: Millis, work_us: f64) {
        let held = Held {
            sent: now,
            deadline,
            work_us,
        };
        self.held.insert(ticket, held);
        if let Some(rate) = self.state.limit {
            self.bucket.take(now, rate);
        }
        let smoothing = if self.mean_work > 0.0 {
            WORK_SMOOTHING
        } else {
            1.0
        };
        self.mean_work += (work_us - self.mean_work) * smoothing;
        while self
            .cold_sends
            .front()
            .is_some_and(|t| now.since(*t) >= COLD_WINDOW)
        {
            self.cold_sends.pop_front();
        }
        self.cold_sends.push_back(now);
    }

    /// Takes in the end of a request; one that the scheduler does not know was sent without it.
    pub(crate) fn end(
        &mut self,
        now: Millis,
        ticket: u64,
        us: Option<f64>,
        failure: Option<Failure>,
        report: Option<LoadReport>,
    ) {
        let held = self.held.remove(&ticket);
        if let Some(report) = report {
            self.view.heard(now, report);
        }
        match (failure, held) {
            (Some(failure), _) => self.view.failed(now, failure),
            (None, Some(held)) => {
                if let Some(us) = us {
                    self.view.took(now, us, held.work_us, true);
                }
            }
            (None, None) => {}
        }
    }

    /// Forgets requests whose end nobody told.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.held
            .retain(|_, h| now < h.deadline + END_MESSAGE_TIMEOUT);
    }
}
