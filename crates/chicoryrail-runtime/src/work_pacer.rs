//! Paces repeated work by its own cost.

use chicoryrail_core::Millis;

/// Paces a repeated step so that it uses a bounded part of the process's time, however long it takes.
///
/// A step that looks at every server takes longer the more servers there are. At a fixed interval it would leave no time
/// for requests from some number of servers on.
#[derive(Clone, Copy, Debug)]
pub struct WorkPacer {
    rest_factor: u64,
    next_at: Millis,
}

impl WorkPacer {
    /// Creates a pacer that rests for `rest_factor` times as long as the step took. The first step is due at once.
    #[must_use]
    pub const fn new(rest_factor: u64) -> Self {
        Self {
            rest_factor,
            next_at: Millis::ZERO,
        }
    }

    /// Returns `true` if the next step is due.
    #[must_use]
    pub fn is_due(&self, now: Millis) -> bool {
        now >= self.next_at
    }

    /// Returns the time until the next step is due; zero if it is.
    #[must_use]
    pub fn rest(&self, now: Millis) -> Millis {
        self.next_at.since(now)
    }

    /// Records a step that ran from `begun` to `ended`.
    pub fn record(&mut self, begun: Millis, ended: Millis) {
        let took = ended.since(begun);
        self.next_at = ended + took.saturating_mul(self.rest_factor);
    }
}
