//! One service and its servers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;

use chicoryrail_core::DcName;
use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::keys::KeyView;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::SharedRetries;
use chicoryrail_policy::SharedServers;
use chicoryrail_runtime::Signal;

use crate::state::Target;
use crate::talk::PartName;

/// Servers in a data centre, on average, from which the scheduling of a service without keys is divided by data
/// centre. Fewer are better scheduled together: a request finds a free one among all, and one host bears the load.
const SERVERS_PER_PART_MIN: usize = 12;

/// Keys that are kept between two reports to the leader.
const ASKED_KEYS_MAX: usize = 400;

/// One service and its servers.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: ServiceName,
    /// What is known of the servers' load.
    pub(crate) loads: RefCell<SharedServers>,
    /// This host's repeats.
    pub(crate) retries: RefCell<SharedRetries>,
    /// Who holds which keys, where the service is keyed.
    pub(crate) keys: RefCell<KeyView>,
    /// Notified when a request ended at a server, or when servers or owners changed.
    pub(crate) changed: Signal,
    /// Keys asked for since the last report to the leader.
    pub(crate) asked: RefCell<Vec<u16>>,
    pub(crate) targets: RefCell<HashMap<Life, Rc<Target>>>,
    pub(crate) keyed: Cell<bool>,
    /// Whether each data centre's servers are scheduled by themselves.
    pub(crate) divided: Cell<bool>,
    next: Cell<u32>,
}

impl Service {
    /// Builds a service without servers.
    pub(crate) fn new(name: &ServiceName) -> Rc<Self> {
        Rc::new(Self {
            name: name.clone(),
            loads: RefCell::default(),
            retries: RefCell::default(),
            keys: RefCell::default(),
            changed: Signal::default(),
            asked: RefCell::default(),
            targets: RefCell::default(),
            keyed: Cell::new(false),
            divided: Cell::new(false),
            next: Cell::new(0),
        })
    }

    /// Notes a key that a request asks for, for the leader's view of the load; a burst that outgrows the list loses
    /// only detail.
    pub(crate) fn note_key(&self, key: u16) {
        let mut asked = self.asked.borrow_mut();
        if asked.len() < ASKED_KEYS_MAX {
            asked.push(key);
        }
    }

    /// Returns a number that no other server of this run has.
    pub(crate) fn next_id(&self) -> ServerId {
        let id = self.next.get();
        self.next.set(id + 1);
        ServerId(id)
    }

    /// Decides whether the service is divided, by the servers that it has.
    ///
    /// Load: hundreds of servers and requests a second, which one host would schedule for all data centres, each
    /// request asking and answered across them.
    pub(crate) fn divide(&self) {
        let targets = self.targets.borrow();
        let mut dcs: Vec<&DcName> = targets.values().map(|t| &t.dc).collect();
        dcs.sort();
        dcs.dedup();
        let enough = targets.len() >= SERVERS_PER_PART_MIN * dcs.len();
        self.divided
            .set(!self.is_keyed() && dcs.len() > 1 && enough);
    }

    /// Returns the parts of a divided service; none of another one.
    pub(crate) fn parts(&self) -> BTreeSet<PartName> {
        if !self.divided.get() {
            return BTreeSet::new();
        }
        let targets = self.targets.borrow();
        targets.values().map(|t| self.part_in(&t.dc)).collect()
    }

    /// Returns the part to which the servers of a data centre belong.
    pub(crate) fn part_in(&self, dc: &DcName) -> PartName {
        PartName {
            service: self.name.clone(),
            dc: self.divided.get().then(|| dc.clone()),
        }
    }

    /// Tells whether each key is served by the one server that holds it.
    pub(crate) fn is_keyed(&self) -> bool {
        self.keyed.get()
    }

    /// Returns a server by its life.
    pub(crate) fn target(&self, life: &Life) -> Option<Rc<Target>> {
        self.targets.borrow().get(life).cloned()
    }

    /// Returns the servers that may get new work: those that are ready, and where there is none, those
    /// that are about to leave, as long as that is allowed.
    pub(crate) fn open_targets(&self, now: Millis) -> Vec<Rc<Target>> {
        let targets = self.targets.borrow();
        let open: Vec<_> = targets.values().filter(|t| t.is_ready()).cloned().collect();
        if !open.is_empty() {
            return open;
        }
        let leaving = targets.values().filter(|t| t.may_get(now));
        leaving.cloned().collect()
    }
}
