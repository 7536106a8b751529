//! What hosts ask, and what they are told.

use chicoryrail_core::Millis;

use crate::Failure;
use crate::LoadReport;
use crate::ServerId;

/// A request that asks for a server; times count on the scheduler's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotRequest {
    /// Names the request among all hosts.
    pub ticket: u64,
    /// Rank when there is not room for all; 0 goes first.
    pub rank: u8,
    /// Until when an answer is worth most to the caller.
    pub aim: Millis,
    /// When the caller gives up.
    pub deadline: Millis,
    /// How long a usual server works on it, in microseconds.
    pub work_us: f64,
    /// Its key, for a keyed service.
    pub key: Option<u16>,
    /// Servers that had it before and should not get it again.
    pub not: Vec<ServerId>,
    /// Data centre of the host that asks, by number.
    pub near: u32,
    /// Whether its answer is large.
    pub large: bool,
}

/// Where a request may go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// To any server of the service.
    #[default]
    Any,
    /// To the one that holds its key.
    Owner(ServerId),
    /// Nowhere for the moment: its key changes hands.
    Moving,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is to be sent to this server now.
    Send(ServerId),
    /// There is no room before its time is up; it may be after this time.
    Refuse(Millis),
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotRelease {
    /// The request.
    pub ticket: u64,
    /// The server that had it.
    pub server: ServerId,
    /// Time from the send to the answer in microseconds; `None` where the caller left before.
    pub us: Option<f64>,
    /// How it failed; `None` for an answer.
    pub failure: Option<Failure>,
    /// What the server said of its load.
    pub report: Option<LoadReport>,
}
