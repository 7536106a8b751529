//! Limits how often a host sends to a server that warms up.

use chicoryrail_core::Millis;

/// Time in which a host sends its share of the requests per second, in milliseconds. It is longer than a second because
/// requests are counted where they arrive: two that were sent a second apart may arrive closer together, by the jitter
/// of a loaded host and its links.
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
    /// Returns `true` if a request may be sent now, and counts it as sent. With a rate of 0, none may be sent.
    ///
    /// `rate_max` is the number of requests per second, from all `hosts` together, that the server can process.
    pub fn try_take(&mut self, now: Millis, rate_max: f64, hosts: usize) -> bool {
        if now < self.next_send || rate_max <= 0.0 {
            return false;
        }
        let hosts = hosts.max(1) as f64;
        // The rate must hold in any period of a second, even if all hosts send at the same moment. So each host's share
        // is rounded down to a whole number of requests per second. With more hosts than requests per second, the share
        // is below 1 and is not rounded, and the moments of the hosts' sends are random.
        let per_host = (rate_max / hosts).floor().max((rate_max / hosts).min(1.0));
        self.next_send = now + Millis((WARMUP_SECOND_MS / per_host).ceil() as u64);
        true
    }
}
