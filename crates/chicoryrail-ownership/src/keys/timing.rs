//! Lengths of time in the leases of keys.

use chicoryrail_core::Millis;

/// Lengths of time in the leases of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyTiming {
    /// How long a grant lasts from its arrival at the server.
    ///
    /// A server lost without notice leaves its keys unserved for the rest of it; a lost leader must be
    /// replaced within it.
    pub hold: Millis,
    /// The same while every host says that the store is away: nobody can replace a leader that is lost then,
    /// and the keys are served as long as the grants last.
    pub outage_hold: Millis,
    /// Time between two renewals at one server.
    pub renew: Millis,
    /// Longest wait for the answer to a grant.
    pub grant_limit: Millis,
    /// Longest wait for the answer to a release, which comes when the work on the keys has ended.
    pub release_limit: Millis,
    /// Time between two probes of a lost server. Keys given to one that still does not answer are unserved
    /// until they are taken away again, so it must answer before it gets any.
    pub probe: Millis,
    /// Time for which an earlier leader may go on renewing after another has taken over.
    pub stale_leader: Millis,
}

impl Default for KeyTiming {
    /// A hold of 2.5 s outlasts a lost leader: its lease of 1 s, the election and one call to each
    /// server, about 1.3 s, with room for a slow store. Four renewals fit into it, so one that is lost
    /// or a freeze of a second leave no gap.
    fn default() -> Self {
        Self {
            hold: Millis(2_500),
            outage_hold: Millis(10_000),
            renew: Millis(600),
            grant_limit: Millis(300),
            release_limit: Millis(1_000),
            probe: Millis(1_500),
            stale_leader: Millis(1_500),
        }
    }
}

/// Servers' clocks may run 2 % slow, so a hold may last that much longer than granted.
const CLOCK_DRIFT_PER_MILLE: u64 = 20;

impl KeyTiming {
    /// Returns the longest time, by this process's clock, for which a grant of `hold` that arrives now is
    /// held.
    #[must_use]
    pub const fn longest(hold: Millis) -> Millis {
        Millis(hold.0 + hold.0 * CLOCK_DRIFT_PER_MILLE / 1_000 + 1)
    }
}
