//! A witness of shards' epochs.

use std::collections::BTreeMap;

use chicoryrail_core::Epoch;
use chicoryrail_core::Millis;
use chicoryrail_core::ShardId;

use crate::Timing;

/// What a witness answers to a newcomer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Vote {
    /// The witness confirms no epoch below the asked one from now on.
    Promised,
    /// The witness has promised this higher epoch.
    Higher(Epoch),
    /// The witness has just started.
    Silent,
}

/// Promises kept in memory: a witness can hold a change back, never make one.
///
/// After its start it stays silent for [`Timing::silence`]: it may have forgotten a promise, and a
/// confirmation against it would keep an old holder valid beside a new one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Witness {
    quiet: Millis,
    promised: BTreeMap<ShardId, Epoch>,
}

impl Witness {
    /// Starts a witness without memory.
    #[must_use]
    pub fn start(now: Millis, timing: &Timing) -> Self {
        Self {
            quiet: now + timing.silence(),
            promised: BTreeMap::new(),
        }
    }

    /// Tells whether no higher epoch was promised; `false` too while silent.
    #[must_use]
    pub fn confirm(&self, now: Millis, shard: &ShardId, epoch: Epoch) -> bool {
        now >= self.quiet && self.promised.get(shard).is_none_or(|p| *p <= epoch)
    }

    /// Promises an epoch, unless a higher one was promised.
    pub fn promise(&mut self, now: Millis, shard: &ShardId, epoch: Epoch) -> Vote {
        if now < self.quiet {
            return Vote::Silent;
        }
        match self.promised.get(shard) {
            Some(p) if *p > epoch => Vote::Higher(*p),
            _ => {
                self.promised.insert(shard.clone(), epoch);
                Vote::Promised
            }
        }
    }
}
