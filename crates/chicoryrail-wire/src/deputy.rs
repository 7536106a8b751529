//! Copies of a held shard for its deputy.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::Fence;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_core::ShardId;

use crate::RouteTable;

/// Tells a shard's deputy what is in force, every 100 ms and at each change; holder to deputy.
///
/// While these stop coming the deputy keeps routes and sessions valid as the last one says.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct DeputyCopy {
    /// The shard.
    pub shard: ShardId,
    /// Holder that copies.
    pub holder: HostName,
    /// Witnesses of the shard's record.
    pub witnesses: Vec<HostName>,
    /// Epoch and version of what is copied. For a part of the order ids the version is 1 once every
    /// claim has been copied.
    pub fence: Fence,
    /// The routes, where the deputy does not have this version yet.
    pub table: Option<RouteTable>,
    /// Servers whose sessions the deputy may renew.
    pub renew: Vec<ServerName>,
    /// How long claims may still be missing from the holder's own window of order ids; zero for a
    /// section.
    pub blind: Millis,
    /// Whether the holder has given the shard up, in the store too, so that the deputy may claim it at
    /// once.
    pub released: bool,
}

/// Answers a [`DeputyCopy`]: the deputy acts on nothing older than `known` any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DeputyReply {
    /// Version that the deputy has.
    pub known: Fence,
    /// Time since the deputy last kept a route or a session valid; the longest time if it never did.
    pub quiet: Millis,
}
