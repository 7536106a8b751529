//! How many requests ran in the last moments.

use std::collections::VecDeque;

use chicoryrail_core::Millis;

/// Length of the moments that are counted together.
const SLOT_LENGTH: Millis = Millis(50);

/// Requests that ran within a length of time that ends now.
#[derive(Clone, Debug)]
pub(crate) struct SlidingWindow {
    length: Millis,
    slots: VecDeque<Slot>,
    sum: f64,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    /// When its last request leaves the window.
    ends: Millis,
    requests: f64,
}

impl SlidingWindow {
    /// Returns a window in which `requests` ran evenly over the `length` before `now`.
    pub(crate) fn filled(now: Millis, length: Millis, requests: f64) -> Self {
        let count = (length.0 / SLOT_LENGTH.0).max(1);
        let part = requests / count as f64;
        let slot = |i| Slot {
            ends: now + SLOT_LENGTH.times(i),
            requests: part,
        };
        Self {
            length,
            slots: (1..=count).map(slot).collect(),
            sum: requests,
        }
    }

    /// Counts requests; a negative number takes some back.
    pub(crate) fn add(&mut self, now: Millis, requests: f64) {
        let ends = now + self.length;
        self.sum += requests;
        match self.slots.back_mut() {
            Some(slot) if ends < slot.ends => slot.requests += requests,
            _ => self.slots.push_back(Slot {
                ends: ends + SLOT_LENGTH,
                requests,
            }),
        }
    }

    /// Returns the requests within the length that ends now.
    pub(crate) fn count(&mut self, now: Millis) -> f64 {
        while let Some(slot) = self.slots.front()
            && slot.ends <= now
        {
            self.sum -= slot.requests;
            self.slots.pop_front();
        }
        self.sum
    }
}
