//! What this host may do as the leader.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServiceName;
use chicoryrail_ownership::keys::KeyLoad;
use chicoryrail_ownership::keys::KeyRange;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_runtime::Signal;

use crate::state::Router;
use crate::talk::ServerPace;

/// Part of the lease, in percent, after which an unconfirmed leader no longer counts on it.
const LEASE_TRUSTED_PERCENT: u64 = 80;

/// Age of the other hosts' last heartbeat up to which a leader without the store counts on them: three of their
/// datagrams. A successor waits for this and a renewal in flight before it moves keys of a server that it
/// can't reach.
const HEARTBEAT_AGE_MAX: Millis = Millis(1_300);

/// What this host knows as the leader, and how long it may act as one.
#[derive(Debug, Default)]
pub(crate) struct LeaderTerm {
    /// Term; 0 while this host does not lead.
    pub(crate) term: Cell<u64>,
    /// When the last confirmed renewal of the lease was sent.
    pub(crate) confirmed: Cell<Millis>,
    pub(crate) ttl: Cell<Millis>,
    /// Whether this host makes way for one that reaches more.
    pub(crate) resigns: Cell<bool>,
    /// Records with the keys that are not granted yet.
    pub(crate) updates: RefCell<BTreeMap<ServiceName, (KeyRecord, Vec<KeyRange>)>>,
    /// Notified when the key updates change.
    pub(crate) news: Signal,
    loads: RefCell<BTreeMap<ServiceName, KeyLoad>>,
    /// How much servers do, as the hosts say that schedule for them.
    paces: RefCell<BTreeMap<Life, ServerPace>>,
}

impl LeaderTerm {
    /// Takes in keys that callers asked for.
    pub(crate) fn asked(&self, service: &ServiceName, keys: &[u16]) {
        let mut loads = self.loads.borrow_mut();
        let load = loads.entry(service.clone()).or_default();
        for key in keys {
            load.seen(*key);
        }
    }

    /// Takes in how much servers do.
    pub(crate) fn heard_paces(&self, paces: Vec<ServerPace>) {
        let mut known = self.paces.borrow_mut();
        known.extend(paces.into_iter().map(|p| (p.server.clone(), p)));
    }

    /// Returns how much a server does; `None` where it was not heard.
    pub(crate) fn pace(&self, life: &Life) -> Option<ServerPace> {
        self.paces.borrow().get(life).cloned()
    }

    /// Forgets the paces of servers that are gone.
    pub(crate) fn keep_paces(&self, is_there: impl Fn(&Life) -> bool) {
        self.paces.borrow_mut().retain(|life, _| is_there(life));
    }

    /// Calls `f` with the load of a service's keys.
    pub(crate) fn with_load<T>(
        &self,
        now: Millis,
        service: &ServiceName,
        f: impl FnOnce(&KeyLoad) -> T,
    ) -> T {
        let mut loads = self.loads.borrow_mut();
        let load = loads.entry(service.clone()).or_default();
        load.age(now);
        f(load)
    }

    /// Tells whether this host may give a server an order as the leader.
    ///
    /// With a lease that was confirmed a moment ago nobody else can lead. Without the store, a leader goes
    /// on only while it hears most of the hosts and none of them knows of a later one: a successor tells
    /// all of them before it moves anything. A host that slept finds both grown old when it wakes.
    pub(crate) fn may_act(&self, router: &Router) -> bool {
        let now = router.now();
        let peers = router.peers.borrow();
        if self.term.get() == 0 || peers.highest_term() > self.term.get() {
            return false;
        }
        let lease = Millis(self.ttl.get().0 * LEASE_TRUSTED_PERCENT / 100);
        now.since(self.confirmed.get()) < lease || peers.hears_most(now, HEARTBEAT_AGE_MAX)
    }
}
