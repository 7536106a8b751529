//! Books the times at which refused callers return.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use chicoryrail_core::Millis;

use crate::scheduler::SlotRequest;
use crate::scheduler::booked_place::BookedPlace;

/// Length of a step.
const STEP: Millis = Millis(100);
/// Shortest time after which a caller is told to return.
const RETURN_MIN: Millis = Millis(50);
/// Largest number of steps from now that places are booked in. No forecast reaches further than some seconds.
const STEPS_MAX: u64 = 100;
/// Largest number of places. The oldest ones lapse: by then their callers have come or have left.
const PLACES_MAX: usize = 4_096;
/// Divisor of a caller's time left; callers return at most after a third of it.
const HORIZON_DIVISOR: u64 = 3;

/// Work that servers can do for callers that return.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    /// Work that waits now, in microseconds.
    pub(crate) waiting_us: f64,
    /// Usual slots that the requests that arrive leave free; below zero in an overload.
    pub(crate) spare_slots: f64,
}

/// Places of refused callers, in steps of 100 ms.
///
/// Guards against callers that all return at the same moment, or during the load peak in which they were refused: a
/// caller returns twice at most, so a return to full servers is lost.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReturnCalendar {
    /// Number of the first step in `steps`.
    first: u64,
    /// Booked work of each step, in microseconds.
    steps: VecDeque<f64>,
    /// Places by caller, head and number.
    places: BTreeMap<(u64, u64, u64), BookedPlace>,
    /// Callers and heads of the places by their number, in the order of booking. Some are free again.
    order: VecDeque<(u64, u64, u64)>,
    /// Number of the next place.
    next: u64,
}

impl ReturnCalendar {
    /// Books a place for a request that is refused after `returns` returns of its caller, and returns the time until
    /// it; `None` if the caller has too little time left to return.
    ///
    /// The place is in the earliest step with free capacity, at most a third of the caller's time left from now. If
    /// there is none, it is in the emptiest step of the last half of that time, which is most likely after the load peak.
    pub(crate) fn book(
        &mut self,
        now: Millis,
        request: &SlotRequest,
        returns: u8,
        forecast: Forecast,
    ) -> Option<Millis> {
        self.lapse(now);
        let until = request.caller_deadline.max(request.deadline);
        let latest = now + Millis(until.since(now).0 / HORIZON_DIVISOR);
        // The last step that ends in time.
        let horizon = (latest.0 / STEP.0).saturating_sub(self.first + 1);
        let horizon = horizon.min(STEPS_MAX);
        if horizon == 0 {
            return None;
        }
        let free = self.first_free_step(horizon, forecast);
        let ahead = free.unwrap_or_else(|| self.emptiest_step(horizon));
        // Callers of one step are spread over it, in a way that doesn't depend on a random number.
        let spread = self.next * 37 % STEP.0;
        let at = Millis((self.first + ahead) * STEP.0 + spread);
        let after = at.since(now).max(RETURN_MIN);
        self.insert(BookedPlace::new(now, after, request, returns));
        Some(after)
    }

    /// Books a place that was taken again.
    pub(crate) fn insert(&mut self, place: BookedPlace) {
        *self.step_mut(place.at) += place.work_us;
        let id = (place.caller, place.head, self.next);
        self.next += 1;
        self.places.insert(id, place);
        self.order.push_back(id);
        while self.order.len() > PLACES_MAX {
            self.remove_oldest();
        }
    }

    /// Frees and returns the place of the caller of a request that has returned.
    pub(crate) fn take(&mut self, now: Millis, request: &SlotRequest) -> Option<BookedPlace> {
        self.lapse(now);
        let (caller, head) = (request.caller, request.head);
        let places = self
            .places
            .range((caller, head, 0)..=(caller, head, u64::MAX));
        let places = places.filter(|(_, place)| place.is_for(now, request));
        // Of several callers with the same request, the one whose place is nearest returns.
        let nearest = places.min_by_key(|(_, place)| {
            let is_repeated = place.ticket == request.ticket;
            (!is_repeated, place.distance(now))
        });
        let id = nearest.map(|(id, _)| *id)?;
        self.remove(id)
    }

    /// Returns the number of places.
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns the first step from now that has capacity left behind the work that waits and that is booked before.
    fn first_free_step(&self, horizon: u64, forecast: Forecast) -> Option<u64> {
        let step_us = forecast.spare_slots * (STEP.0 * 1_000) as f64;
        if step_us <= 0.0 {
            return None;
        }
        let mut queued_us = forecast.waiting_us;
        (0..=horizon).find(|step| {
            queued_us += self.steps.get(*step as usize).copied().unwrap_or(0.0);
            let is_free = queued_us < step_us;
            queued_us = (queued_us - step_us).max(0.0);
            is_free && *step > 0
        })
    }

    /// Returns the step with the least booked work in the last half of the horizon, the last of several.
    fn emptiest_step(&self, horizon: u64) -> u64 {
        let booked = |step: u64| self.steps.get(step as usize).copied().unwrap_or(0.0);
        let steps = (horizon.div_ceil(2)..=horizon).rev();
        let emptiest = steps.min_by(|a, b| booked(*a).total_cmp(&booked(*b)));
        emptiest.unwrap_or(horizon)
    }

    /// Removes steps that have passed and places whose callers have no time left.
    fn lapse(&mut self, now: Millis) {
        let current = now.0 / STEP.0;
        if self.steps.is_empty() {
            self.first = current;
        }
        while self.first < current && self.steps.pop_front().is_some() {
            self.first += 1;
        }
        self.first = self.first.max(current);
        while let Some(id) = self.order.front() {
            let gone = self.places.get(id);
            if gone.is_some_and(|p| p.caller_deadline > now) {
                break;
            }
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(id) = self.order.pop_front() {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: (u64, u64, u64)) -> Option<BookedPlace> {
        let place = self.places.remove(&id)?;
        if place.at.0 / STEP.0 >= self.first {
            let booked = self.step_mut(place.at);
            *booked = (*booked - place.work_us).max(0.0);
        }
        Some(place)
    }

    /// Returns the booked work of the step at a time that has not passed.
    fn step_mut(&mut self, at: Millis) -> &mut f64 {
        let index = (at.0 / STEP.0).saturating_sub(self.first) as usize;
        if self.steps.len() <= index {
            self.steps.resize(index + 1, 0.0);
        }
        &mut self.steps[index]
    }
}
