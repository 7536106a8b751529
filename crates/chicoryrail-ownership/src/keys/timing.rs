//! Timing of key leases.

use chicoryrail_core::Millis;

/// Durations and timeouts of key leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyTiming {
    /// Duration of a grant, from its arrival at the server.
    ///
    /// The keys of a server lost without notice stay unserved until the end of its lease. A lost leader must be
    /// replaced within a lease, or keys of running servers become unserved.
    pub lease: Millis,
    /// Duration of a grant while every host reports the store as unavailable. A leader lost then can't be
    /// replaced, so the keys are served only as long as the grants last.
    pub outage_lease: Millis,
    /// Interval between renewals at one server.
    pub renew_interval: Millis,
    /// Timeout of a grant call.
    pub grant_timeout: Millis,
    /// Timeout of a release call; the server responds when the work on the keys has ended.
    pub release_timeout: Millis,
    /// Interval between probes of a lost server. Keys granted to a server that still does not answer are unserved
    /// until they are reassigned, so a server must answer a probe before it receives keys again.
    pub probe_interval: Millis,
    /// Time for which another host may renew leases for the leader after it asked the leader. It outlasts some lost
    /// requests, and a leader that does not answer is replaced within about as long.
    pub renewal_permit: Millis,
    /// Maximum time for which an earlier leader may keep sending grants once no majority supports it: the age up to which
    /// it counts replies, by a clock that is 2 % slower. What it has sent by then takes up to `grant_timeout` more.
    pub stale_leader_max: Millis,
}

impl Default for KeyTiming {
    /// Returns the default durations.
    ///
    /// A lease of 2.5 s outlasts the loss of a leader: the leader's store lease of 1 s, the election and one call
    /// to each server together take about 1.3 s, and the rest is a margin for a slow store. Four renewals fit
    /// into a lease, so a lost renewal or a pause of one second causes no gap.
    fn default() -> Self {
        Self {
            lease: Millis(2_500),
            outage_lease: Millis(10_000),
            renew_interval: Millis(600),
            grant_timeout: Millis(300),
            release_timeout: Millis(1_000),
            probe_interval: Millis(1_500),
            renewal_permit: Millis(800),
            stale_leader_max: Millis(1_350),
        }
    }
}

/// Tolerated drift of a server's clock, in thousandths: clocks may run 2 % slow, so a lease may last that much
/// longer than granted.
const CLOCK_DRIFT_PER_MILLE: u64 = 20;

impl KeyTiming {
    /// Returns the longest time, by this process's clock, for which a server holds a grant of `lease` that
    /// arrives now.
    #[must_use]
    pub const fn max_lease(lease: Millis) -> Millis {
        Millis(lease.0 + lease.0 * CLOCK_DRIFT_PER_MILLE / 1_000 + 1)
    }
}
