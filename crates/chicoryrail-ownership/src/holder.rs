//! The right of a holder to act.

use std::collections::BTreeMap;

use chicoryrail_core::Epoch;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;

use crate::Timing;

/// A witness's answer to a holder's question.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Confirmation {
    /// The witness.
    pub witness: HostName,
    /// Random number of the witness's run.
    pub instance: u64,
    /// Whether it has promised no higher epoch.
    pub agrees: bool,
}

/// Whether a holder of an epoch may act now.
///
/// Validity comes from the store, or from a majority of witnesses, and counts from before the
/// question. Once it has run out, only the store or witnesses that have confirmed this epoch in the
/// same run count: a witness that has restarted since may have forgotten the promise by which a
/// newcomer took over while this holder slept.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    epoch: Epoch,
    witnesses: Vec<HostName>,
    from: Millis,
    until: Millis,
    runs: BTreeMap<HostName, u64>,
}

impl Holder {
    /// Builds the holder of an epoch that the store confirmed to a question asked at `asked`, and
    /// that may act at `from` or later.
    #[must_use]
    pub fn new(
        epoch: Epoch,
        witnesses: Vec<HostName>,
        asked: Millis,
        from: Millis,
        timing: &Timing,
    ) -> Self {
        Self {
            epoch,
            witnesses,
            from,
            until: asked + timing.own(timing.validity),
            runs: BTreeMap::new(),
        }
    }

    /// Builds a holder that knows its epoch by hearsay; the store has to confirm it first.
    #[must_use]
    pub const fn unconfirmed(epoch: Epoch, witnesses: Vec<HostName>) -> Self {
        Self {
            epoch,
            witnesses,
            from: Millis::ZERO,
            until: Millis::ZERO,
            runs: BTreeMap::new(),
        }
    }

    /// Returns the epoch.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the witnesses whose majority counts.
    #[must_use]
    pub fn witnesses(&self) -> &[HostName] {
        &self.witnesses
    }

    /// Returns the time left, without regard to the wait after a take-over.
    #[must_use]
    pub fn left(&self, now: Millis) -> Millis {
        self.until.since(now)
    }

    /// Tells whether the holder may act at `now`; asked before each act, so that a process that
    /// was paused notices.
    #[must_use]
    pub fn may_act(&self, now: Millis) -> bool {
        self.from <= now && now < self.until
    }

    /// Takes in that the store named this holder and epoch to a question asked at `asked`.
    pub fn stored(&mut self, asked: Millis, timing: &Timing) {
        self.until = self.until.max(asked + timing.own(timing.validity));
    }

    /// Takes in the witnesses' answers to a question asked at `asked`; tells whether they count.
    pub fn confirmed(
        &mut self,
        now: Millis,
        asked: Millis,
        answers: &[Confirmation],
        timing: &Timing,
    ) -> bool {
        let unbroken = now < self.until;
        let counts = |a: &&Confirmation| {
            let known = self.runs.get(&a.witness) == Some(&a.instance);
            a.agrees && self.witnesses.contains(&a.witness) && (unbroken || known)
        };
        if answers.iter().filter(counts).count() < majority(self.witnesses.len()) {
            return false;
        }
        self.until = self.until.max(asked + timing.own(timing.validity));
        // Answers that came too late to make the validity whole again prove nothing of this run.
        if now < self.until {
            for answer in answers.iter().filter(|a| a.agrees) {
                self.runs.insert(answer.witness.clone(), answer.instance);
            }
        }
        true
    }

    /// Changes the witnesses, once the store has the record that names them.
    pub fn set_witnesses(&mut self, witnesses: Vec<HostName>) {
        self.runs.retain(|w, _| witnesses.contains(w));
        self.witnesses = witnesses;
    }
}

/// Returns how many of `n` are more than half.
#[must_use]
pub const fn majority(n: usize) -> usize {
    n / 2 + 1
}
