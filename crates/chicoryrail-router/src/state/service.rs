//! A service: its servers, their load, and the owners of its keys.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;

use chicoryrail_core::DcName;
use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::keys::KeyView;
use chicoryrail_policy::LocalBalancer;
use chicoryrail_policy::RetryBudget;
use chicoryrail_policy::ServerId;
use chicoryrail_policy::ServerNotices;
use chicoryrail_runtime::ChangeSignal;

use crate::messages::PartName;
use crate::state::Admission;
use crate::state::ServerChanges;
use crate::state::Target;
use crate::state::former_notices::FormerNotices;

/// Average number of servers per data centre from which each data centre of a service that is not keyed is scheduled
/// separately. Fewer servers are better scheduled together: a request can use a free one anywhere, and one host can
/// handle the load.
const SERVERS_PER_PART_MIN: usize = 12;

/// Maximum number of requested keys that are recorded between two reports to the leader.
const REPORTED_KEYS_MAX: usize = 400;

/// One service and its servers.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: ServiceName,
    /// Load of the servers, as far as this host knows it.
    pub(crate) loads: RefCell<LocalBalancer>,
    /// This host's budget of retries.
    pub(crate) retries: RefCell<RetryBudget>,
    /// Owners of the keys, if the service is keyed.
    pub(crate) keys: RefCell<KeyView>,
    /// Notified when a request ends at a server, or when servers or key owners change.
    pub(crate) changed: ChangeSignal,
    /// Keys of requests since the last report to the leader.
    pub(crate) requested_keys: RefCell<Vec<u16>>,
    /// Servers of the service, by incarnation.
    pub(crate) targets: RefCell<HashMap<Life, Rc<Target>>>,
    /// Last changes of the servers, for the schedulers.
    pub(crate) changes: RefCell<ServerChanges>,
    /// Number of servers to which this host has lost its path.
    pub(super) lost_paths: Cell<u32>,
    /// When this host last failed to reach a server.
    pub(super) path_failed_at: Cell<Option<Millis>>,
    /// Number of servers in each data centre.
    dc_sizes: RefCell<BTreeMap<DcName, usize>>,
    /// Notices of incarnations that have no entry.
    former_notices: RefCell<FormerNotices>,
    /// Whether a notice of any of the servers to this host may be in force. Without one, a request need not look at
    /// each server.
    has_notices: Cell<bool>,
    keyed: Cell<bool>,
    /// This host's share of the connections that each server accepts.
    connection_share: Cell<u32>,
    /// Whether the servers of each data centre are scheduled separately.
    pub(crate) partitioned: Cell<bool>,
    /// Id of the next server.
    next_id: Cell<u32>,
}

impl Service {
    /// Creates a service without servers.
    pub(crate) fn new(name: &ServiceName) -> Rc<Self> {
        Rc::new(Self {
            name: name.clone(),
            loads: RefCell::default(),
            retries: RefCell::default(),
            keys: RefCell::default(),
            changed: ChangeSignal::default(),
            requested_keys: RefCell::default(),
            targets: RefCell::default(),
            changes: RefCell::default(),
            lost_paths: Cell::new(0),
            path_failed_at: Cell::new(None),
            dc_sizes: RefCell::default(),
            former_notices: RefCell::default(),
            has_notices: Cell::new(false),
            keyed: Cell::new(false),
            connection_share: Cell::new(u32::MAX),
            partitioned: Cell::new(false),
            next_id: Cell::new(0),
        })
    }

    /// Records the key of a request for the report to the leader, which balances load by key. Keys beyond
    /// [`REPORTED_KEYS_MAX`] are dropped, which only makes the report less precise.
    pub(crate) fn record_key_demand(&self, key: u16) {
        let mut keys = self.requested_keys.borrow_mut();
        if keys.len() < REPORTED_KEYS_MAX {
            keys.push(key);
        }
    }

    /// Records that a response of a server said that it is draining. `heard_in` is the id of the request, or the name of
    /// the call.
    pub(crate) fn record_drain(&self, now: Millis, target: &Target, heard_in: &str) {
        target.record_drain(now, heard_in);
        self.notices_changed(now, target);
    }

    /// Records that a server refused a request of this host and asked for no more for `time`.
    pub(crate) fn record_backoff(&self, now: Millis, target: &Target, time: Millis) {
        target.record_backoff(now, time);
        self.notices_changed(now, target);
    }

    /// Updates what depends on a target's notices. The target may have been removed or replaced since its request was
    /// sent.
    fn notices_changed(&self, now: Millis, target: &Target) {
        self.has_notices.set(true);
        match self.target(&target.life) {
            Some(current) => current
                .notices
                .set(current.notices.get().join(target.notices.get())),
            None => self.keep_notices(now, target),
        }
    }

    /// Records a change of a target that concerns its scheduler.
    pub(crate) fn record_change(&self, target: &Rc<Target>) {
        self.changes.borrow_mut().push(target);
    }

    /// Adds a target; one with the same incarnation is replaced.
    pub(super) fn insert_target(&self, target: &Rc<Target>) {
        let life = target.life.clone();
        let old = self.targets.borrow_mut().insert(life, Rc::clone(target));
        if let Some(old) = old {
            self.close_target(&old);
            self.record_change(&old);
        }
        *self
            .dc_sizes
            .borrow_mut()
            .entry(target.dc.clone())
            .or_default() += 1;
        if target.notices.get() != ServerNotices::default() {
            self.has_notices.set(true);
        }
    }

    /// Removes a target whose server has ended or left. Its notices are kept: the same incarnation may register again.
    pub(super) fn remove_target(&self, now: Millis, life: &Life) {
        let removed = self.targets.borrow_mut().remove(life);
        if let Some(target) = removed {
            self.close_target(&target);
            self.record_change(&target);
            self.keep_notices(now, &target);
        }
    }

    /// Ends the use of a target that is no longer in `targets`.
    fn close_target(&self, target: &Target) {
        target.admission.set(Admission::Closed);
        target.pool.close_idle();
        if target.path.take().is_lost() {
            self.lost_paths.set(self.lost_paths.get() - 1);
        }
        self.loads.borrow_mut().remove(target.id);
        let mut sizes = self.dc_sizes.borrow_mut();
        if let Some(size) = sizes.get_mut(&target.dc) {
            *size -= 1;
        }
        sizes.retain(|_, size| *size > 0);
    }

    fn keep_notices(&self, now: Millis, target: &Target) {
        let mut former = self.former_notices.borrow_mut();
        former.keep(now, &target.life, target.notices.get());
    }

    /// Returns the notices that an incarnation gave before its current entry, at this or another address.
    pub(super) fn known_notices(&self, life: &Life) -> ServerNotices {
        let current = self.target(life).map(|t| t.notices.get());
        current.unwrap_or_else(|| self.former_notices.borrow().of(life))
    }

    /// Returns `true` if a notice of any of the servers to this host may be in force.
    pub(crate) fn has_notices(&self) -> bool {
        self.has_notices.get()
    }

    /// Determines again whether any notice is in force.
    pub(crate) fn update_notices(&self, now: Millis) {
        if !self.has_notices.get() {
            return;
        }
        let targets = self.targets.borrow();
        let mut notices = targets.values().map(|t| t.notices.get());
        self.has_notices
            .set(notices.any(|n| n.is_any_in_force(now)));
    }

    /// Returns a new server id, unique within the service for the lifetime of the process.
    pub(crate) fn next_id(&self) -> ServerId {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        ServerId(id)
    }

    /// Decides by the current servers whether each data centre is scheduled separately.
    ///
    /// With hundreds of servers and requests per second, a single scheduling host would be a bottleneck, and slot
    /// queries and their decisions would cross data centres.
    pub(crate) fn update_partitioned(&self) {
        let dcs = self.dc_sizes.borrow().len();
        let enough = self.targets.borrow().len() >= SERVERS_PER_PART_MIN * dcs;
        self.partitioned.set(!self.is_keyed() && dcs > 1 && enough);
    }

    /// Returns the parts of a partitioned service; empty if the service is not partitioned.
    pub(crate) fn parts(&self) -> BTreeSet<PartName> {
        if !self.partitioned.get() {
            return BTreeSet::new();
        }
        let dcs = self.dc_sizes.borrow();
        dcs.keys().map(|dc| self.part_of(dc)).collect()
    }

    /// Returns the part to which the servers of a data centre belong.
    pub(crate) fn part_of(&self, dc: &DcName) -> PartName {
        PartName {
            service: self.name.clone(),
            dc: self.partitioned.get().then(|| dc.clone()),
        }
    }

    /// Sets whether the service is keyed.
    pub(super) fn set_keyed(&self, keyed: bool) {
        if self.keyed.replace(keyed) == keyed {
            return;
        }
        for target in self.targets.borrow().values() {
            self.record_change(target);
        }
    }

    /// Sets this host's share of the connections that each server accepts.
    pub(super) fn set_connection_share(&self, connections: u32) {
        if self.connection_share.replace(connections) == connections {
            return;
        }
        for target in self.targets.borrow().values() {
            self.limit_connections(target);
        }
    }

    /// Limits the connections to a server to its slots and this host's share.
    pub(super) fn limit_connections(&self, target: &Target) {
        let share = self.connection_share.get();
        target.pool.set_max_connections(target.slots.get(), share);
    }

    /// Returns `true` if the service is keyed: each key is served only by the server that owns it.
    pub(crate) fn is_keyed(&self) -> bool {
        self.keyed.get()
    }

    /// Returns the server with this incarnation.
    pub(crate) fn target(&self, life: &Life) -> Option<Rc<Target>> {
        self.targets.borrow().get(life).cloned()
    }

    /// Returns the number of servers that accept new requests without restriction.
    pub(crate) fn ready_count(&self) -> usize {
        let targets = self.targets.borrow();
        targets.values().filter(|t| t.is_ready()).count()
    }

    /// Returns `true` if any server may receive new requests.
    pub(crate) fn has_accepting_target(&self, now: Millis) -> bool {
        let targets = self.targets.borrow();
        targets.values().any(|t| t.accepts_requests(now))
    }
}
