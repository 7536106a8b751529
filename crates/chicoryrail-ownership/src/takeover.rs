//! The way of a newcomer to a shard.

use std::collections::BTreeMap;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;

use crate::Timing;
use crate::majority;

/// The promises that a newcomer has collected after the store took its epoch.
///
/// It needs a majority of the old record's witnesses, all asked within [`Timing::promise`], and then
/// waits out the old holder's validity. An older promise does not count: the witness may have
/// restarted and ended its silence since.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Takeover {
    witnesses: Vec<HostName>,
    asked: BTreeMap<HostName, Millis>,
}

impl Takeover {
    /// Starts the take-over of a shard from the witnesses of its last record.
    #[must_use]
    pub const fn new(witnesses: Vec<HostName>) -> Self {
        Self {
            witnesses,
            asked: BTreeMap::new(),
        }
    }

    /// Returns the witnesses that have to be asked at `now`.
    pub fn missing<'a>(
        &'a self,
        now: Millis,
        timing: &'a Timing,
    ) -> impl Iterator<Item = &'a HostName> {
        self.witnesses
            .iter()
            .filter(move |w| !self.fresh(w, now, timing))
    }

    /// Takes in a promise to a question asked at `asked`.
    pub fn promised(&mut self, witness: &HostName, asked: Millis) {
        self.asked.insert(witness.clone(), asked);
    }

    /// Returns when the newcomer may act, where a majority has promised by `now`.
    ///
    /// `removed` tells which witnesses the platform has taken away for good: they confirm nobody,
    /// so they count like a promise.
    #[must_use]
    pub fn acts_from(
        &self,
        now: Millis,
        removed: impl Fn(&HostName) -> bool,
        timing: &Timing,
    ) -> Option<Millis> {
        let given = self
            .witnesses
            .iter()
            .filter(|w| self.fresh(w, now, timing) || removed(w))
            .count();
        (given >= majority(self.witnesses.len())).then(|| now + timing.others(timing.validity))
    }

    fn fresh(&self, witness: &HostName, now: Millis, timing: &Timing) -> bool {
        let asked = self.asked.get(witness);
        asked.is_some_and(|a| now.since(*a) <= timing.own(timing.promise))
    }
}
