//! The share of slot time that batch is never denied.

use chicoryrail_core::Millis;

use crate::Limits;
use crate::backlog::Waiting;

/// The share of slot time that batch is never denied.
///
/// Load: lookups keep every slot busy for minutes. Harm prevented: reports wait until they die.
/// Batch earns a share of all slot time; once its oldest request has waited long enough, the share
/// is spent ahead of lookups, one request at a time, and still never on a server's last slot.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BatchShare {
    credit_us: f64,
    earned: Millis,
}

impl BatchShare {
    /// Requests of credit that may be saved up: one in service and one to follow it.
    const SAVED: f64 = 2.0;

    /// Earns the share of `slots` since the last call; `cost_us` is a batch request's service time.
    pub(crate) fn earn(&mut self, now: Millis, limits: &Limits, slots: f64, cost_us: f64) {
        let us = now.since(self.earned).0 as f64 * 1_000.0;
        self.earned = now;
        let share = us * slots * limits.batch_share;
        self.credit_us = (self.credit_us + share).min(Self::SAVED * cost_us);
    }

    pub(crate) fn spend(&mut self, cost_us: f64) {
        self.credit_us -= cost_us;
    }

    pub(crate) fn covers(&self, cost_us: f64) -> bool {
        self.credit_us >= cost_us
    }

    /// Returns when a waiting request may use the share.
    ///
    /// A quarter of the time that its caller gave it, where that is shorter than the limit: batch
    /// with a short deadline would otherwise die before its share counts.
    pub(crate) fn due_at(limits: &Limits, w: &Waiting) -> Millis {
        let quarter = Millis(w.ask.deadline.since(w.since).0 / 4);
        w.since + quarter.min(limits.batch_age)
    }
}
