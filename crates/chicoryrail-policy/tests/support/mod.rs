//! Requests that several test files schedule.

use chicoryrail_core::Millis;
use chicoryrail_policy::SlotRequest;

/// Returns a request for one key that tolerates waiting and takes 240 ms.
pub(crate) fn request(ticket: u64, now: Millis) -> SlotRequest {
    SlotRequest {
        ticket,
        priority: 1,
        latency_target: now + Millis(600),
        deadline: now + Millis(2_500),
        work_us: 240_000.0,
        key: Some(7),
        excluded: Vec::new(),
        dc_index: 0,
        large_response: false,
        tolerates_waiting: true,
        caller_deadline: now + Millis(5_000),
        caller: 0,
        head: 0,
        route: 0,
        body_bytes: 0,
    }
}
