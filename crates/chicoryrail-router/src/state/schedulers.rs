//! The requests for which this host schedules.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use chicoryrail_core::DcName;
use chicoryrail_core::ServiceName;
use chicoryrail_policy::Scheduler;

/// Who asked.
#[derive(Clone, Debug)]
pub(crate) struct Origin {
    /// Host that asked; `None` for this one.
    pub(crate) from: Option<SocketAddr>,
    /// Id that the caller gave, for the log.
    pub(crate) id: String,
}

/// The requests for which this host schedules, by service.
#[derive(Debug, Default)]
pub(crate) struct Schedulers {
    pub(crate) by_service: RefCell<BTreeMap<ServiceName, Scheduler>>,
    /// Who asked, by ticket.
    pub(crate) origins: RefCell<HashMap<u64, Origin>>,
    dcs: RefCell<Vec<DcName>>,
}

impl Schedulers {
    /// Returns the number that stands for a data centre at the schedulers.
    pub(crate) fn dc_number(&self, dc: &DcName) -> u32 {
        let mut dcs = self.dcs.borrow_mut();
        let at = dcs.iter().position(|d| d == dc).unwrap_or_else(|| {
            dcs.push(dc.clone());
            dcs.len() - 1
        });
        at as u32
    }
}
