//! Timing of terms.

use chicoryrail_core::Millis;

/// Durations for which the evidence of a leader counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermTiming {
    /// Time for which a leader relies on its last confirmed renewal of the store lease, from the sending of the renewal.
    /// Shorter than the lease by more than two clocks diverge within it.
    pub lease_trusted: Millis,
    /// Maximum age of a reply to a query, from the sending of the query.
    pub reply_age_max: Millis,
    /// Time for which a leader goes on by the support of a majority alone after its lease was confirmed, or every voter
    /// replied. A voter that is elected has not replied since before its election, so it may take the time from then.
    pub support_max: Millis,
    /// Time after its lease was last confirmed after which a leader stops, whoever supports it. A successor that its
    /// predecessor may not know as a voter waits for it where it reaches none of the voters: all of them are lost.
    pub outage_max: Millis,
}

/// Tolerated difference of the rates of two hosts' clocks, in thousandths.
const CLOCK_DRIFT_PER_MILLE: u64 = 20;

impl TermTiming {
    /// Returns the timing under a store lease with this TTL.
    #[must_use]
    pub const fn with_lease(ttl: Millis) -> Self {
        Self {
            lease_trusted: Millis(ttl.0 * 4 / 5),
            reply_age_max: Millis(1_300),
            support_max: Millis(20_000),
            outage_max: Millis(3_600_000),
        }
    }

    /// Returns how long a successor that reaches too few voters waits for the end of its predecessor's support.
    pub(super) const fn predecessor_max(&self, is_voter: bool) -> Millis {
        let longest = if is_voter {
            self.support_max
        } else {
            self.outage_max
        };
        Millis(longest.0 + longest.0 * CLOCK_DRIFT_PER_MILLE / 1_000 + 1)
    }
}
