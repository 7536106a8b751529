//! Limits how often a host sends to a server that warms up.

use chicoryrail_core::Millis;

/// Length of a second at the sending host, in milliseconds. Requests are counted where they arrive: two that were sent
/// a second apart may arrive closer together, by the jitter of a loaded host and its links.
const WARMUP_SECOND_MS: f64 = 1_120.0;

/// Rate limiter of one host for one server that warms up.
///
/// Guards against overload when a data centre restarts under full traffic and every host sends to each of its servers.
/// Together the hosts would send more than a server can process during its warm-up, and it would fail again. Each host
/// keeps to its share of the rate on its own, so the rate also holds between hosts that can't reach each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmupPacer {
    next_send: Millis,
}

impl WarmupPacer {
    /// Returns `true` if a request may be sent now, and counts it as sent.
    ///
    /// `bound` is the number of requests per second, from all `hosts` together, that the server can process.
    pub fn try_take(&mut self, now: Millis, bound: f64, hosts: usize) -> bool {
        if now < self.next_send || bound <= 0.0 {
            return false;
        }
        let hosts = hosts.max(1) as f64;
        // In the worst case all hosts send at the same moment, and windows slide. So each host sends a whole number of
        // requests in any second. With more hosts than requests in the bound no whole number fits, and the moments of
        // the hosts' sends are random.
        let per_host = (bound / hosts).floor().max((bound / hosts).min(1.0));
        self.next_send = now + Millis((WARMUP_SECOND_MS / per_host).ceil() as u64);
        true
    }
}
