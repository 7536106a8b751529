//! What a controller knows, for the administration API.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::Fence;
use chicoryrail_core::Millis;
use chicoryrail_core::ShardId;

use crate::Heartbeat;
use crate::RouteTable;

/// Answers a status call.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StatusReply {
    /// The controller's own heartbeat.
    pub own: Heartbeat,
    /// The processes that the controller exchanges heartbeats with.
    pub peers: Vec<PeerSeen>,
    /// Shards that the controller holds and may act on now.
    pub held: Vec<(ShardId, Fence)>,
    /// Tables of the held shards; empty where they were not asked for.
    pub tables: Vec<RouteTable>,
}

/// A peer as a controller sees it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PeerSeen {
    /// Its last heartbeat.
    pub beat: Heartbeat,
    /// Time since its last heartbeat came.
    pub silent: Millis,
    /// Whether the platform's host list has its host.
    pub listed: bool,
}
