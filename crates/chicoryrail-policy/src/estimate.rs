//! A running estimate of service time.

use chicoryrail_core::Millis;

/// A running estimate of service time in microseconds, for the limits of a queue.
///
/// An exponentially weighted mean: one part in sixteen follows a change within some tens of
/// requests and is steady against single ones. A sample counts for at most four times the estimate:
/// one straggler must not make a whole queue refuse, while a service that truly got slower is
/// followed within a few dozen answers.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    us: f64,
    known: bool,
    slow: Millis,
}

impl Estimate {
    const WEIGHT: f64 = 1.0 / 16.0;
    const SLOW_TIME: Millis = Millis(30_000);
    const SLOW_GAP: Millis = Millis(100);
    const CLIP: f64 = 4.0;

    /// Starts from an assumption that the first sample replaces.
    #[must_use]
    pub fn new(prior_us: u32) -> Self {
        Self {
            us: f64::from(prior_us.max(1)),
            known: false,
            slow: Millis::ZERO,
        }
    }

    /// Takes in a measured service time.
    pub fn add(&mut self, us: u32) {
        let us = f64::from(us.max(1));
        if self.known {
            self.us += (us.min(self.us * Self::CLIP) - self.us) * Self::WEIGHT;
        } else {
            self.us = us;
            self.known = true;
        }
    }

    /// Takes in a service time; `sound` tells that neither the answer nor its server is slow.
    ///
    /// One that is not moves the estimate by the time since the last such one, not by its count: cold
    /// servers or stragglers that answer for some seconds must not become what is usual, while a
    /// service that got slower for good is followed within a minute. Their quick answers are no
    /// exception: only the quickest of a slow server pass for quick, and each would raise the limit
    /// that the next one is held against.
    pub fn add_usual(&mut self, now: Millis, us: u32, sound: bool) {
        if sound || !self.known {
            self.add(us);
            return;
        }
        let gap = now.since(self.slow).min(Self::SLOW_GAP);
        let us = f64::from(us).min(self.us * Self::CLIP);
        self.us += (us - self.us) * gap.0 as f64 / Self::SLOW_TIME.0 as f64;
        self.slow = now;
    }

    /// Returns the estimate in microseconds.
    #[must_use]
    pub const fn us(&self) -> f64 {
        self.us
    }

    /// Tells whether anything was measured.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.known
    }
}
