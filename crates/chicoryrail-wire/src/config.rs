//! Spread of configuration.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::Config;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;

/// Asks a peer for a configuration newer than the one known.
///
/// Source: any process to any controller. The peer may hold the call for `wait` before it answers
/// that there is none.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ConfigRequest {
    /// Host that asks.
    pub host: HostName,
    /// Version that the asker has in force; 0 where none.
    pub known: u64,
    /// Longest time the peer may hold the call.
    pub wait: Millis,
}

/// Answers a [`ConfigRequest`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ConfigReply {
    /// Highest version that the peer knows to be stored.
    pub version: u64,
    /// The configuration, where it is newer than the asker's.
    pub config: Option<Config>,
}
