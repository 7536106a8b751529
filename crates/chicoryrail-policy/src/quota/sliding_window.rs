//! Counts requests in a sliding window.

use std::collections::VecDeque;

use chicoryrail_core::Millis;

/// Length of time whose requests are counted together.
const INTERVAL_LENGTH: Millis = Millis(50);

/// Number of requests within a window that ends now.
#[derive(Clone, Debug)]
pub(crate) struct SlidingWindow {
    length: Millis,
    intervals: VecDeque<Interval>,
    /// Sum of the requests of all intervals.
    sum: f64,
}

/// Requests of one interval within the window.
#[derive(Clone, Copy, Debug)]
struct Interval {
    /// Time at which the last of the requests leaves the window.
    expires_at: Millis,
    requests: f64,
}

impl SlidingWindow {
    /// Returns a window in which `requests` are spread evenly over the `length` before `now`.
    pub(crate) fn filled(now: Millis, length: Millis, requests: f64) -> Self {
        let count = (length.0 / INTERVAL_LENGTH.0).max(1);
        let per_interval = requests / count as f64;
        let interval = |i| Interval {
            expires_at: now + INTERVAL_LENGTH.saturating_mul(i),
            requests: per_interval,
        };
        Self {
            length,
            intervals: (1..=count).map(interval).collect(),
            sum: requests,
        }
    }

    /// Counts requests; a negative number subtracts them.
    pub(crate) fn add(&mut self, now: Millis, requests: f64) {
        let expires_at = now + self.length;
        self.sum += requests;
        match self.intervals.back_mut() {
            Some(interval) if expires_at < interval.expires_at => interval.requests += requests,
            _ => self.intervals.push_back(Interval {
                expires_at: expires_at + INTERVAL_LENGTH,
                requests,
            }),
        }
    }

    /// Returns the number of requests within the window that ends now.
    pub(crate) fn count(&mut self, now: Millis) -> f64 {
        while let Some(interval) = self.intervals.front()
            && interval.expires_at <= now
        {
            self.sum -= interval.requests;
            self.intervals.pop_front();
        }
        self.sum
    }
}
