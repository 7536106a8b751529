//! What the store keeps of a shard.

use chicoryrail_core::Epoch;
use chicoryrail_core::Fence;
use chicoryrail_core::HostName;
use chicoryrail_core::ServerName;
use serde::Deserialize;
use serde::Serialize;

/// Value of `shard/{id}`; changes only by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardRecord {
    /// Epoch of the holder.
    pub epoch: Epoch,
    /// Host whose controller holds the shard.
    pub holder: HostName,
    /// Host whose controller keeps it going while the holder is silent.
    pub deputy: Option<HostName>,
    /// Hosts whose majority confirms and promises.
    pub witnesses: Vec<HostName>,
    /// Unique id of the attempt that wrote the record; settles a lost answer by reading back.
    pub attempt: String,
    /// Whether the holder has stopped acting and will not act in this epoch again.
    pub released: bool,
}

/// Value of `assign/{id}`: the owners of a section's slices, sorted, in about 25 bytes a slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignRecord {
    /// Fence of the write.
    pub fence: Fence,
    /// Unique id of the attempt that wrote the record.
    pub attempt: String,
    /// Owners, in the order that `owners` refers to.
    pub servers: Vec<ServerName>,
    /// First position of each slice; a slice ends where the next begins.
    pub starts: Vec<u64>,
    /// Index of each slice's owner in `servers`; past the end where it has none.
    pub owners: Vec<u32>,
}
