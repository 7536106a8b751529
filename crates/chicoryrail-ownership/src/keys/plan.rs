//! Where the key line is cut.

use std::collections::BTreeMap;

use chicoryrail_core::Life;

use crate::keys::KeyLoad;
use crate::keys::KeyRecord;
use crate::keys::KeySpan;
use crate::keys::OwnedSpan;
use crate::keys::key_load::PER_BUCKET;
use crate::keys::relieve::relieve;

/// Requests beside those that were seen, spread evenly over all keys: keys that nobody asked for lately
/// are not free, and without any knowledge the cut is even.
pub(crate) const EVEN: f64 = 30.0;

/// Part of the whole load that a new cut must bring below the servers' fair shares to be worth the moves.
/// Of 0.06, 0.035 and 0.02, the last serves most: the mean worth of the days of two installations is 0.668,
/// 0.682 and 0.684, and 0.722, 0.721 and 0.725. Below it, moves follow chance.
const GAIN: f64 = 0.02;

/// The same where servers came or went: keys change hands in any case.
const GAIN_CHANGED: f64 = 0.02;

/// Load over the fair share up to which a server is not overloaded.
const ROOM: f64 = 1.15;

/// Requests that must have been seen before a cut follows them.
const FEWEST: f64 = 60.0;

/// A server that may hold keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// Which start of which server.
    pub life: Life,
    /// Work that it can do, relative to the others.
    pub weight: f64,
}

/// What is to be done about the spans.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// They stay.
    Keep,
    /// These servers hold them from now on.
    Change(Vec<OwnedSpan>),
}

impl Plan {
    /// Plans the spans for the servers that may hold keys.
    ///
    /// A server that left gives its span to its neighbours, a new one halves the busiest span; all
    /// others keep theirs. Boundaries are moved where that takes enough load off overloaded servers: at
    /// once where servers came or went, else where `may_balance` allows it.
    #[must_use]
    pub fn of(record: &KeyRecord, holders: &[Holder], load: &KeyLoad, may_balance: bool) -> Self {
        if holders.is_empty() {
            return Self::Keep;
        }
        let weights: BTreeMap<_, _> = holders.iter().map(|h| (&h.life, h.weight)).collect();
        if record.spans.is_empty() {
            return Self::Change(recut(holders, load));
        }
        let mut spans = heirs(&record.spans, |life| weights.contains_key(life), load);
        if spans.is_empty() {
            return Self::Change(recut(holders, load));
        }
        let mut changed = spans != record.spans;
        for holder in holders {
            if !spans.iter().any(|s| s.owner == holder.life) {
                changed |= take_half(&mut spans, holder, &weights, load);
            }
        }
        let gain = if changed { GAIN_CHANGED } else { GAIN };
        if (changed || may_balance) && load.total() >= FEWEST {
            let order: Vec<f64> = spans.iter().map(|s| weights[&s.owner]).collect();
            let cut = relieve(&spans, &order, load);
            if overload(&spans, &weights, load) - overload(&cut, &weights, load) > gain {
                return Self::Change(cut);
            }
        }
        if changed {
            return Self::Change(spans);
        }
        Self::Keep
    }
}

/// Gives the spans of owners that do not stay to their neighbours, each half by load; also closes gaps.
fn heirs(old: &[OwnedSpan], stays: impl Fn(&Life) -> bool, load: &KeyLoad) -> Vec<OwnedSpan> {
    let kept: Vec<_> = old.iter().filter(|s| stays(&s.owner)).collect();
    let mut spans: Vec<OwnedSpan> = Vec::with_capacity(kept.len());
    let mut next = 0;
    for (i, own) in kept.iter().enumerate() {
        let last = match kept.get(i + 1) {
            None => u16::MAX,
            Some(after) if after.span.first == own.span.last + 1 => own.span.last,
            Some(after) => {
                let gap = KeySpan {
                    first: own.span.last + 1,
                    last: after.span.first - 1,
                };
                middle(gap, load)
            }
        };
        spans.push(OwnedSpan::new(
            KeySpan { first: next, last },
            own.owner.clone(),
        ));
        next = last.saturating_add(1);
    }
    spans
}

/// Gives a new server the second half of the span that is busiest for its owner's weight.
fn take_half(
    spans: &mut Vec<OwnedSpan>,
    holder: &Holder,
    weights: &BTreeMap<&Life, f64>,
    load: &KeyLoad,
) -> bool {
    let busy = |s: &OwnedSpan| weight(s.span, load) / weights[&s.owner];
    let candidates = spans.iter().enumerate().filter(|(_, s)| s.span.len() > 1);
    let busiest = candidates.max_by(|a, b| busy(a.1).total_cmp(&busy(b.1)));
    let Some((at, _)) = busiest else {
        return false;
    };
    let whole = spans[at].span;
    let middle = middle(whole, load).min(whole.last - 1);
    spans[at].span.last = middle;
    let half = KeySpan {
        first: middle + 1,
        last: whole.last,
    };
    spans.insert(at + 1, OwnedSpan::new(half, holder.life.clone()));
    true
}

/// Returns the last key of the first half of a span, by load.
fn middle(span: KeySpan, load: &KeyLoad) -> u16 {
    let goal = weight(span, load) / 2.0;
    let mut low = span.first;
    let mut high = span.last;
    while low < high {
        let key = low + (high - low) / 2;
        let first = KeySpan {
            first: span.first,
            last: key,
        };
        if weight(first, load) < goal {
            low = key + 1;
        } else {
            high = key;
        }
    }
    low
}

/// Returns the load that a span counts for: what was seen, and a little for every key.
fn weight(span: KeySpan, load: &KeyLoad) -> f64 {
    load.of(span) + EVEN * f64::from(span.len()) / 65_536.0
}

/// Returns the part of the load that lies above the servers' fair shares. One key that is busier than a server
/// can bear counts the same wherever it is, so it does not hide that the others lie badly.
fn overload(spans: &[OwnedSpan], weights: &BTreeMap<&Life, f64>, load: &KeyLoad) -> f64 {
    let all = weight(KeySpan::ALL, load);
    let unit = all / weights.values().sum::<f64>();
    let over = spans.iter().map(|s| {
        let fair = weights[&s.owner] * unit * ROOM;
        (weight(s.span, load) - fair).max(0.0)
    });
    over.sum::<f64>() / all
}

/// Cuts the whole line into a span for each server, in their order, each as long as its weight and the
/// load say.
#[must_use]
pub fn recut(holders: &[Holder], load: &KeyLoad) -> Vec<OwnedSpan> {
    let all: f64 = holders.iter().map(|h| h.weight).sum();
    let total = load.total() + EVEN;
    let mut spans = Vec::with_capacity(holders.len());
    let mut steps = load.steps();
    let (mut sum, mut share, mut first) = (0.0, 0.0, 0_u32);
    for (i, holder) in holders.iter().enumerate() {
        share += holder.weight / all;
        let mut end = first + 1;
        if i + 1 == holders.len() {
            end = 65_536;
        } else {
            for (next, seen) in steps.by_ref() {
                sum += seen + EVEN * PER_BUCKET as f64 / 65_536.0;
                end = next;
                if sum >= total * share {
                    break;
                }
            }
            end = end
                .max(first + 1)
                .min(65_536 - (holders.len() - i - 1) as u32);
        }
        let span = KeySpan {
            first: first as u16,
            last: (end - 1) as u16,
        };
        spans.push(OwnedSpan::new(span, holder.life.clone()));
        first = end;
    }
    spans
}
