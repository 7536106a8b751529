//! Simulated server that checks fencing tokens.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::KeyRange;

/// Number of sampled keys, evenly spaced over the key space.
pub(crate) const SAMPLE_COUNT: usize = 64;

/// A server's state of one key.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KeyState {
    /// Highest fencing token that the server has accepted for the key.
    pub(crate) fence: u64,
    /// End of the server's lease on the key; 0 if it does not hold the key.
    pub(crate) until: u64,
}

#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) life: Life,
    /// Whether the server runs.
    pub(crate) up: bool,
    /// Whether the server is draining: it gets no new keys.
    pub(crate) leaving: bool,
    /// Time from which leaders read the server's registration.
    pub(crate) registered_at: u64,
    /// Whether leaders can reach the server.
    pub(crate) reachable: bool,
    /// State of each sampled key.
    pub(crate) keys: Vec<KeyState>,
}

#[derive(Clone, Debug)]
pub(crate) enum CallKind {
    Grant {
        span: KeyRange,
        fence: u64,
        lease: Millis,
    },
    Release {
        span: KeyRange,
        fence: u64,
    },
}

/// Returns the key with sample index `i`.
pub(crate) fn sampled_key(i: usize) -> u16 {
    (i * 65_536 / SAMPLE_COUNT) as u16
}

/// Applies a call at a server; returns `true` if the server refuses it.
pub(crate) fn apply(server: &mut Server, kind: &CallKind, arrived_at: u64) -> bool {
    let (span, fence) = match kind {
        CallKind::Grant { span, fence, .. } | CallKind::Release { span, fence } => (*span, *fence),
    };
    let in_span = |i: &usize| span.contains(sampled_key(*i));
    let samples: Vec<_> = (0..SAMPLE_COUNT).filter(in_span).collect();
    let CallKind::Grant { lease, .. } = kind else {
        // A release is never refused, and its fencing token blocks older grants.
        for i in samples {
            server.keys[i].until = 0;
            server.keys[i].fence = server.keys[i].fence.max(fence);
        }
        return false;
    };
    let until = arrived_at + lease.0 * 102 / 100;
    if samples.iter().any(|i| server.keys[*i].fence > fence) {
        return true;
    }
    for i in samples {
        server.keys[i].fence = fence;
        server.keys[i].until = until;
    }
    false
}
