//! Planning of the key ranges that each server should own.

use std::collections::BTreeSet;

use chicoryrail_core::Life;

use crate::keys::KeyHistory;
use crate::keys::KeyLoad;
use crate::keys::KeyRange;
use crate::keys::KeyRecord;
use crate::keys::LoadWindow;
use crate::keys::MoveReason;
use crate::keys::OwnedRange;
use crate::keys::PlanPolicy;
use crate::keys::assignment::Assignment;
use crate::keys::load_curve::LoadCurve;
use crate::keys::record::ranges_by_owner;

/// Minimum fraction of the total load by which a plan must reduce the load above the fair shares. Smaller gains
/// are random variation and not worth the moves.
const OVERLOAD_GAIN_MIN: f64 = 0.02;

/// Load relative to the fair share up to which a server does not count as overloaded.
const FAIR_SHARE_MARGIN: f64 = 1.15;

/// Load relative to the fair share above which a server is relieved at once.
const RELIEF_THRESHOLD: f64 = 1.4;

/// Standard deviations of a fair load that are added to `RELIEF_THRESHOLD`: a server gets only a few dozen
/// requests in the last second or two, so its load varies randomly.
const RELIEF_DEVIATIONS: f64 = 1.5;

/// Standard deviations above `FAIR_SHARE_MARGIN` that do not count as overload when balancing without
/// urgency: moves that follow random variation bring nothing.
const BALANCE_DEVIATIONS: f64 = 0.25;

/// Minimum number of observed requests for a plan to take the load into account.
const OBSERVED_REQUESTS_MIN: f64 = 60.0;

/// Highest utilisation of any server up to which load is not balanced. Requests hardly wait below it. With thousands of
/// servers of which each gets a request now and then, some always have several times the mean load by chance, and moves
/// that follow it never end.
const BUSY_UTILISATION_MIN: f64 = 0.4;

/// Server that may be given keys.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyCandidate {
    /// Server incarnation: the name and which start of the server it is.
    pub life: Life,
    /// Processing capacity relative to the other servers.
    pub weight: f64,
}

/// Result of planning: whether and how the key assignment changes.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// The assignment stays as it is.
    Keep,
    /// The new assignment, sorted by key, and why it changes.
    Change(Vec<OwnedRange>, MoveReason),
}

/// Moves that may be planned beyond those required because servers joined or left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moves {
    /// No other moves.
    Required,
    /// Moves that relieve a server whose current load is far above its fair share.
    Urgent,
    /// Moves that balance the load.
    Balance,
}

impl Plan {
    /// Plans the key ranges of the candidates.
    ///
    /// The keys of a server that left go to the servers with the most spare load, and a new server gets
    /// keys from the busiest ones; all other servers keep theirs. A busy range is split into pieces, down
    /// to a single key, that go to servers with spare load, if that takes enough load off overloaded
    /// servers.
    #[must_use]
    pub fn compute(
        record: &KeyRecord,
        candidates: &[KeyCandidate],
        load: &KeyLoad,
        moves: Moves,
        policy: PlanPolicy<'_>,
    ) -> Self {
        if candidates.is_empty() {
            return Self::Keep;
        }
        if record.spans.is_empty() {
            return Self::Change(split_key_space(candidates, load), MoveReason::Required);
        }
        let history = match policy {
            PlanPolicy::Immediate => None,
            PlanPolicy::Steady(history) => Some(history),
        };
        let hot_key_change = history.is_some_and(|h| h.has_hot_key_change(candidates.len()));
        let urgent = moves == Moves::Urgent;
        let membership_changed = has_membership_change(record, candidates);
        let may_balance = membership_changed || moves != Moves::Required;
        let load_matters = may_balance
            && load.total() >= OBSERVED_REQUESTS_MIN
            && highest_utilisation(record, candidates, load) >= BUSY_UTILISATION_MIN;
        if !membership_changed && !load_matters && !hot_key_change {
            return Self::Keep;
        }
        let window = if urgent {
            LoadWindow::Short
        } else {
            LoadWindow::Long
        };
        let weights: Vec<f64> = candidates.iter().map(|c| c.weight).collect();
        let dedicated = history.map_or_else(Vec::new, |h| h.dedicated_keys(candidates.len()));
        let excluded: Vec<u16> = dedicated.iter().map(|(key, _)| *key).collect();
        let (curve, unit_load) = LoadCurve::with_fair_load(&weights, load, window, &excluded);
        let mut assignment = Assignment::new(&record.spans, candidates, &curve, unit_load);
        if !assignment.has_owners() {
            return Self::Change(split_key_space(candidates, load), MoveReason::Required);
        }
        if let Some(history) = history {
            assignment.formerly_dedicated = history.calm_keys();
            assignment.dedicate_servers(&dedicated);
            assignment.hold_keys(&history.busy_keys(candidates.len()));
        }
        let is_required = membership_changed || hot_key_change;
        if urgent
            && history.is_none()
            && !is_required
            && !assignment
                .loads()
                .any(|(load, fair)| is_far_overloaded(load, fair))
        {
            return Self::Keep;
        }
        assignment.assign_unowned();
        assignment.admit_new(load_matters || hot_key_change);
        let recent = history.map_or_else(Vec::new, KeyHistory::recently_moved);
        let improves = if let Some(history) = history {
            let follows_relief = history.follows_relief();
            load_matters && assignment.relieve_significant(moves, follows_relief, &recent) > 0
        } else {
            let deviations = if urgent { 0.0 } else { BALANCE_DEVIATIONS };
            let before = assignment.overload(FAIR_SHARE_MARGIN, deviations);
            if load_matters {
                assignment.relieve_overloaded();
            }
            before - assignment.overload(FAIR_SHARE_MARGIN, deviations) > OVERLOAD_GAIN_MIN
        };
        if !is_required && !improves {
            return Self::Keep;
        }
        if history.is_some() {
            assignment.merge_surplus(&recent);
        } else {
            assignment.merge_lightly_loaded();
        }
        let reason = match moves {
            _ if membership_changed => MoveReason::Required,
            _ if hot_key_change => MoveReason::HotKey,
            Moves::Urgent => MoveReason::Relief,
            Moves::Required | Moves::Balance => MoveReason::Balance,
        };
        Self::Change(assignment.into_owned_ranges(), reason)
    }
}

/// Returns `true` if owners are no longer candidates, candidates own no keys, or keys have no owner.
fn has_membership_change(record: &KeyRecord, candidates: &[KeyCandidate]) -> bool {
    let lives: BTreeSet<&Life> = candidates.iter().map(|c| &c.life).collect();
    let owners: BTreeSet<&Life> = record.spans.iter().map(|s| &s.owner).collect();
    let keys: u32 = record.spans.iter().map(|s| s.span.len()).sum();
    lives != owners || keys != KeyRange::ALL.len()
}

/// Returns the highest utilisation of any candidate under a record.
fn highest_utilisation(record: &KeyRecord, candidates: &[KeyCandidate], load: &KeyLoad) -> f64 {
    let ranges = ranges_by_owner(&record.spans);
    let servers = candidates.iter().map(|c| {
        let ranges = ranges.get(&c.life).map_or(&[][..], Vec::as_slice);
        (c.weight, ranges)
    });
    load.highest_utilisation(servers)
}

/// Returns `true` if a server's load is far above its fair share, beyond the random variation of so few
/// requests.
fn is_far_overloaded(load: f64, fair: f64) -> bool {
    load > fair * RELIEF_THRESHOLD + fair.sqrt() * RELIEF_DEVIATIONS
}

/// Splits the whole key space into one range for each candidate, in their order, sized by weight and load.
#[must_use]
pub fn split_key_space(candidates: &[KeyCandidate], load: &KeyLoad) -> Vec<OwnedRange> {
    let weights: Vec<f64> = candidates.iter().map(|c| c.weight).collect();
    let (curve, unit_load) = LoadCurve::with_fair_load(&weights, load, LoadWindow::Long, &[]);
    let mut rest = KeyRange::ALL;
    let mut spans = Vec::with_capacity(candidates.len());
    for (i, candidate) in candidates.iter().enumerate() {
        let remaining = (candidates.len() - i - 1) as u32;
        let mut span = rest;
        if remaining > 0 {
            let prefix = curve.prefix_with_load(rest, candidate.weight * unit_load);
            // Leaves at least one key for each remaining candidate.
            span.last = prefix.last.min((65_535 - remaining) as u16);
            rest.first = span.last + 1;
        }
        spans.push(OwnedRange::new(span, candidate.life.clone()));
    }
    spans
}
