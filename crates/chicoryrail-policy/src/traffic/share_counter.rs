//! Admits a share of requests.

use crate::traffic::Share;
use crate::traffic::share::WHOLE;

/// Admits a share of the requests that it is asked about, evenly: with a share of 0.25, every fourth one.
///
/// Among any number of consecutive requests, the number admitted differs from the share by less than one. A random draw
/// for each request would let bursts pass.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareCounter {
    /// Parts of [`WHOLE`] that the next request starts with; a request is admitted when they reach a whole.
    credit: u64,
}

impl ShareCounter {
    /// Creates a counter; `start`, from 0 to below 1, is how much of the way to the next admitted request has passed.
    ///
    /// Hosts should start at different values: if all began at 0, a share of 0.1 would refuse the first nine requests at
    /// each of them.
    #[must_use]
    pub fn new(start: f64) -> Self {
        let start = start.clamp(0.0, 1.0) * WHOLE as f64;
        Self {
            credit: (start as u64).min(WHOLE - 1),
        }
    }

    /// Counts a request, and returns `true` if it is admitted.
    pub fn admit(&mut self, share: Share) -> bool {
        self.credit += share.parts();
        let admitted = self.credit >= WHOLE;
        if admitted {
            self.credit -= WHOLE;
        }
        admitted
    }
}
