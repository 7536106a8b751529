//! What the store's tasks share, with its settings and counts.

use chicoryrail_core::Millis;
use chicoryrail_runtime::CancellationToken;
use serde::Deserialize;
use serde::Serialize;

use crate::Kv;
use crate::store::fault::StoreFaults;
use crate::store::rate::Rate;

/// Settings of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreOptions {
    /// Writes a second that pass; the rest gets status 429. `None` for no limit.
    pub writes: Option<u32>,
    /// Reads a second that pass, a watch counting as one.
    pub reads: Option<u32>,
    /// Seed of the faults' shares.
    pub seed: u64,
}

/// Calls counted, each waiting watch as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStats {
    /// Reads of one key.
    pub gets: u64,
    /// Transactions that wrote.
    pub swaps: u64,
    /// Transactions that did not write.
    pub conflicts: u64,
    /// Pages listed.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Lease calls.
    pub leases: u64,
    /// Calls refused because of the rates.
    pub limited: u64,
    /// Calls that met a fault.
    pub faulty: u64,
    /// Bytes of values written.
    pub written: u64,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) kv: Kv,
    pub(crate) stats: StoreStats,
    pub(crate) faults: StoreFaults,
    pub(crate) writes: Rate,
    pub(crate) reads: Rate,
    /// Cancelled at each change, then replaced; watches wait on it.
    pub(crate) changed: CancellationToken,
    /// Until when watches hear nothing; then the history is forgotten and they are cut.
    pub(crate) deaf_until: Millis,
}

impl State {
    pub(crate) fn new(options: StoreOptions) -> Self {
        Self {
            kv: Kv::default(),
            stats: StoreStats::default(),
            faults: StoreFaults::new(options.seed),
            writes: Rate::new(options.writes),
            reads: Rate::new(options.reads),
            changed: CancellationToken::new(),
            deaf_until: Millis::ZERO,
        }
    }

    /// Wakes every watch that waits.
    pub(crate) fn wake(&mut self) {
        std::mem::take(&mut self.changed).cancel();
    }
}
