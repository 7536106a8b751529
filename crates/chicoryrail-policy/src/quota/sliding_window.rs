//! Sliding-window counter of requests.

use std::collections::VecDeque;

use chicoryrail_core::Millis;

/// Length of time whose requests are counted together.
const BUCKET_LENGTH: Millis = Millis(50);

/// Number of requests within a window that ends now.
#[derive(Clone, Debug)]
pub(crate) struct SlidingWindow {
    length: Millis,
    buckets: VecDeque<Bucket>,
    sum: f64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Time at which its last request leaves the window.
    expires_at: Millis,
    requests: f64,
}

impl SlidingWindow {
    /// Returns a window in which `requests` are spread evenly over the `length` before `now`.
    pub(crate) fn filled(now: Millis, length: Millis, requests: f64) -> Self {
        let count = (length.0 / BUCKET_LENGTH.0).max(1);
        let per_bucket = requests / count as f64;
        let bucket = |i| Bucket {
            expires_at: now + BUCKET_LENGTH.saturating_mul(i),
            requests: per_bucket,
        };
        Self {
            length,
            buckets: (1..=count).map(bucket).collect(),
            sum: requests,
        }
    }

    /// Counts requests; a negative number subtracts them.
    pub(crate) fn add(&mut self, now: Millis, requests: f64) {
        let expires_at = now + self.length;
        self.sum += requests;
        match self.buckets.back_mut() {
            Some(bucket) if expires_at < bucket.expires_at => bucket.requests += requests,
            _ => self.buckets.push_back(Bucket {
                expires_at: expires_at + BUCKET_LENGTH,
                requests,
            }),
        }
    }

    /// Returns the number of requests within the window that ends now.
    pub(crate) fn count(&mut self, now: Millis) -> f64 {
        while let Some(bucket) = self.buckets.front()
            && bucket.expires_at <= now
        {
            self.sum -= bucket.requests;
            self.buckets.pop_front();
        }
        self.sum
    }
}
