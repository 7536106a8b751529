//! Spreads the retries of refused callers over time.

use chicoryrail_core::Millis;
use rand::Rng;

/// Shortest time after which a caller is asked to retry, unless a third of its remaining time is shorter. Any earlier,
/// it would meet the same full queue.
const RETRY_AFTER_MIN: Millis = Millis(40);

/// Divisor for the caller's remaining time: the caller waits at most a third of that time before it retries, as it must
/// have time left to be served.
const RETRY_AFTER_DIVISOR: u64 = 3;

/// Returns the time after which a refused caller should retry, from the expected wait for capacity and the time that
/// the caller has left.
///
/// Guards against callers that are refused at the same moment, all retry at the same moment, and are mostly refused
/// again, this time for good. The retries are spread over an interval as long as the wait for capacity, but end at a
/// third of the caller's remaining time.
pub fn retry_after(rng: &mut impl Rng, capacity_in: Millis, time_left: Millis) -> Millis {
    let latest = Millis(time_left.0 / RETRY_AFTER_DIVISOR);
    let first = capacity_in.max(RETRY_AFTER_MIN).min(latest);
    let last = (first + capacity_in.max(RETRY_AFTER_MIN)).min(latest);
    if last <= first {
        return first;
    }
    Millis(rng.random_range(first.0..=last.0))
}
