//! What identifies a request in a scheduler's queue.

use std::hash::Hasher;

use chicoryrail_core::Idempotency;
use siphasher::sip::SipHasher13;

use crate::route::caller_request::CallerRequest;

/// What identifies a request in a scheduler's queue; all zero unless its route tolerates waiting.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QueueIdentity {
    /// Hash of the caller's address.
    pub(crate) caller: u64,
    /// Hash of the request's head.
    pub(crate) head: u64,
    /// Hash of the route's name; 0 for requests that run at most once, which no share of their route holds back.
    pub(crate) route: u64,
}

impl QueueIdentity {
    /// Returns what identifies a request.
    pub(crate) fn new(call: &CallerRequest) -> Self {
        if !call.route.tolerates_waiting() {
            return Self::default();
        }
        Self {
            caller: hash(call.from.ip().to_string().as_bytes()),
            head: call.head_hash(),
            route: match call.route.kind.idempotency() {
                Idempotency::Idempotent => hash(call.route.name.as_bytes()),
                Idempotency::AtMostOnce => 0,
            },
        }
    }
}

fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(bytes);
    hasher.finish()
}
