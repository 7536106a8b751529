//! Decides on requests that can't meet their latency target and tolerate waiting.

use chicoryrail_core::Millis;

use crate::CallerEvents;
use crate::Scheduler;
use crate::scheduler::Decision;
use crate::scheduler::Placement;
use crate::scheduler::booked_place::Arrival;
use crate::scheduler::booked_place::BookedPlace;
use crate::scheduler::load_view::LoadView;
use crate::scheduler::return_calendar::Forecast;
use crate::scheduler::return_calendar::ReturnCalendar;
use crate::scheduler::scheduler::millis;
use crate::scheduler::waiting_request::WaitingRequest;
use crate::scheduler::work_ahead::WorkAhead;

impl Scheduler {
    /// Returns what was decided about callers since the last call.
    pub fn take_caller_events(&mut self) -> CallerEvents {
        std::mem::take(&mut self.events)
    }

    /// Returns the number of places that are booked for callers to return.
    #[must_use]
    pub fn booked_places(&self) -> usize {
        self.calendars.values().map(ReturnCalendar::len).sum()
    }

    /// Frees the place of a caller that has returned. Its latency target is still that of its first attempt.
    pub(super) fn recognise_return(&mut self, now: Millis, waiting: &mut WaitingRequest) {
        let request = &mut waiting.request;
        if (request.caller, request.head) == (0, 0) {
            return;
        }
        // The key may have moved to another owner since the place was booked.
        let mut calendars = self.calendars.values_mut();
        let Some(place) = calendars.find_map(|c| c.take(now, request)) else {
            return;
        };
        // The reply to an earlier query of the same attempt may have been lost.
        let is_repeated = place.ticket == request.ticket;
        let arrival = match place.arrival(now) {
            _ if is_repeated => Arrival::TooEarly(place.at.since(now)),
            arrival => arrival,
        };
        waiting.returns = place.returns;
        waiting.arrival = Some(arrival);
        waiting.is_late = matches!(arrival, Arrival::TooEarly(_));
        request.latency_target = request.latency_target.min(place.latency_target);
        match arrival {
            Arrival::TooEarly(_) if is_repeated => waiting.returns -= 1,
            Arrival::TooEarly(_) => self.events.too_early += 1,
            Arrival::InTime => self.events.honoured += 1,
            Arrival::Late => self.events.too_late += 1,
        }
    }

    /// Decides on late requests behind the work of all others. Callers that have returned at their time go first, then
    /// the others, by deadline.
    pub(super) fn decide_late(
        &mut self,
        now: Millis,
        mut late: Vec<WaitingRequest>,
        work_ahead: &mut WorkAhead,
        view: &mut LoadView,
        decisions: &mut Vec<(u64, Decision)>,
    ) {
        // Shares decide only who is served in time: in any other order than by deadline, more late requests lapse.
        late.sort_by_key(|w| (w.arrival != Some(Arrival::InTime), w.request.deadline));
        for mut waiting in late {
            waiting.is_new = false;
            let ahead_us = work_ahead.of(waiting.placement);
            let ticket = waiting.request.ticket;
            if let Some(server) = self.try_send(now, &waiting, *ahead_us, view) {
                decisions.push((ticket, Decision::Send(server)));
            } else if let Err(after) = self.check_late_wait(now, &waiting, *ahead_us, view) {
                let decision = self.refuse_late(now, &waiting, *ahead_us, after, view);
                decisions.push((ticket, decision));
            } else {
                *ahead_us += waiting.request.work_us;
                self.waiting.push(waiting);
            }
        }
    }

    /// Checks whether a late request may keep waiting behind `ahead_us` microseconds of work and what overtakes it.
    ///
    /// # Errors
    ///
    /// Returns the time after which there may be capacity.
    fn check_late_wait(
        &self,
        now: Millis,
        waiting: &WaitingRequest,
        ahead_us: f64,
        view: &LoadView,
    ) -> Result<(), Millis> {
        let WaitingRequest {
            request, placement, ..
        } = waiting;
        // A caller that may not return again has nothing to lose by waiting for the load to fall.
        let may_return = BookedPlace::may_return(waiting.returns);
        if may_return && let Some(Arrival::TooEarly(rest)) = waiting.arrival {
            return Err(rest);
        }
        let overtaking = match may_return {
            true => self.overtaking_slots(now, waiting),
            false => 0.0,
        };
        let left_us = request.deadline.since(now).0 as f64 * 1_000.0;
        match view.late_response_in_us(request, *placement, ahead_us, overtaking) {
            Some(response_us) if response_us <= left_us => Ok(()),
            Some(response_us) => Err(millis((response_us - left_us).max(request.work_us * 0.5))),
            None => Err(millis(request.work_us)),
        }
    }

    /// Refuses a late request. Its caller is given a time to return if it has one left.
    fn refuse_late(
        &mut self,
        now: Millis,
        waiting: &WaitingRequest,
        ahead_us: f64,
        after: Millis,
        view: &LoadView,
    ) -> Decision {
        let (request, returns) = (&waiting.request, waiting.returns);
        if !BookedPlace::may_return(returns) || waiting.placement == Placement::Unassigned {
            return Decision::Refuse(after);
        }
        let spare_slots = view.capacity(waiting.placement) - self.overtaking_slots(now, waiting);
        let calendar = self.calendars.entry(waiting.placement).or_default();
        if let Some(Arrival::TooEarly(rest)) = waiting.arrival {
            calendar.insert(BookedPlace::new(now, rest, request, returns));
            return Decision::Return(rest);
        }
        let wait_us = view.wait_in_us(request, waiting.placement, ahead_us);
        let forecast = Forecast {
            waiting_us: wait_us.unwrap_or(0.0) * view.capacity(waiting.placement),
            spare_slots,
        };
        let Some(after) = calendar.book(now, request, returns, forecast) else {
            return Decision::Refuse(after);
        };
        self.events.booked += 1;
        Decision::Return(after)
    }

    /// Returns the number of usual slots that the requests that overtake a late one have occupied of late.
    fn overtaking_slots(&self, now: Millis, waiting: &WaitingRequest) -> f64 {
        let rate = self.overtaking.get(&waiting.placement);
        rate.map_or(0.0, |rate| rate.busy_slots(now))
    }
}
