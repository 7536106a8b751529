//! When the leader plans other holders of a service's keys, and which servers may be holders.

use std::collections::BTreeSet;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_ownership::keys::Holder;
use chicoryrail_ownership::keys::Moves;
use chicoryrail_ownership::keys::Plan;

use crate::control::leader::keep_keys::KeyLeader;
use crate::state::Target;

/// Time between two moves of boundaries for balance. The load that a cut follows is that of the last few
/// seconds, and each cut holds the moved keys' requests for as long as work on them is running.
const BALANCE_INTERVAL: Millis = Millis(2_500);

/// Time between two moves that relieve a server which has far too much. A range of keys that grew busy a moment ago
/// shows in part at first; what is left of it is moved with the next.
const RELIEF_INTERVAL: Millis = Millis(400);

/// Time after a change at which the record is written again without the former holders that hold nothing any more.
/// Left in it, a leader that takes over waits for them as long as for any, and keys that nobody holds stay unserved.
const MERGE_INTERVAL: Millis = Millis(1_000);

/// Least weight of a server that takes next to nothing: it keeps a few keys, by whose requests it can say that it takes
/// more again.
const LIMITED_WEIGHT_MIN: f64 = 0.05;

/// Time for which a server must have been known before it gets keys. Servers come in groups, at the start
/// and with each release, and every change of the record is told to every host.
const LOAD_SETTLE_TIME: Millis = Millis(400);

impl KeyLeader {
    /// Plans other holders where servers came or went, or the load lies badly.
    pub(super) fn plan(&self) {
        let now = self.router.now();
        if self.leases.borrow().is_writing() {
            return;
        }
        let holders = self.holders(now);
        // Former holders that can't be reached keep their keys for many seconds after an outage. The others' load is
        // balanced meanwhile, or a range that grows busy would overload its server for as long.
        let moves = match now.since(self.balanced.get()) {
            since if since >= BALANCE_INTERVAL => Moves::Balance,
            since if since >= RELIEF_INTERVAL => Moves::Urgent,
            _ => Moves::Needed,
        };
        let plan = self.leadership.with_load(now, &self.service, |load| {
            Plan::of(self.leases.borrow().record(), &holders, load, moves)
        });
        if let Plan::Change(spans) = plan {
            self.balanced.set(now);
            let services = self.router.services();
            let there = |life: &Life| services.iter().any(|s| s.target(life).is_some());
            self.leadership.keep_paces(there);
            log::info!(service:% = self.service, servers = holders.len(),
                spans = spans.len(), fence = self.leases.borrow().record().fence; "keys_planned");
            self.leases.borrow_mut().change(spans, rand::random());
        } else if now.since(self.balanced.get()) >= MERGE_INTERVAL
            && self.leases.borrow().is_untidy()
        {
            self.balanced.set(now);
            let spans = self.leases.borrow().record().spans.clone();
            self.leases.borrow_mut().change(spans, rand::random());
        }
    }

    /// Returns the servers that may hold keys: those that take work, are warm and answer; cold ones
    /// where there is no other.
    fn holders(&self, now: Millis) -> Vec<Holder> {
        let service = self.router.service(&self.service);
        let targets = service.targets.borrow();
        let leases = self.leases.borrow();
        let owners: BTreeSet<&Life> = leases.record().spans.iter().map(|s| &s.owner).collect();
        let open = |cold: bool| -> Vec<Holder> {
            let open = targets.values().filter(|t| t.is_ready());
            let open = open.filter(|t| !leases.is_lost(now, &t.life));
            let holds = |life: &Life| owners.contains(life);
            let open = open.filter(|t| holds(&t.life) || now.since(t.known) >= LOAD_SETTLE_TIME);
            let warm = open.filter(|t| cold || !t.is_cold(now) || holds(&t.life));
            let mut holders: Vec<_> = warm
                .map(|t| Holder {
                    life: t.life.clone(),
                    weight: self.weight(t),
                })
                .collect();
            holders.sort_by(|a, b| a.life.cmp(&b.life));
            holders
        };
        let warm = open(false);
        if warm.is_empty() { open(true) } else { warm }
    }

    /// Returns the work that a server can do, by what the hosts saw of it that schedule for it. A slow server with as many
    /// requests as the others has the longest queue of all, and a limited one refuses what is beyond its limit.
    fn weight(&self, target: &Target) -> f64 {
        let slots = f64::from(target.slots.get());
        let Some(pace) = self.leadership.pace(&target.life) else {
            return slots;
        };
        let weight = slots / f64::from(pace.speed).clamp(0.5, 2.0);
        let limited = pace.limited_slots.map_or(weight, f64::from);
        limited.max(LIMITED_WEIGHT_MIN).min(weight)
    }
}
