//! What each gate may still believe.

use std::collections::BTreeMap;

use chicoryrail_core::Fence;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;

use crate::Timing;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Reader {
    instance: u64,
    known: Fence,
    until: Millis,
}

/// The routes that gates hold for one shard: which version each has acknowledged, and until when an
/// older one may be valid at it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GateRoutes {
    readers: BTreeMap<HostName, Reader>,
}

impl GateRoutes {
    /// Takes in that a gate's routes were renewed by a reply given at `now`; the gate counts from
    /// before its question, so this bound is on the far side.
    pub fn renewed(&mut self, now: Millis, gate: &HostName, instance: u64, timing: &Timing) {
        let until = now + timing.others(timing.route);
        let reader = self.readers.entry(gate.clone()).or_insert(Reader {
            instance,
            known: Fence::default(),
            until,
        });
        if reader.instance != instance {
            // A new run has no work in flight under what the old one knew, but the old run may
            // still be alive for as long as its routes are valid.
            reader.instance = instance;
            reader.known = Fence::default();
        }
        reader.until = reader.until.max(until);
    }

    /// Takes in the version that a gate acknowledges.
    pub fn acknowledged(&mut self, gate: &HostName, instance: u64, known: Fence) {
        if let Some(reader) = self.readers.get_mut(gate)
            && reader.instance == instance
        {
            reader.known = reader.known.max(known);
        }
    }

    /// Tells whether no gate can act on a version below `fence` any more.
    #[must_use]
    pub fn all_know(&self, now: Millis, fence: Fence) -> bool {
        self.readers
            .values()
            .all(|r| r.known >= fence || r.until <= now)
    }

    /// Tells whether one gate can't act on a version below `fence` any more.
    #[must_use]
    pub fn knows(&self, now: Millis, gate: &HostName, fence: Fence) -> bool {
        self.readers
            .get(gate)
            .is_none_or(|r| r.known >= fence || r.until <= now)
    }

    /// Tells whether one gate has itself acknowledged `fence`.
    #[must_use]
    pub fn has_acknowledged(&self, gate: &HostName, fence: Fence) -> bool {
        self.readers.get(gate).is_some_and(|r| r.known >= fence)
    }

    /// Tells whether every gate has itself acknowledged `fence`, which says too that it has no
    /// request in flight that `fence` forbids.
    #[must_use]
    pub fn acknowledged_by_all(&self, fence: Fence) -> bool {
        self.readers.values().all(|r| r.known >= fence)
    }

    /// Returns when the last route that does not know `fence` runs out.
    #[must_use]
    pub fn latest(&self, fence: Fence) -> Millis {
        let old = self.readers.values().filter(|r| r.known < fence);
        old.map(|r| r.until).max().unwrap_or(Millis::ZERO)
    }
}
