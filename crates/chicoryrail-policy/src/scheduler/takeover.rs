//! What a host that begins to schedule a server learns of the requests that are there already.

use chicoryrail_core::Millis;

use crate::scheduler::server_status::ServerStatus;

/// Time for which a host that begins to schedule a server assigns nothing to it. Hosts look each 100 ms whether the
/// scheduler of a server where they have requests has changed, and a report takes a few milliseconds.
const REPORT_WAIT: Millis = Millis(150);

/// Time in which all hosts notice the loss of a scheduler, also those that have no query for it. A host that is queried
/// although another one schedules the server by its view uses the slots in steps over that time: the requests that it
/// does not know of end meanwhile, or are reported.
const LOSS_KNOWN_AFTER: Millis = Millis(1_000);

/// Queries for a server that another host schedules by this host's view.
///
/// Guards against a server that gets twice its slots: its scheduler, which may be lost, assigned requests that this host
/// does not know of.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Takeover {
    queried_at: Option<Millis>,
    /// Time of the first query without a longer break since.
    since: Option<Millis>,
}

impl Takeover {
    /// Records a query of a request that tolerates waiting.
    pub(super) fn record_query(&mut self, now: Millis) {
        let is_recent = |at: Millis| now.since(at) <= LOSS_KNOWN_AFTER;
        if !self.queried_at.is_some_and(is_recent) {
            self.since = Some(now);
        }
        self.queried_at = Some(now);
    }

    /// Returns how many of `slots` may be used.
    pub(crate) fn apply(&self, now: Millis, slots: u32, state: &ServerStatus) -> u32 {
        if self.wait_left(now, state) > Millis::ZERO {
            return 0;
        }
        let since = self.since.filter(|_| !state.scheduled_here);
        let elapsed = since.map_or(LOSS_KNOWN_AFTER, |since| now.since(since));
        if elapsed >= LOSS_KNOWN_AFTER {
            return slots;
        }
        let step = u64::from(slots) * elapsed.0 / LOSS_KNOWN_AFTER.0;
        (step as u32).max(1)
    }

    /// Returns how much longer nothing is assigned to the server.
    pub(crate) fn wait_left(&self, now: Millis, state: &ServerStatus) -> Millis {
        let since = if state.scheduled_here {
            state.taken_over_at
        } else {
            self.since
        };
        since.map_or(Millis::ZERO, |since| (since + REPORT_WAIT).since(now))
    }
}
