//! When the process ends, once it has been told to stop.

use std::cell::Cell;
use std::cell::RefCell;

use chicoryrail_core::Millis;
use chicoryrail_policy::StopTimes;
use chicoryrail_runtime::CancellationToken;

/// Time from the last response to the end of the grace period, when the platform kills the process.
const EXIT_MARGIN: Millis = Millis(400);

/// End of the process; unknown until the stop signal.
#[derive(Debug, Default)]
pub(crate) struct ProcessEnd {
    stopped_at: Cell<Option<Millis>>,
    grace: Cell<Millis>,
    /// Cancelled and replaced when the end changes.
    changed: RefCell<CancellationToken>,
}

impl ProcessEnd {
    /// Records the stop signal, after which the process has the grace period.
    pub(crate) fn begin(&self, now: Millis, grace: Millis) {
        self.stopped_at.set(Some(now));
        self.grace.set(grace);
        self.notify();
    }

    /// Shortens the grace period of a stop under way. A longer one is not relied on: the platform may have set its timer
    /// when it sent the stop signal.
    pub(crate) fn limit_grace(&self, grace: Millis) {
        if self.stopped_at.get().is_some() && grace < self.grace.get() {
            self.grace.set(grace);
            self.notify();
        }
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

    /// Returns a token that is cancelled when the end changes.
    pub(crate) fn changed(&self) -> CancellationToken {
        self.changed.borrow().clone()
    }

    fn notify(&self) {
        self.changed.take().cancel();
    }
}
