//! A request in the queue of a scheduler.

use chicoryrail_core::Millis;

use crate::scheduler::Placement;
use crate::scheduler::SlotRequest;
use crate::scheduler::booked_place::Arrival;
use crate::scheduler::load_view::LoadView;

/// A request in the queue.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) request: SlotRequest,
    pub(crate) enqueued_at: Millis,
    /// Servers that the request may be sent to, at the last poll.
    pub(crate) placement: Placement,
    /// Whether the only server that may have it advertises a rate limit, at the last poll.
    pub(crate) owner_limited: bool,
    /// Whether no poll has found servers for it yet.
    pub(crate) is_new: bool,
    /// Whether it would meet its latency target if it went next, at the last poll.
    pub(crate) in_time: bool,
    /// Whether it waits behind the requests that can meet their latency target. This stays so: if it went before others
    /// again once the queue is shorter, those would miss their targets in its place.
    pub(crate) is_late: bool,
    /// Whether its key, caller or route had more than its share of the slots, at the last poll.
    pub(crate) over_share: bool,
    /// Number of times that its caller has returned.
    pub(crate) returns: u8,
    /// When its caller has returned, if it had a place.
    pub(crate) arrival: Option<Arrival>,
}

impl WaitingRequest {
    pub(crate) const fn new(now: Millis, request: SlotRequest) -> Self {
        Self {
            request,
            enqueued_at: now,
            placement: Placement::Any,
            owner_limited: false,
            is_new: true,
            in_time: true,
            is_late: false,
            over_share: false,
            returns: 0,
            arrival: None,
        }
    }

    /// Updates whether the request would meet its latency target if it went next.
    pub(crate) fn check_target(&mut self, now: Millis, view: &LoadView) {
        let earliest = view.response_in_us(&self.request, self.placement, 0.0);
        let in_time = |us: f64| now + Millis((us / 1_000.0) as u64) <= self.request.target_here();
        self.in_time = earliest.is_some_and(in_time);
        self.is_late = (self.is_late || !self.in_time) && self.may_wait_late();
    }

    /// Returns the place in the queue, lowest first. Requests that can still meet their latency target go first.
    pub(crate) const fn order(&self) -> (u8, u8, bool, Millis) {
        let request = &self.request;
        if self.in_time {
            (0, request.priority, self.over_share, request.latency_target)
        } else {
            (1, 0, false, request.deadline)
        }
    }

    /// Returns `true` if the request may wait behind those that can meet their latency target. While its key moves, no
    /// estimate tells whether it can. At an owner with a rate limit, requests beyond the limit are refused at once: the
    /// server asked for fewer, and its keys move only if their demand shows, which waiting callers don't repeat.
    pub(crate) fn may_wait_late(&self) -> bool {
        self.request.tolerates_waiting
            && self.placement != Placement::Unassigned
            && !self.owner_limited
    }
}
