//! The list of events.

use chicoryrail_policy::Load;

use crate::policy::request::End;

/// Something that happens; numbers are those of requests, copies, servers, gates and queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    Arrive(usize),
    End(usize, End),
    Restart(usize),
    Unseen(usize),
    Deadline(usize),
    /// A forwarded copy reaches the gate that holds the servers; whether it may only take a slot
    /// that is free, and the load at its home gate.
    Offer(usize, bool, Load),
    /// A forwarded copy's end, or `None` for a refusal, is back at its home gate.
    Back(usize, Option<End>, Load),
    Cancel(usize),
    Hedge(usize),
    Wake(usize, usize),
}

/// Time in microseconds, a serial number against ties, and what happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct At(pub(crate) u64, pub(crate) u64, pub(crate) Event);

impl Ord for At {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
