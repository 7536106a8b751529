//! A place in a return calendar.

use chicoryrail_core::Millis;

use crate::scheduler::SlotRequest;

/// Time before its place from which on a caller that returns is in time.
const EARLY_MAX: Millis = Millis(100);
/// Time after its place until which a caller that returns is in time.
const LATE_MAX: Millis = Millis(500);
/// Largest difference between the deadlines of two attempts of one caller, as computed at the scheduler. A host without
/// processor time for a period of 100 ms delays a query by as much.
const DEADLINE_TOLERANCE: Millis = Millis(250);
/// Divisor of the time since a place was booked; the result bounds the tolerance of deadlines. Several callers behind one
/// address may request the same, one after the other: the deadline of another caller is later by that whole time.
const TOLERANCE_DIVISOR: u64 = 2;
/// Time after the booking from which on a caller may have returned. Callers that request the same at the same moment are
/// not taken for one that returns.
const ELAPSED_MIN: Millis = Millis(40);
/// Number of times that a caller comes back after a refusal.
const RETURNS_MAX: u8 = 2;

/// The time at which a refused caller was told to return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BookedPlace {
    /// Ticket of the refused attempt.
    pub(crate) ticket: u64,
    pub(crate) caller: u64,
    pub(crate) head: u64,
    pub(crate) booked_at: Millis,
    /// Time of the place.
    pub(crate) at: Millis,
    /// Latency target of the caller's first attempt.
    pub(crate) latency_target: Millis,
    pub(crate) caller_deadline: Millis,
    pub(crate) work_us: f64,
    /// Number of the caller's returns, the one to this place included.
    pub(crate) returns: u8,
}

/// How the time at which a caller returns compares to its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// Before the place, by this time.
    TooEarly(Millis),
    /// Near the time of the place.
    InTime,
    /// After the place.
    Late,
}

impl BookedPlace {
    /// Returns the place after the duration `after` of a request that is refused after `returns` returns of its caller.
    pub(crate) fn new(now: Millis, after: Millis, request: &SlotRequest, returns: u8) -> Self {
        Self {
            ticket: request.ticket,
            caller: request.caller,
            head: request.head,
            booked_at: now,
            at: now + after,
            latency_target: request.latency_target,
            caller_deadline: request.caller_deadline,
            work_us: request.work_us,
            returns: returns + 1,
        }
    }

    /// Returns `true` if a caller may still return after `returns` returns.
    pub(crate) const fn may_return(returns: u8) -> bool {
        returns < RETURNS_MAX
    }

    /// Returns `true` if the request is a further attempt of the caller that has the place, or its query is repeated.
    pub(crate) fn is_for(&self, now: Millis, request: &SlotRequest) -> bool {
        let elapsed = now.since(self.booked_at);
        let tolerance = DEADLINE_TOLERANCE.min(Millis(elapsed.0 / TOLERANCE_DIVISOR));
        let difference = distance(self.caller_deadline, request.caller_deadline);
        (self.caller, self.head) == (request.caller, request.head)
            && (self.ticket == request.ticket || elapsed >= ELAPSED_MIN && difference <= tolerance)
    }

    /// Returns how far the place is from now.
    pub(crate) fn distance(&self, now: Millis) -> Millis {
        distance(self.at, now)
    }

    /// Compares the time at which the caller returns to its place.
    pub(crate) fn arrival(&self, now: Millis) -> Arrival {
        if now + EARLY_MAX < self.at {
            Arrival::TooEarly(self.at.since(now))
        } else if now <= self.at + LATE_MAX {
            Arrival::InTime
        } else {
            Arrival::Late
        }
    }
}

fn distance(a: Millis, b: Millis) -> Millis {
    a.since(b).max(b.since(a))
}
