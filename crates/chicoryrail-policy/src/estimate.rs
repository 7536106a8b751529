//! A running estimate of service time.

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
}

impl Estimate {
    const WEIGHT: f64 = 1.0 / 16.0;
    const SLOW_WEIGHT: f64 = 1.0 / 512.0;
    const CLIP: f64 = 4.0;

    /// Starts from an assumption that the first sample replaces.
    #[must_use]
    pub fn new(prior_us: u32) -> Self {
        Self {
            us: f64::from(prior_us.max(1)),
            known: false,
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

    /// Takes in a service time where slow ones are the exception: a slow one counts very little, so
    /// that a straggler's answers do not become what is usual; a service that got slower for good is
    /// followed within some hundred answers.
    pub fn add_usual(&mut self, us: u32, quick: bool) {
        if quick || !self.known {
            self.add(us);
        } else {
            let us = f64::from(us).min(self.us * Self::CLIP);
            self.us += (us - self.us) * Self::SLOW_WEIGHT;
        }
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
