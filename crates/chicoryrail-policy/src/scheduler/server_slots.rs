//! What the scheduler knows of one server.

use std::collections::HashMap;
use std::collections::VecDeque;

use chicoryrail_core::Millis;

use crate::Failure;
use crate::LoadReport;
use crate::shared::server_view::ServerView;

/// Part of what a cold server bears that is used. While hosts hear different others, two of them may schedule
/// for it.
const COLD_BOUND_PART: f64 = 0.5;

/// Window of a cold server's bound, a little more than its second: requests are counted where they arrive.
const COLD_WINDOW: Millis = Millis(1_120);

/// Time after its deadline at which a request is taken for ended although nobody said so: the message of its
/// end was lost, or its host was.
const END_MESSAGE_TIMEOUT: Millis = Millis(300);

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
    /// Its data centre, by number.
    pub near: u32,
    /// Whether this host is the one that schedules for it. Another host may do so as well for a moment.
    pub ours: bool,
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
            since: now,
        }
    }

    /// Takes in what the server may get.
    pub(crate) fn set(&mut self, now: Millis, state: SlotState) {
        if state.ours && !self.state.ours {
            self.since = now;
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
    }

    /// Returns the slots that are free; of a cold server one, since it may bear no second.
    pub(crate) fn free(&self, now: Millis) -> usize {
        if !self.has_slot(now) {
            0
        } else if now < self.state.cold_until {
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

    /// Estimates the time until a slot is free, in microseconds; 0 where one is.
    pub(crate) fn free_in(&self, now: Millis) -> f64 {
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
