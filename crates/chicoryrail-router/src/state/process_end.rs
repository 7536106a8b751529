//! When the process ends, once it has been told to stop.

use std::cell::Cell;
use std::cell::RefCell;

use chicoryrail_core::Millis;
use chicoryrail_policy::StopTimes;
use chicoryrail_runtime::CancellationToken;

/// Time from the last response to the end of the grace period, when the platform kills the process.
const EXIT_MARGIN: Millis = Millis(400);

/// Time after the end of all requests for writing their responses.
const RESPONSE_WRITE_TIME: Millis = Millis(100);

/// End of the process; unknown until the stop signal.
#[derive(Debug, Default)]
pub(crate) struct ProcessEnd {
    stopped_at: Cell<Option<Millis>>,
    grace: Cell<Millis>,
    /// When the end was last set.
    set_at: Cell<Millis>,
    /// Cancelled and replaced when the end changes.
    changed: RefCell<CancellationToken>,
}

impl ProcessEnd {
    /// Records the stop signal, after which the process has the grace period.
    pub(crate) fn begin(&self, now: Millis, grace: Millis) {
        self.stopped_at.set(Some(now));
        self.set(now, grace);
    }

    /// Shortens the grace period of a stop under way. A longer one is not relied on: the platform may have set its timer
    /// when it sent the stop signal.
    pub(crate) fn limit_grace(&self, now: Millis, grace: Millis) {
        if self.stopped_at.get().is_some() && grace < self.grace.get() {
            self.set(now, grace);
        }
    }

    /// Returns the time at which the process exits, whatever is in hand; `None` before the stop signal. Requests that a
    /// shorter grace period ends have the same time for their responses as others.
    pub(crate) fn exit(&self) -> Option<Millis> {
        let last_response = self.times()?.last_response;
        Some(last_response.max(self.set_at.get()) + RESPONSE_WRITE_TIME)
    }

    /// Returns the times of the stop; `None` before the stop signal.
    pub(crate) fn times(&self) -> Option<StopTimes> {
        let begun = self.stopped_at.get()?;
        let end = begun + self.grace.get();
        Some(StopTimes {
            begun,
            last_response: Millis(end.0.saturating_sub(EXIT_MARGIN.0)),
        })
    }

    /// Returns `true` if the process gives no responses any more.
    pub(crate) fn is_past(&self, now: Millis) -> bool {
        self.times().is_some_and(|stop| stop.last_response <= now)
    }

    /// Returns a token that is cancelled when the end changes.
    pub(crate) fn changed(&self) -> CancellationToken {
        self.changed.borrow().clone()
    }

    fn set(&self, now: Millis, grace: Millis) {
        self.grace.set(grace);
        self.set_at.set(now);
        self.changed.take().cancel();
    }
}
