//! The desks of all services, at the leader.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use chicoryrail_core::ServiceName;
use chicoryrail_policy::Desk;

/// Who asked, by ticket; `None` for this host itself.
type Origins = HashMap<u64, Option<SocketAddr>>;

/// The desks of all services, at the leader.
#[derive(Debug, Default)]
pub(crate) struct Hall {
    pub(crate) desks: RefCell<BTreeMap<ServiceName, Desk>>,
    pub(crate) origins: RefCell<Origins>,
}

impl Hall {
    /// Forgets everything: another host leads, or a new term begins.
    pub(crate) fn clear(&self) {
        self.desks.borrow_mut().clear();
        self.origins.borrow_mut().clear();
    }
}
