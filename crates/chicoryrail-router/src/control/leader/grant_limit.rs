//! Limit on the grants that this host has in flight.

use chicoryrail_ownership::keys::KeyTiming;

use crate::state::Router;

/// Processor time of a grant call, in milliseconds of a whole core.
const GRANT_CPU_MS: f64 = 0.2;

/// Part of the grants that this host could complete within their timeout that it sends at once. Grants beyond what it can
/// complete count as unanswered, and their repetitions would keep it too busy for all others.
const IN_FLIGHT_SHARE: f64 = 0.33;

/// Smallest limit.
const IN_FLIGHT_MIN: usize = 16;

/// Returns the largest number of grants in flight, by the processor time that this host has.
pub(super) fn grants_in_flight_max(router: &Router) -> usize {
    let timeout = KeyTiming::default().grant_timeout.0 as f64;
    let completed = timeout * router.boot().limits.cpu / GRANT_CPU_MS;
    ((completed * IN_FLIGHT_SHARE) as usize).max(IN_FLIGHT_MIN)
}
