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
    /// Maximum number of writes per second, including calls that open or end a lease; further ones get status 429.
    /// `None` sets no limit.
    pub writes_per_s: Option<u32>,
    /// Maximum number of reads per second, including watches and lease renewals; further ones get status 429. `None`
    /// sets no limit.
    pub reads_per_s: Option<u32>,
    /// Seed for choosing the calls that a fault affects.
    pub seed: u64,
}

/// Statistics of the store's calls. A watch counts once, however long it waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStats {
    /// Reads of one key.
    pub gets: u64,
    /// Transactions that were committed.
    pub swaps: u64,
    /// Transactions that were rejected: a precondition failed, a value is invalid or a lease does not exist.
    pub conflicts: u64,
    /// Pages listed.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Watches currently waiting for changes.
    pub waiting: u64,
    /// Calls to open, renew or end a lease, including those for a lease that does not exist.
    pub leases: u64,
    /// Calls refused by the rate limits.
    pub limited: u64,
    /// Calls that arrived during a fault that affects them.
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
    pub(crate) change_token: CancellationToken,
    /// End of the stall requested by `PUT /testkit/deafen`. Until then watches return no changes; at its end the change
    /// events are compacted and the stalled watches get status 503.
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
            change_token: CancellationToken::new(),
            stalled_until: Millis::ZERO,
        }
    }

    /// Wakes every waiting watch.
    pub(crate) fn wake_watches(&mut self) {
        std::mem::take(&mut self.change_token).cancel();
    }
}
