//! Confirmations and promises of witnesses.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::Epoch;
use chicoryrail_core::HostName;
use chicoryrail_core::ShardId;

/// Asks a witness whether it has promised no higher epoch than the holder's.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Confirm {
    /// Holder that asks.
    pub holder: HostName,
    /// Shards and the epochs in which they are held.
    pub shards: Vec<(ShardId, Epoch)>,
}

/// Answers a [`Confirm`], in the same order.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Confirmed {
    /// Random number of the witness's run: a holder whose validity has run out counts only runs
    /// that have confirmed its epoch before, since a restarted witness may have lost a promise.
    pub instance: u64,
    /// Whether the witness has promised no higher epoch; `false` too while it is silent after a
    /// start.
    pub shards: Vec<bool>,
    /// Version of the configuration that the witness has in force; a holder that has a lower one
    /// fetches it, so that a holder cut off from the store still learns of a roll.
    pub version: u64,
}

/// Asks a witness to promise an epoch: to confirm no lower one again.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Promise {
    /// Newcomer that asks.
    pub newcomer: HostName,
    /// The shard.
    pub shard: ShardId,
    /// The epoch to promise.
    pub epoch: Epoch,
}

/// Answers a [`Promise`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PromiseReply {
    /// The witness confirms no epoch below the asked one from now on.
    Promised,
    /// The witness has promised a higher epoch.
    Higher(Epoch),
    /// The witness has just started and stays silent.
    Silent,
}
