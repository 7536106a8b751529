//! Tells a queue of overload from a burst.

use chicoryrail_core::Millis;

use crate::scheduler::Placement;
use crate::scheduler::waiting_request::WaitingRequest;

/// Time for which requests must have waited without a break before a queue counts as standing: a burst is over by then,
/// and a longer wait means overload.
const STANDING_QUEUE_TIME: Millis = Millis(1_000);

/// Owners with waiting requests for their keys, and the time since which at least one request has been waiting.
#[derive(Clone, Debug, Default)]
pub(crate) struct StandingQueues {
    since: Vec<(Placement, Millis)>,
}

impl StandingQueues {
    /// Updates the queues for the requests that wait now.
    pub(crate) fn track(&mut self, now: Millis, queue: &[WaitingRequest]) {
        let waits = |placement: Placement| queue.iter().any(|w| w.placement == placement);
        self.since.retain(|(placement, _)| waits(*placement));
        for waiting in queue {
            let keyed = matches!(waiting.placement, Placement::Owner(_));
            if keyed && !self.since.iter().any(|(p, _)| *p == waiting.placement) {
                self.since.push((waiting.placement, now));
            }
        }
    }

    /// Returns `true` if requests have waited for this owner of keys without a break for [`STANDING_QUEUE_TIME`], so
    /// that the owner is overloaded. The queue for any server never counts as standing.
    pub(crate) fn is_standing(&self, now: Millis, placement: Placement) -> bool {
        let mut queues = self.since.iter().filter(|(p, _)| *p == placement);
        queues.any(|(_, since)| now.since(*since) >= STANDING_QUEUE_TIME)
    }
}
