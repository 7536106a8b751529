//! Applies an operator's pins to the plan of a service's keys.

use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::KeyCandidate;
use chicoryrail_ownership::keys::Pin;
use chicoryrail_ownership::keys::Plan;

use crate::control::leader::key_leader::KeyLeader;

/// Least time between two changes of the assignment while pins are in force. A server all of whose keys are pinned to
/// others looks new in each round of planning, and each round may then move other keys as well.
const PINNED_INTERVAL: Millis = Millis(400);

impl KeyLeader {
    /// Returns the plan with the operator's pins applied.
    pub(super) fn pinned(&self, plan: Plan, candidates: &[KeyCandidate], now: Millis) -> Plan {
        let pins = self.router.traffic.pins(&self.service);
        if pins.is_empty() {
            return plan;
        }
        if now.since(self.last_change_at.get()) < PINNED_INTERVAL {
            return Plan::Keep;
        }
        Pin::apply(&pins, plan, self.leases.borrow().record(), candidates)
    }
}
