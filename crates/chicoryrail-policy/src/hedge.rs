//! When a late lookup is tried at a second server.

use chicoryrail_core::Class;
use chicoryrail_core::Millis;

use crate::Quantile;

/// Requests later than this quantile of their service are hedged.
const QUANTILE: f64 = 0.98;
/// Share of requests that may be hedged in the long run.
const SHARE: f64 = 0.02;
/// Hedges that may be saved up: what sits at a server when it turns slow and the probes that it gets
/// until it is quick again, some eight for each slow moment, for three moments close together.
const RESERVE: f64 = 24.0;
/// Latencies are kept for one to two of these; a straggler of some hundred milliseconds does not
/// move the quantile, a service that got slower for good does.
const WINDOW: Millis = Millis(2_000);

/// A service's budget and threshold of hedges.
///
/// Load: one server turns slow for a moment, while its report still says that all is well. Harm
/// prevented: what sits at it waits ten times as long as usual. A lookup later than nearly all
/// recent ones of its service is sent once more, to another server with a free slot; the first
/// answer counts and the loser is cancelled. The budget keeps a service that is slow as a whole from
/// doubling its own load. Orders run at most once and keys have one owner: neither is hedged.
#[derive(Clone, Debug)]
pub struct Hedge {
    latency: Quantile,
    tokens: f64,
}

impl Default for Hedge {
    fn default() -> Self {
        Self {
            latency: Quantile::new(WINDOW),
            tokens: RESERVE / 2.0,
        }
    }
}

impl Hedge {
    /// Places that a hedge is offered to, one after the other, until one has a free slot.
    ///
    /// Where a gate holds a single server, about half of the places are busy at a usual load; four
    /// leave a late lookup alone in one of sixteen cases. A place that is busy runs nothing.
    pub const PLACES: usize = 4;

    /// Earns the share of a request that came from a caller.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + SHARE).min(RESERVE);
    }

    /// Takes in the latency of an answer, as the caller saw it.
    pub fn answered(&mut self, now: Millis, us: u32) {
        self.latency.add(now, us);
    }

    /// Returns the age in microseconds at which a request is late; `None` where it is never hedged.
    ///
    /// `keyed` is the service's kind. Ask once, when the request is sent, and set a timer.
    #[must_use]
    pub fn late_us(&self, class: Class, keyed: bool) -> Option<u32> {
        if class != Class::Interactive || keyed {
            return None;
        }
        self.latency.at(QUANTILE)
    }

    /// Tells whether a late request may be hedged now, and takes the hedge from the budget.
    ///
    /// `free` is the number of free slots at the place that the second try would go to: where there
    /// is none, the hedge would only lengthen a queue.
    pub fn take(&mut self, free: u32) -> bool {
        let may = free > 0 && self.tokens >= 1.0;
        if may {
            self.tokens -= 1.0;
        }
        may
    }

    /// Gives a hedge back that was taken but could not be sent.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(RESERVE);
    }
}
