//! The state that the store's tasks share, its options and its statistics.

use chicoryrail_core::Millis;
use chicoryrail_runtime::CancellationToken;
use serde::Deserialize;
use serde::Serialize;

use crate::Kv;
use crate::store::fault::StoreFaults;
use crate::store::rate_limiter::RateLimiter;

/// Options of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreOptions {
    /// Writes accepted a second; the others get status 429. `None` sets no limit.
    pub writes_per_s: Option<u32>,
    /// Reads accepted a second, each watch and lease renewal counted as one; the others get status 429. `None` sets no
    /// limit.
    pub reads_per_s: Option<u32>,
    /// Seed of the random choice of the calls that a fault affects.
    pub seed: u64,
}

/// Numbers of calls by kind; a watch counts once, however long it waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStats {
    /// Reads of one key.
    pub gets: u64,
    /// Committed transactions.
    pub swaps: u64,
    /// Rejected transactions.
    pub conflicts: u64,
    /// Pages listed.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Watches that wait at present.
    pub waiting: u64,
    /// Calls that opened, renewed or ended a lease.
    pub leases: u64,
    /// Calls refused by the rate limits.
    pub limited: u64,
    /// Calls affected by a fault.
    pub faulty: u64,
    /// Bytes of values written, in base64.
    pub written: u64,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) kv: Kv,
    pub(crate) stats: StoreStats,
    pub(crate) faults: StoreFaults,
    pub(crate) write_limiter: RateLimiter,
    pub(crate) read_limiter: RateLimiter,
    /// Watches wait for this token; each change cancels and replaces it.
    pub(crate) changed: CancellationToken,
    /// End of the stall during which watches return no changes. After it the history is compacted and the stalled
    /// watches get status 503.
    pub(crate) stalled_until: Millis,
}

impl State {
    pub(crate) fn new(options: StoreOptions) -> Self {
        Self {
            kv: Kv::default(),
            stats: StoreStats::default(),
            faults: StoreFaults::new(options.seed),
            write_limiter: RateLimiter::new(options.writes_per_s),
            read_limiter: RateLimiter::new(options.reads_per_s),
            changed: CancellationToken::new(),
            stalled_until: Millis::ZERO,
        }
    }

    /// Wakes every waiting watch.
    pub(crate) fn wake_watches(&mut self) {
        std::mem::take(&mut self.changed).cancel();
    }
}
