//! How often a host may send to a cold server.

use chicoryrail_core::Millis;

/// Length of a host's second. Requests are counted where they arrive: two that were sent a second apart
/// may arrive closer together, by the jitter of a loaded host and its links.
const COLD_SECOND_MS: f64 = 1_120.0;

/// The pace of one host towards one cold server.
///
/// Load: a data centre comes back cold at full traffic, and every host sends to each of its servers.
/// Harm prevented: together they send a cold server more than it bears, and it falls over again. Each
/// host keeps to its part of the bound by itself, so the bound also holds between hosts that can't hear
/// each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdPace {
    next: Millis,
}

impl ColdPace {
    /// Tells whether a request may be sent now, and takes it where it may.
    ///
    /// `bound` is what the server bears in one second from all `hosts` together.
    pub fn take(&mut self, now: Millis, bound: f64, hosts: usize) -> bool {
        if now < self.next || bound <= 0.0 {
            return false;
        }
        let hosts = hosts.max(1) as f64;
        // In the worst case all hosts send in the same moment, and windows slide: so each sends a whole
        // number in any second. Above one host for each request of the bound no whole number fits, and
        // the hosts' moments are left to chance.
        let each = (bound / hosts).floor().max((bound / hosts).min(1.0));
        self.next = now + Millis((COLD_SECOND_MS / each).ceil() as u64);
        true
    }
}
