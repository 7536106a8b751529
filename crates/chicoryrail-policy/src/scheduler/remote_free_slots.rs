//! Selects another data centre for a request that finds no free slot in its own.

use std::collections::BTreeMap;

use chicoryrail_core::DcName;
use chicoryrail_core::Millis;

/// Maximum age of a report of free slots: three intervals of the messages that carry it.
const FREE_SLOTS_AGE_MAX: Millis = Millis(450);

/// Divisor for the free slots of another data centre that this host may use until the next report: all other hosts may
/// use them at the same time.
const FREE_SLOTS_DIVISOR: u32 = 2;

/// Free slots of a service in the data centres that other hosts schedule, by their last reports.
///
/// Guards against requests that wait or are refused in one data centre while another has free slots. This occurs if
/// callers are distributed over the data centres differently from the servers, or if a data centre's servers are lost
/// or warming up. A data centre without a recent report gets no requests, so none is sent to one that is isolated.
#[derive(Clone, Debug, Default)]
pub struct RemoteFreeSlots {
    by_dc: BTreeMap<DcName, FreeSlots>,
}

/// Free slots of a service in one data centre.
#[derive(Clone, Copy, Debug)]
struct FreeSlots {
    /// Number of slots that this host may still use until the next report.
    usable: u32,
    received_at: Millis,
}

impl RemoteFreeSlots {
    /// Records a report of the number of free slots in a data centre.
    pub fn update(&mut self, now: Millis, dc: &DcName, free: u32) {
        let slots = FreeSlots {
            usable: free.div_ceil(FREE_SLOTS_DIVISOR),
            received_at: now,
        };
        self.by_dc.insert(dc.clone(), slots);
    }

    /// Takes a free slot of the data centre with the most usable ones, other than `own`, and returns the data centre;
    /// `None` if no other has any by a recent report.
    pub fn take_slot(&mut self, now: Millis, own: &DcName) -> Option<DcName> {
        let others = self.by_dc.iter_mut().filter(|(dc, _)| *dc != own);
        let fresh = others.filter(|(_, slots)| now.since(slots.received_at) <= FREE_SLOTS_AGE_MAX);
        let (dc, slots) = fresh.max_by_key(|(_, slots)| slots.usable)?;
        slots.usable = slots.usable.checked_sub(1)?;
        Some(dc.clone())
    }
}
