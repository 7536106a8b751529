//! The state that the controller's tasks share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;

use chicoryrail_core::Config;
use chicoryrail_core::DcName;
use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::ShardId;
use chicoryrail_ownership::Liveness;
use chicoryrail_ownership::Members;
use chicoryrail_ownership::ShardRecord;
use chicoryrail_ownership::Timing;
use chicoryrail_ownership::Witness;
use chicoryrail_platform::HostEntry;
use chicoryrail_platform::HttpTargets;
use chicoryrail_platform::KvStore;
use chicoryrail_runtime::EventKind;
use chicoryrail_runtime::Process;
use chicoryrail_wire::Heartbeat;
use chicoryrail_wire::HostState;
use chicoryrail_wire::Peer;
use chicoryrail_wire::Role;

use crate::Settings;
use crate::deputy::Deputy;
use crate::held::Held;
use crate::signal::Signal;
use crate::store::CountedStore;

/// All that one controller knows; every part is borrowed briefly and never over an await.
#[derive(Debug)]
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) process: Process,
    pub(crate) timing: Timing,
    pub(crate) store: CountedStore,
    pub(crate) targets: HttpTargets,
    pub(crate) config: RefCell<Rc<Config>>,
    pub(crate) config_news: Signal,
    pub(crate) highest: Cell<u64>,
    pub(crate) witness: RefCell<Witness>,
    pub(crate) controllers: RefCell<Members>,
    pub(crate) gates: RefCell<Members>,
    pub(crate) beats: RefCell<BTreeMap<(HostName, Role), (Heartbeat, Millis)>>,
    pub(crate) hosts: RefCell<BTreeMap<HostName, HostEntry>>,
    pub(crate) peers: RefCell<BTreeMap<SocketAddr, Peer>>,
    pub(crate) held: RefCell<BTreeMap<ShardId, Rc<Held>>>,
    pub(crate) deputies: RefCell<BTreeMap<ShardId, Rc<Deputy>>>,
    pub(crate) records: RefCell<BTreeMap<ShardId, ShardRecord>>,
    /// Shards whose holder, as `records` has it, is another run by now.
    pub(crate) stale: RefCell<BTreeSet<ShardId>>,
    pub(crate) route_news: Signal,
    pub(crate) leaving: Cell<bool>,
    own: Weak<Self>,
}

impl Controller {
    /// Builds a controller that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, process: Process) -> Rc<Self> {
        let timing = Timing::STANDARD;
        let witness = Witness::start(process.clock.now(), &timing);
        let store = CountedStore::new(KvStore::new(settings.store), &process);
        Rc::new_cyclic(|own| Self {
            settings,
            store,
            timing,
            targets: HttpTargets::default(),
            config: RefCell::default(),
            config_news: Signal::default(),
            highest: Cell::new(0),
            witness: RefCell::new(witness),
            controllers: RefCell::default(),
            gates: RefCell::default(),
            beats: RefCell::default(),
            hosts: RefCell::default(),
            peers: RefCell::default(),
            held: RefCell::default(),
            deputies: RefCell::default(),
            records: RefCell::default(),
            stale: RefCell::default(),
            route_news: Signal::default(),
            leaving: Cell::new(false),
            own: own.clone(),
            process,
        })
    }

    /// Returns the shared handle, for tasks that outlive a call.
    pub(crate) fn shared(&self) -> Option<Rc<Self>> {
        self.own.upgrade()
    }

    pub(crate) fn now(&self) -> Millis {
        self.process.clock.now()
    }

    pub(crate) fn own(&self) -> &HostName {
        &self.settings.host.host
    }

    pub(crate) fn config(&self) -> Rc<Config> {
        Rc::clone(&self.config.borrow())
    }

    /// Returns the peer at an address, over a connection that all tasks share.
    pub(crate) fn peer(&self, addr: SocketAddr) -> Peer {
        let mut peers = self.peers.borrow_mut();
        peers.entry(addr).or_insert_with(|| Peer::new(addr)).clone()
    }

    /// Returns the controller of a host, where the list names it.
    pub(crate) fn controller_of(&self, host: &HostName) -> Option<Peer> {
        let addr = self.hosts.borrow().get(host).map(|h| h.controller)?;
        Some(self.peer(addr))
    }

    /// Returns the shards that are held, in order.
    pub(crate) fn all_held(&self) -> Vec<Rc<Held>> {
        self.held.borrow().values().cloned().collect()
    }

    pub(crate) fn heartbeat(&self) -> Heartbeat {
        let state = if self.leaving.get() {
            HostState::Leaving
        } else {
            HostState::Live
        };
        Heartbeat {
            host: self.own().clone(),
            dc: self.settings.host.dc.clone(),
            role: Role::Controller,
            instance: self.process.instance,
            state,
            version: self.config.borrow().version(),
        }
    }

    /// Takes in a process's heartbeat.
    pub(crate) fn heard(&self, beat: &Heartbeat) {
        let now = self.now();
        let leaving = beat.state == HostState::Leaving;
        match beat.role {
            Role::Gate => self.gates.borrow_mut().heard(now, &beat.host, leaving),
            Role::Controller if beat.host != *self.own() => {
                self.controllers
                    .borrow_mut()
                    .heard(now, &beat.host, leaving);
            }
            _ => {}
        }
        self.highest.set(self.highest.get().max(beat.version));
        let key = (beat.host.clone(), beat.role);
        let known = self.beats.borrow_mut().insert(key, (beat.clone(), now));
        if beat.role == Role::Controller
            && known
                .as_ref()
                .is_some_and(|(b, _)| b.instance != beat.instance)
        {
            self.doubt(&beat.host);
        }
        if known.is_none_or(|(b, _)| b.instance != beat.instance || b.state != beat.state) {
            let detail = format!(
                "role={:?} state={:?} instance={}",
                beat.role, beat.state, beat.instance
            );
            let subject = beat.host.as_str();
            self.process
                .events
                .record(EventKind::PeerState, subject, detail);
        }
    }

    /// Takes in that a host's controller is another run, which holds nothing of what the last one
    /// held.
    ///
    /// One that restarts within the 100 ms between two looks at its shards would count as their holder
    /// from then on: neither its release nor its silence is seen, and nobody claims them.
    fn doubt(&self, host: &HostName) {
        let records = self.records.borrow();
        let of = records.iter().filter(|(_, r)| r.holder == *host);
        self.stale.borrow_mut().extend(of.map(|(s, _)| s.clone()));
    }

    /// Returns the gates that may be given servers.
    pub(crate) fn live_gates(&self, now: Millis) -> Vec<(HostName, DcName)> {
        let gates = self.gates.borrow();
        let beats = self.beats.borrow();
        gates
            .in_state(now, Liveness::Live, &self.timing)
            .filter_map(|h| {
                let (beat, _) = beats.get(&(h.clone(), Role::Gate))?;
                Some((h.clone(), beat.dc.clone()))
            })
            .collect()
    }

    /// Returns the controllers that may hold shards, this one among them unless it leaves.
    pub(crate) fn live_controllers(&self, now: Millis) -> Vec<HostName> {
        let members = self.controllers.borrow();
        let live = members.in_state(now, Liveness::Live, &self.timing);
        let mut all: Vec<HostName> = live.cloned().collect();
        let out = self.config.borrow().head.outs.hosts.contains(self.own());
        if !self.leaving.get() && !out {
            all.push(self.own().clone());
        }
        all
    }
}
