//! Heartbeats between processes.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use serde::Deserialize;
use serde::Serialize;

/// Which of a host's processes speaks.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// The process that serves callers.
    Gate,
    /// The process that holds shards.
    Controller,
    /// The administration API.
    Admin,
}

/// Whether a process takes new work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It takes new work.
    Live,
    /// It finishes what it has and then stops.
    Leaving,
}

/// Says that a process is alive, and what it has in force.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Heartbeat {
    /// Host of the sender.
    pub host: HostName,
    /// Data centre of the sender.
    pub dc: DcName,
    /// Which process of the host it is.
    pub role: Role,
    /// Random number drawn at the process's start; a restart shows as another one.
    pub instance: u64,
    /// Whether the sender takes new work.
    pub state: HostState,
    /// Version of the configuration that the sender has in force.
    pub version: u64,
}

/// Answers a [`Heartbeat`] with the receiver's own state.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct HeartbeatReply {
    /// The receiver's own heartbeat.
    pub own: Heartbeat,
}
