//! Schedulers of parts of services, with the origins of the queries that they decide on.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use chicoryrail_core::DcName;
use chicoryrail_core::Millis;
use chicoryrail_core::OrganisationName;
use chicoryrail_core::ServiceName;
use chicoryrail_policy::RemoteFreeSlots;
use chicoryrail_policy::Scheduler;
use chicoryrail_runtime::ChangeSignal;

use crate::messages::PartName;
use crate::messages::PartRoom;
use crate::state::PartSync;

/// The host and the request that a slot query came from.
#[derive(Clone, Debug)]
pub(crate) struct QueryOrigin {
    /// Address of the host that sent the query; `None` for this host.
    pub(crate) from: Option<SocketAddr>,
    /// Request id from the caller, for the log.
    pub(crate) id: String,
    /// Organisation whose quota token the request has; it is given back if the request does not run.
    pub(crate) token: Option<OrganisationName>,
}

/// The schedulers that run on this host, one for each part of a service: a part is a scheduling partition, all servers
/// of a service or those in one data centre.
#[derive(Debug, Default)]
pub(crate) struct Schedulers {
    pub(crate) by_part: RefCell<BTreeMap<PartName, Scheduler>>,
    /// What each scheduler has seen of its servers.
    pub(crate) syncs: RefCell<BTreeMap<PartName, PartSync>>,
    /// Origin of each slot query, by ticket.
    pub(crate) origins: RefCell<HashMap<u64, QueryOrigin>>,
    /// Notified when a request begins to wait.
    pub(crate) enqueued: ChangeSignal,
    /// Data centres; a position in this list identifies one in the schedulers.
    dcs: RefCell<Vec<DcName>>,
    /// Free slots that the schedulers of partitioned services reported.
    free_slots: RefCell<BTreeMap<ServiceName, RemoteFreeSlots>>,
}

impl Schedulers {
    /// Records how many slots of a part are free.
    pub(crate) fn record_free_slots(&self, now: Millis, report: &PartRoom) {
        let Some(dc) = &report.part.dc else {
            return;
        };
        let mut free_slots = self.free_slots.borrow_mut();
        let service = free_slots.entry(report.part.service.clone()).or_default();
        service.update(now, dc, report.free);
    }

    /// Takes a free slot of another part of the same service and returns the data centre of that part.
    pub(crate) fn take_free_slot(&self, now: Millis, part: &PartName) -> Option<DcName> {
        let own = part.dc.as_ref()?;
        let mut free_slots = self.free_slots.borrow_mut();
        free_slots.get_mut(&part.service)?.take_slot(now, own)
    }

    /// Returns the index that identifies a data centre in the schedulers of this host; an unknown one is added.
    pub(crate) fn dc_index(&self, dc: &DcName) -> u32 {
        let mut dcs = self.dcs.borrow_mut();
        let at = dcs.iter().position(|d| d == dc).unwrap_or_else(|| {
            dcs.push(dc.clone());
            dcs.len() - 1
        });
        at as u32
    }
}
