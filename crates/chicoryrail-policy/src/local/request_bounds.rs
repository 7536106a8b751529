//! How long a request may still wait at a host.

use chicoryrail_core::Millis;

/// Minimum time before the end of a request at which it is still sent; with less, no response is expected in time.
const SEND_TIME_MIN: Millis = Millis(5);

/// Times of a process that was told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// Time of the stop signal.
    pub begun: Millis,
    /// Time from which on the process gives no response.
    pub last_response: Millis,
}

/// How long the responses of a route take after a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTime {
    /// Time that they usually take.
    pub usual: Millis,
    /// Time within which almost all arrive.
    pub longest: Millis,
}

/// Times until which a request may wait at a host: the earliest of the caller's deadline, the route's timeout and the end
/// of the host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestBounds {
    /// Time until which the request may be sent. If it has not been sent by then, it is refused as not run.
    pub send_by: Millis,
    /// Time until which its response may arrive.
    pub respond_by: Millis,
    /// Whether the end of the process sets the bounds. The caller then has time left to go to another host.
    pub by_process_end: bool,
}

impl RequestBounds {
    /// Returns the bounds of a request with this `deadline` at a host that is not told to stop.
    #[must_use]
    pub const fn new(deadline: Millis) -> Self {
        Self {
            send_by: earlier(deadline, SEND_TIME_MIN),
            respond_by: deadline,
            by_process_end: false,
        }
    }

    /// Returns the bounds at a host that stops.
    ///
    /// It sends a request only while almost all responses of its route would still arrive. It serves for at least half of
    /// its time, as long as the usual response arrives.
    #[must_use]
    pub fn within(self, stop: StopTimes, response: ResponseTime) -> Self {
        let half = Millis(stop.last_response.since(stop.begun).0 / 2);
        let kept = response.longest.min(half).max(response.usual);
        let last_send = earlier(stop.last_response, kept.max(SEND_TIME_MIN));
        Self {
            send_by: self.send_by.min(last_send),
            respond_by: self.respond_by.min(stop.last_response),
            by_process_end: last_send < self.send_by,
        }
    }
}

/// Returns the time that is `by` before `time`.
const fn earlier(time: Millis, by: Millis) -> Millis {
    Millis(time.0.saturating_sub(by.0))
}
