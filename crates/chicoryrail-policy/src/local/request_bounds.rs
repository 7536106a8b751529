//! How long a request may still wait at a host.

use chicoryrail_core::Millis;

/// Minimum time before the end of a request at which it is still sent; with less, no response is expected in time.
const SEND_TIME_MIN: Millis = Millis(5);

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
    /// Returns the bounds of a request with this `deadline`. From `process_end` on the process gives no response; it is
    /// `None` while that is not known. `response_time` is how long a response may take after the request was sent.
    #[must_use]
    pub fn new(deadline: Millis, process_end: Option<Millis>, response_time: Millis) -> Self {
        let send_by = Millis(deadline.0.saturating_sub(SEND_TIME_MIN.0));
        let own = Self {
            send_by,
            respond_by: deadline,
            by_process_end: false,
        };
        let Some(end) = process_end else {
            return own;
        };
        let last_send = Millis(end.0.saturating_sub(response_time.0.max(SEND_TIME_MIN.0)));
        Self {
            send_by: send_by.min(last_send),
            respond_by: deadline.min(end),
            by_process_end: last_send < send_by,
        }
    }
}
