//! Which keys each server should hold.

use std::collections::BTreeSet;

use chicoryrail_core::Life;

use crate::keys::KeyLoad;
use crate::keys::KeyRange;
use crate::keys::KeyRecord;
use crate::keys::OwnedRange;
use crate::keys::Window;
use crate::keys::assignment::Assignment;
use crate::keys::load_curve::LoadCurve;

/// Part of the whole load that a new cut must bring below the servers' fair shares to be worth the moves. Below it,
/// moves follow chance.
const OVERLOAD_GAIN_MIN: f64 = 0.02;

/// Load over the fair share up to which a server is not overloaded.
const FAIR_SHARE_MARGIN: f64 = 1.15;

/// Load over the fair share from which a server is relieved at once.
const RELIEF_THRESHOLD: f64 = 1.4;

/// Standard deviations of chance beside it: a server's requests of the last second or two are a few dozen.
const RELIEF_DEVIATIONS: f64 = 1.5;

/// Standard deviations of chance that count as no overload where nothing is urgent: moves that follow them help nobody.
const BALANCE_DEVIATIONS: f64 = 0.25;

/// Requests that must have been seen before a plan follows them.
const REQUESTS_SEEN_MIN: f64 = 60.0;

/// A server that may hold keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// Which start of which server.
    pub life: Life,
    /// Work that it can do, relative to the others.
    pub weight: f64,
}

/// What is to be done about who holds which keys.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// Nothing changes.
    Keep,
    /// These servers hold them from now on.
    Change(Vec<OwnedRange>),
}

/// Which moves of keys may be planned beside those that are needed because servers came or went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moves {
    /// None.
    Needed,
    /// Those that relieve a server which has far too much at this moment.
    Urgent,
    /// Those that balance the load.
    Balance,
}

impl Plan {
    /// Plans the ranges for the servers that may hold keys.
    ///
    /// The keys of a server that left go to those with most room, a new one takes from the busiest; all others
    /// keep theirs. A busy range is cut into pieces that go to whoever has room, down to a single key, where that takes enough load off overloaded servers.
    #[must_use]
    pub fn of(record: &KeyRecord, holders: &[Holder], load: &KeyLoad, moves: Moves) -> Self {
        if holders.is_empty() {
            return Self::Keep;
        }
        if record.spans.is_empty() {
            return Self::Change(recut(holders, load));
        }
        let urgent = moves == Moves::Urgent;
        let members = changes_members(record, holders);
        if !members && (moves == Moves::Needed || load.total() < REQUESTS_SEEN_MIN) {
            return Self::Keep;
        }
        let window = if urgent { Window::Short } else { Window::Long };
        let weights: Vec<f64> = holders.iter().map(|h| h.weight).collect();
        let (line, unit) = LoadCurve::fair(&weights, load, window);
        let mut draft = Assignment::new(&record.spans, holders, &line, unit);
        if !draft.is_held() {
            return Self::Change(recut(holders, load));
        }
        if urgent && !members && !draft.loads().any(|(load, fair)| is_far_over(load, fair)) {
            return Self::Keep;
        }
        let known = load.total() >= REQUESTS_SEEN_MIN;
        draft.give_free();
        draft.admit(known);
        let chance = if urgent { 0.0 } else { BALANCE_DEVIATIONS };
        let before = draft.overload(FAIR_SHARE_MARGIN, chance);
        if known && (moves != Moves::Needed || members) {
            draft.relieve();
        }
        let gains = before - draft.overload(FAIR_SHARE_MARGIN, chance) > OVERLOAD_GAIN_MIN;
        if !members && !gains {
            return Self::Keep;
        }
        draft.merge();
        Self::Change(draft.into_spans())
    }
}

/// Tells whether servers with keys are no holders any more, or holders have none.
fn changes_members(record: &KeyRecord, holders: &[Holder]) -> bool {
    let lives: BTreeSet<&Life> = holders.iter().map(|h| &h.life).collect();
    let owners: BTreeSet<&Life> = record.spans.iter().map(|s| &s.owner).collect();
    let keys: u32 = record.spans.iter().map(|s| s.span.len()).sum();
    lives != owners || keys != KeyRange::ALL.len()
}

/// Tells whether a server has far more than its fair share, beyond what chance makes of so few requests.
fn is_far_over(load: f64, fair: f64) -> bool {
    load > fair * RELIEF_THRESHOLD + fair.sqrt() * RELIEF_DEVIATIONS
}

/// Cuts the whole key space into one range for each server, in their order, each as long as its weight and the load
/// say.
#[must_use]
pub fn recut(holders: &[Holder], load: &KeyLoad) -> Vec<OwnedRange> {
    let weights: Vec<f64> = holders.iter().map(|h| h.weight).collect();
    let (line, unit) = LoadCurve::fair(&weights, load, Window::Long);
    let mut rest = KeyRange::ALL;
    let mut spans = Vec::with_capacity(holders.len());
    for (i, holder) in holders.iter().enumerate() {
        let after = (holders.len() - i - 1) as u32;
        let mut span = rest;
        if after > 0 {
            let part = line.start_of(rest, holder.weight * unit);
            // Each of the others gets a key at least.
            span.last = part.last.min((65_535 - after) as u16);
            rest.first = span.last + 1;
        }
        spans.push(OwnedRange::new(span, holder.life.clone()));
    }
    spans
}
