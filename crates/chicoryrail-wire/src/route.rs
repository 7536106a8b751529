//! Routes: which server owns a slice, and which gate speaks to a server.

use std::net::SocketAddr;

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::DcName;
use chicoryrail_core::Fence;
use chicoryrail_core::HostName;
use chicoryrail_core::KeyHash;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::ShardId;
use chicoryrail_core::Slice;

/// Renews a gate's routes at a controller.
///
/// Source: each gate, to each controller that holds a shard the gate uses. The gate counts validity
/// from before it sent the call.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RouteRequest {
    /// Host of the gate.
    pub gate: HostName,
    /// Random number drawn at the gate's start.
    pub instance: u64,
    /// Whether the gate leaves; the controller then hands its servers to other gates.
    pub leaving: bool,
    /// Version of each table that the gate has in force. A version is acknowledged here only after
    /// the gate has stopped new work that the version forbids and has no such work in flight.
    pub known: Vec<(ShardId, Fence)>,
    /// What the gate has seen of the servers whose slots it holds.
    pub seen: Vec<ServerSeen>,
    /// Longest time the controller may hold the call while nothing changes.
    pub wait: Millis,
}

/// A gate's own observation of a server.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ServerSeen {
    /// The server.
    pub server: ServerName,
    /// Requests in flight and queued for it at the gate.
    pub waiting: u32,
    /// Mean latency of the last second in microseconds; 0 where nothing was answered.
    pub latency_us: u32,
    /// Requests that the gate sent to it since the last report.
    pub sent: u32,
    /// Failures among them.
    pub failed: u32,
    /// Instance id that the server's last answer carried; 0 where none.
    pub instance: u64,
}

/// Answers a [`RouteRequest`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RouteReply {
    /// Tables that changed; a whole table each, or only its changed entries.
    pub tables: Vec<RouteTable>,
    /// Shards that the controller holds; all their tables are valid for [`RouteReply::valid`].
    pub held: Vec<(ShardId, Fence)>,
    /// How long the routes of the held shards are valid from before the gate sent the call.
    pub valid: Millis,
    /// Version of the configuration that the tables were made from; a gate that has an older one in
    /// force asks for it.
    pub version: u64,
}

/// The routes of one shard.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RouteTable {
    /// The shard.
    pub shard: ShardId,
    /// Order of the table; a gate never goes back to a lower one.
    pub fence: Fence,
    /// The servers of the shard, in the order that entries refer to.
    pub servers: Vec<ServerRoute>,
    /// The slices, sorted and without gaps; empty for a free service.
    pub entries: Vec<RouteEntry>,
}

impl RouteTable {
    /// Returns the entry whose slice holds `key`; `None` for a free service's table.
    ///
    /// A binary search over the sorted slices: its cost grows with the logarithm of their number.
    #[must_use]
    pub fn entry(&self, key: KeyHash) -> Option<&RouteEntry> {
        let i = self.entries.partition_point(|e| e.slice.last < key.0);
        self.entries.get(i).filter(|e| e.slice.contains(key))
    }
}

/// A slice and its owner, in 24 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RouteEntry {
    /// The slice.
    pub slice: Slice,
    /// Index of the owner in [`RouteTable::servers`].
    pub owner: u32,
    /// Whether requests may be sent or must be held.
    pub state: SliceState,
}

/// Whether a slice's requests may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum SliceState {
    /// Requests go to the owner.
    Settled,
    /// The owner changes: gates hold new requests for a bounded time.
    Moving,
}

/// A server as gates see it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ServerRoute {
    /// Name of the server.
    pub name: ServerName,
    /// Its data centre.
    pub dc: DcName,
    /// Address of its HTTP listener.
    pub addr: SocketAddr,
    /// Whether it takes work.
    pub state: ServerState,
    /// The one gate that holds the server's slots and connections; other gates send their requests
    /// through it. `None` while no gate may.
    pub gate: Option<HostName>,
    /// Most requests in flight at the server, over all gates: its slots when warm, less on a ramp.
    pub slots: u32,
}

/// Whether a server takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ServerState {
    /// It takes work up to its slots.
    Up,
    /// It is in cold start and takes less.
    Cold,
    /// Operators or the platform took it out: no new work.
    Out,
    /// It does not answer.
    Lost,
}
