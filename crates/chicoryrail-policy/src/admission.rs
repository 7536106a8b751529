//! Whether a request may wait.

use chicoryrail_core::Millis;

use crate::Limits;

/// What is expected of a request that would wait; times in microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prospect {
    /// Requests that go before it.
    pub(crate) ahead: f64,
    /// Slots that work them off.
    pub(crate) slots: f64,
    /// Expected wait.
    pub(crate) wait: f64,
    /// Time left until the deadline, less the expected service.
    pub(crate) spare: f64,
    /// Whether it is batch, which may lag.
    pub(crate) batch: bool,
}

/// Whether a request may wait.
///
/// Load: more work than the servers can do. Harm prevented: requests that wait, die, and take
/// slots from those that could still be answered. A request is admitted only if its expected wait
/// fits into a part of its spare time ([`Limits::patience`]); what does not fit is refused in the
/// same moment. The length of the queue so follows from service time and deadline.
///
/// Where the load stays twice or five times what the servers can do, that queue would stand at its
/// full length and make everybody wait for nothing; it is then kept short
/// ([`Limits::standing_patience`]).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Admission {
    /// When a lookup or an order last found none of its kind waiting.
    empty: Millis,
    /// When the queue last stood.
    stood: Option<Millis>,
}

/// Time for which a queue that stood is expected to stand again: an overload that just exceeds what
/// the servers can do lets the short queue run empty for moments, and each would otherwise bring a
/// second of a long one. Bursts that are further apart are absorbed each time.
const RELAPSE: Millis = Millis(2_000);
/// Part of the usual time after which such a queue counts as standing.
const RELAPSE_PART: u64 = 10;

impl Admission {
    pub(crate) fn found_empty(&mut self, now: Millis) {
        self.empty = now;
    }

    pub(crate) fn admits(&mut self, now: Millis, limits: &Limits, p: Prospect) -> bool {
        let patience = if !p.batch && self.stands(now, limits) {
            limits.standing_patience
        } else {
            limits.patience
        };
        p.ahead < p.slots && p.wait <= p.spare || p.wait <= p.spare * patience
    }

    /// Tells whether the queue stood a moment ago.
    pub(crate) fn stood(&self, now: Millis) -> bool {
        self.stood.is_some_and(|t| now.since(t) < RELAPSE)
    }

    fn stands(&mut self, now: Millis, limits: &Limits) -> bool {
        let after = if self.stood(now) {
            Millis(limits.standing.0 / RELAPSE_PART)
        } else {
            limits.standing
        };
        let stands = now.since(self.empty) >= after;
        if stands {
            self.stood = Some(now);
        }
        stands
    }
}
