//! When a refused caller should come back.

use chicoryrail_core::Millis;
use rand::Rng;

/// Shortest time after which a caller is asked back: sooner, the queue that had no room is the same one.
const RETRY_AFTER_MIN: Millis = Millis(40);

/// Part of its time that a caller waits at most before it returns; it must have time left to be served.
const RETRY_AFTER_DIVISOR: u64 = 3;

/// Returns when a refused caller should come back, given when room is expected and what it has left.
///
/// Load: more callers than there is room for, all refused within the same moment. Harm prevented: all of
/// them return in the same moment, and most are refused a second time, for good. The returns are spread
/// over a time as long as the wait for room itself.
pub fn return_time(rng: &mut impl Rng, room_in: Millis, left: Millis) -> Millis {
    let latest = Millis(left.0 / RETRY_AFTER_DIVISOR);
    let first = room_in.max(RETRY_AFTER_MIN).min(latest);
    let last = (first + room_in.max(RETRY_AFTER_MIN)).min(latest);
    if last <= first {
        return first;
    }
    Millis(rng.random_range(first.0..=last.0))
}
