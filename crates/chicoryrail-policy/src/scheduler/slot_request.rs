//! Queries of hosts for a slot, and the decisions on them.

use chicoryrail_core::Millis;

use crate::Failure;
use crate::LoadReport;
use crate::ServerId;

/// Query of a request for a slot at a server. Times are on the scheduler's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotRequest {
    /// Identifies the request among all hosts.
    pub ticket: u64,
    /// Priority if there is not enough capacity for all requests; 0 goes first.
    pub priority: u8,
    /// Latency target: the time until which a response has its full value to the caller.
    pub latency_target: Millis,
    /// Time at which the caller cancels.
    pub deadline: Millis,
    /// Time that a usual server needs for the request, in microseconds.
    pub work_us: f64,
    /// Its shard key; `None` if the service is not keyed.
    pub key: Option<u16>,
    /// Servers that had the request before and should not receive it again.
    pub excluded: Vec<ServerId>,
    /// Index of the querying host's data centre.
    pub dc_index: u32,
    /// Whether its response is large.
    pub large_response: bool,
    /// Whether its caller has time to wait for a slot, or to return, beyond the latency target.
    pub tolerates_waiting: bool,
    /// Time until which the caller retries if it is refused; at or after `deadline`.
    pub caller_deadline: Millis,
    /// Hash of the caller's address; 0 if it is not known.
    pub caller: u64,
    /// Hash of the request's head, the same when the caller sends it again; 0 if it is not known.
    pub head: u64,
    /// Hash of the route's name; 0 if it is not known, or if the request runs at most once.
    pub route: u64,
    /// Declared length of the body; 0 without one.
    pub body_bytes: u64,
}

impl SlotRequest {
    /// Returns the time until which the request should wait among those that can meet their latency target. A caller with
    /// time beyond the deadline can go to another host, so it is not kept here for a response that comes after it.
    pub(crate) fn target_here(&self) -> Millis {
        if self.caller_deadline > self.deadline {
            self.latency_target.min(self.deadline)
        } else {
            self.latency_target
        }
    }
}

/// Servers that a request may be sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Placement {
    /// Any server of the service.
    #[default]
    Any,
    /// Only the owner of the request's key.
    Owner(ServerId),
    /// No server at present, as the key of the request has no owner or is moving to another one.
    Unassigned,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent to this server now.
    Send(ServerId),
    /// The request is refused: no capacity is expected in time, but there may be some after this duration.
    Refuse(Millis),
    /// The request is refused, and its caller should return after exactly this duration.
    Return(Millis),
}

/// Report of the end of a send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotRelease {
    /// Ticket of the request.
    pub ticket: u64,
    /// Server that had the request.
    pub server: ServerId,
    /// Time from the send to the response, in microseconds; `None` if the caller cancelled before.
    pub elapsed_us: Option<f64>,
    /// Failure of the send; `None` if the server responded, or the caller cancelled before.
    pub failure: Option<Failure>,
    /// Load that the server reported with its response; `None` without a report.
    pub report: Option<LoadReport>,
}
