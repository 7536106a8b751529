//! Shares the slots of servers among the keys, callers and routes that compete for them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryrail_core::Millis;

use crate::scheduler::Placement;
use crate::scheduler::SlotRequest;
use crate::scheduler::waiting_request::WaitingRequest;
use crate::scheduler::work_rate::WorkRate;

/// Time between two comparisons of what was used. Used work is counted in steps of the same length.
const COMPARE_INTERVAL: Millis = Millis(100);
/// Factor on an equal share up to which more does not count as more: the work of a second varies by chance.
const SHARE_TOLERANCE: f64 = 1.1;

/// Route of requests that run at most once. These use up the shares of their key and caller but never go behind others, so
/// that orders are not served less often than reads of the same service.
const AT_MOST_ONCE: u64 = 0;

/// Something that competes for the slots of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Claimant {
    Key(u16),
    Caller(u64),
    /// Hash of a route's name; [`AT_MOST_ONCE`] stands for all routes whose requests run at most once.
    Route(u64),
}

/// What a claimant has used in the last second.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    rate: WorkRate,
    /// Work of its last request, in microseconds.
    work_us: f64,
}

/// Use of the slots of each placement in the last second, by keys, callers and routes.
///
/// Guards against one key, caller or route that takes most slots while others miss their latency targets. Whoever had
/// more than an equal share goes behind those with less. Nobody is held back while a slot is free, so a share that is
/// not used is lent.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairShares {
    usage: BTreeMap<(Placement, Claimant), Usage>,
    /// Claimants that had more than their share at the last comparison.
    over: BTreeSet<(Placement, Claimant)>,
    compared_at: Millis,
}

impl FairShares {
    /// Records that a request competes for slots, and the work that it uses if it is sent.
    pub(crate) fn record(
        &mut self,
        now: Millis,
        placement: Placement,
        request: &SlotRequest,
        used_us: f64,
    ) {
        for claimant in claimants(request) {
            let usage = self.usage.entry((placement, claimant)).or_default();
            usage.rate.record(now, used_us);
            usage.work_us = request.work_us;
        }
    }

    /// Updates which requests go behind others because of their share. Returns the number of new requests that do.
    pub(crate) fn apply(&mut self, now: Millis, queue: &mut [WaitingRequest]) -> u64 {
        self.compare(now);
        let mut applied = 0;
        for waiting in queue {
            waiting.over_share = self.is_over(waiting.placement, &waiting.request);
            if waiting.is_new {
                self.record(now, waiting.placement, &waiting.request, 0.0);
                applied += u64::from(waiting.over_share);
            }
        }
        applied
    }

    /// Returns `true` if the key, the caller or the route of a request had more than its share.
    fn is_over(&self, placement: Placement, request: &SlotRequest) -> bool {
        let is_over = |claimant| self.over.contains(&(placement, claimant));
        !self.over.is_empty() && request.route != AT_MOST_ONCE && claimants(request).any(is_over)
    }

    /// Compares the use of each claimant with an equal share, at intervals.
    fn compare(&mut self, now: Millis) {
        if now.since(self.compared_at) < COMPARE_INTERVAL {
            return;
        }
        self.compared_at = now;
        self.usage.retain(|_, usage| !usage.rate.is_idle(now));
        // Used slots and the number of claimants, by placement and kind of claimant.
        let mut totals: BTreeMap<(Placement, u8), (f64, f64)> = BTreeMap::new();
        for ((placement, claimant), usage) in &self.usage {
            let total = totals.entry((*placement, claimant.kind())).or_default();
            total.0 += usage.rate.busy_slots(now);
            total.1 += 1.0;
        }
        let is_over = |(placement, claimant): &(Placement, Claimant), usage: &Usage| {
            let (used, number) = totals[&(*placement, claimant.kind())];
            let share = used / number * SHARE_TOLERANCE + usage.work_us / 1_000_000.0;
            usage.rate.busy_slots(now) > share
        };
        let over = self.usage.iter().filter(|(id, usage)| is_over(id, usage));
        self.over = over.map(|(id, _)| *id).collect();
    }
}

impl Claimant {
    const fn kind(self) -> u8 {
        match self {
            Self::Key(_) => 0,
            Self::Caller(_) => 1,
            Self::Route(_) => 2,
        }
    }
}

/// Returns what a request competes for slots as; nothing unless it tolerates waiting.
fn claimants(request: &SlotRequest) -> impl Iterator<Item = Claimant> {
    let key = request.key.map(Claimant::Key);
    let caller = Some(Claimant::Caller(request.caller));
    let route = Some(Claimant::Route(request.route));
    let claimants = [key, caller, route].into_iter().flatten();
    claimants.filter(|_| request.tolerates_waiting)
}
