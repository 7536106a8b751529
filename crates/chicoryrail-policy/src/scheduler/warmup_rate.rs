//! Limits the rate of requests to a server that warms up.

use std::collections::VecDeque;

use chicoryrail_core::Millis;

use crate::scheduler::server_status::ServerStatus;

/// Fraction of the warm-up rate that is used. While hosts disagree about which hosts are alive, two of them may
/// schedule the same server.
const WARMUP_RATE_FRACTION: f64 = 0.5;

/// Window of the warm-up rate. It is a little longer than the second of the rate, because requests are counted where
/// they arrive.
const WARMUP_WINDOW: Millis = Millis(1_120);

/// Recent sends to a server, for the limit on their rate during its warm-up.
#[derive(Clone, Debug, Default)]
pub(super) struct WarmupRate {
    /// Times of the sends within [`WARMUP_WINDOW`].
    sends: VecDeque<Millis>,
}

impl WarmupRate {
    /// Returns `true` if the server is warming up and may get no request from this host's part of the hosts before it is
    /// warm.
    pub(super) fn is_withheld(now: Millis, state: &ServerStatus) -> bool {
        now < state.warmup_until && state.warmup_rate_max * WARMUP_RATE_FRACTION < 1.0
    }

    /// Returns `true` if the warm-up rate allows one more request.
    pub(super) fn allows_send(&self, now: Millis, state: &ServerStatus) -> bool {
        if now >= state.warmup_until {
            return true;
        }
        // Other hosts may have sent requests in the second before this host began to schedule the server.
        if !state.scheduled_here || now.since(state.scheduled_since) < WARMUP_WINDOW {
            return false;
        }
        let recent = self.sends.iter().filter(|t| now.since(**t) < WARMUP_WINDOW);
        ((recent.count() + 1) as f64) <= state.warmup_rate_max * WARMUP_RATE_FRACTION
    }

    /// Records that a request is sent.
    pub(super) fn record_send(&mut self, now: Millis) {
        while self
            .sends
            .front()
            .is_some_and(|t| now.since(*t) >= WARMUP_WINDOW)
        {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }
}
